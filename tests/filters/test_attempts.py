"""Attempts end where the promise of the request ends."""

import asyncio
import random

import orjson
import pytest

from snipebridge.controllers.lease import Lease
from snipebridge.controllers.view import make_view
from snipebridge.controllers.watching import make_replica_view
from snipebridge.errors import Ran
from snipebridge.filters.attempts import AttemptState, AttemptRunner
from snipebridge.filters.errors import (
    DeadlineError,
    RequestError,
    UpstreamFailedError,
    VersionUnavailableError,
)
from snipebridge.filters.permission import LeaseGuard
from snipebridge.policy.replica_selection import make_replica_selector
from snipebridge.policy.retries import make_retry_policy
from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
    StatusError,
)
from tests.clocks import ManualClock
from tests.filters.exchanges import CONFIGURATION, make_exchange


class _Source:
    def __init__(self) -> None:
        self.view = make_view(1, orjson.dumps(CONFIGURATION))


class _Run:
    """Attempts of one chat request against scripted ends."""

    def __init__(self, *ends) -> None:
        self.ends = list(ends)
        self.clock = ManualClock()
        self.source = _Source()
        self.lease = Lease()
        self.lease.extend(self.clock.now_s, 100.0)
        self.called: list[str] = []
        self.between = None
        book = make_replica_selector('dc-a', entry='entry-1')
        upstreams = self.source.view.upstreams.values()
        book.set_replicas(
            [make_replica_view(one) for one in upstreams], self.clock.now_s
        )
        self.attempts = AttemptRunner(
            self.source,
            LeaseGuard(self.lease, self.clock, 'refuse'),
            book,
            make_retry_policy(),
            self.clock,
            random.Random(1),
        )
        self.exchange = make_exchange()
        self.exchange.pool = 'models'
        self.state = AttemptState('small@1', 10, 10, is_idempotent=True)

    def go(self) -> str:
        return asyncio.run(
            self.attempts.run(self.exchange, self.state, self._call)
        )

    async def _call(self, upstream) -> str:
        self.called.append(upstream.name)
        end = self.ends.pop(0) if self.ends else None
        if self.between is not None:
            self.between()
        if end is not None:
            raise end
        return 'answer'


@pytest.mark.parametrize(
    'end',
    [
        ConnectError('refused'),
        ResponseTimeoutError('silent'),
        InvalidResponseError('cut'),
        StatusError(503, b'', 0),
        StatusError(500, b'', 0),
    ],
)
def test_failed_attempt_is_made_elsewhere(end):
    """The second attempt avoids the replica that failed."""
    run = _Run(end)
    assert run.go() == 'answer'
    assert len(set(run.called)) == 2
    assert run.exchange.delivered.ran is Ran.YES


def test_withdrawn_meanwhile_gets_no_retry():
    """Permission is checked at each dispatch, and ran stays truthful."""
    run = _Run(ResponseTimeoutError('silent'))

    def withdraw() -> None:
        document = orjson.loads(orjson.dumps(CONFIGURATION))
        document['versions']['small@1']['state'] = 'withdrawn'
        run.source.view = make_view(2, orjson.dumps(document))

    run.between = withdraw
    with pytest.raises(VersionUnavailableError) as caught:
        run.go()
    assert len(run.called) == 1
    assert caught.value.ran is Ran.UNKNOWN


def test_lease_over_gets_no_retry():
    """An entry cut off while a request runs starts nothing more."""
    run = _Run(ConnectError('refused'))

    def lose_lease() -> None:
        run.clock.now_s += 200.0
        run.exchange.deadline_s += 400.0

    run.between = lose_lease
    with pytest.raises(RequestError) as caught:
        run.go()
    assert len(run.called) == 1
    assert caught.value.ran is Ran.NO


def test_deadline_cancels_the_attempt():
    """A run that takes too long is given up; it may have run."""
    run = _Run()
    run.exchange.deadline_s = run.clock.now_s + 0.02

    async def hang(upstream) -> str:
        await asyncio.sleep(5)
        return 'late'

    with pytest.raises(DeadlineError) as caught:
        asyncio.run(run.attempts.run(run.exchange, run.state, hang))
    assert caught.value.ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    ('ends', 'ran'),
    [
        ((ConnectError('a'), ConnectError('b')), Ran.NO),
        ((ResponseTimeoutError('a'), ConnectError('b')), Ran.UNKNOWN),
        ((ConnectError('a'), ResponseTimeoutError('b')), Ran.UNKNOWN),
        ((StatusError(503, b'', 0), StatusError(429, b'', 0)), Ran.NO),
    ],
)
def test_not_run_is_said_only_when_certain(ends, ran):
    """One attempt that may have run is enough for `unknown`."""
    with pytest.raises(RequestError) as caught:
        _Run(*ends).go()
    assert caught.value.ran is ran


@pytest.mark.parametrize(
    ('end', 'faults'),
    [
        (StatusError(500, b'', 0), 1),
        (StatusError(503, b'', 0), 0),
        (ConnectError('refused'), 0),
        (ResponseTimeoutError('silent'), 0),
    ],
)
def test_lost_upstream_is_no_fault_of_the_version(end, faults):
    """Only what an upstream answers can speak against a version."""
    run = _Run(end)
    run.go()
    assert run.state.version_errors == faults


def test_retry_after_of_the_upstream_is_passed_on():
    """The caller is told the longer of both times."""
    ends = [StatusError(500, b'', 7.5) for _ in range(4)]
    with pytest.raises(UpstreamFailedError) as caught:
        _Run(*ends).go()
    assert caught.value.retry_after_s == 7.5
