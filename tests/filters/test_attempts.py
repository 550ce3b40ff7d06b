"""Attempts stop at the limits of permission, lease and deadline."""

import asyncio
import random

import orjson
import pytest

from snipebridge.controllers.lease import Lease
from snipebridge.controllers.upstream_monitor import make_replica_view
from snipebridge.controllers.view import make_view
from snipebridge.errors import Ran
from snipebridge.filters.attempts import AttemptRunner, AttemptState
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


class _ViewSource:
    def __init__(self) -> None:
        self.view = make_view(1, orjson.dumps(CONFIGURATION))


class _AttemptHarness:
    """Runs a chat request whose calls fail with the given errors in turn."""

    def __init__(self, *errors) -> None:
        self.errors = list(errors)
        self.clock = ManualClock()
        self.source = _ViewSource()
        self.lease = Lease()
        self.lease.extend(self.clock.now_s, 100.0)
        self.called: list[str] = []
        self.on_call = None
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

    def execute(self) -> str:
        return asyncio.run(
            self.attempts.run(self.exchange, self.state, self._call)
        )

    async def _call(self, upstream) -> str:
        self.called.append(upstream.name)
        error = self.errors.pop(0) if self.errors else None
        if self.on_call is not None:
            self.on_call()
        if error is not None:
            raise error
        return 'answer'


@pytest.mark.parametrize(
    'error',
    [
        ConnectError('refused'),
        ResponseTimeoutError('silent'),
        InvalidResponseError('cut'),
        StatusError(503, b'', 0),
        StatusError(500, b'', 0),
    ],
)
def test_retry_uses_another_replica(error):
    """A retry goes to a replica other than the one that failed."""
    harness = _AttemptHarness(error)
    assert harness.execute() == 'answer'
    assert len(set(harness.called)) == 2
    assert harness.exchange.delivered.ran is Ran.YES


def test_withdrawn_version_is_not_retried():
    """A version withdrawn during the first attempt is not retried.

    The error still says that the first attempt may have run.
    """
    harness = _AttemptHarness(ResponseTimeoutError('silent'))

    def withdraw() -> None:
        document = orjson.loads(orjson.dumps(CONFIGURATION))
        document['versions']['small@1']['state'] = 'withdrawn'
        harness.source.view = make_view(2, orjson.dumps(document))

    harness.on_call = withdraw
    with pytest.raises(VersionUnavailableError) as caught:
        harness.execute()
    assert len(harness.called) == 1
    assert caught.value.ran is Ran.UNKNOWN


def test_expired_lease_prevents_retry():
    """An entry whose lease expires during an attempt makes no other."""
    harness = _AttemptHarness(ConnectError('refused'))

    def lose_lease() -> None:
        harness.clock.now_s += 200.0
        harness.exchange.deadline_s += 400.0

    harness.on_call = lose_lease
    with pytest.raises(RequestError) as caught:
        harness.execute()
    assert len(harness.called) == 1
    assert caught.value.ran is Ran.NO


def test_deadline_cancels_the_attempt():
    """A call that exceeds the deadline is cancelled; it may have run."""
    harness = _AttemptHarness()
    harness.exchange.deadline_s = harness.clock.now_s + 0.02

    async def hang(upstream) -> str:
        await asyncio.sleep(5)
        return 'late'

    with pytest.raises(DeadlineError) as caught:
        asyncio.run(harness.attempts.run(harness.exchange, harness.state, hang))
    assert caught.value.ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    ('errors', 'ran'),
    [
        ((ConnectError('a'), ConnectError('b')), Ran.NO),
        ((ResponseTimeoutError('a'), ConnectError('b')), Ran.UNKNOWN),
        ((ConnectError('a'), ResponseTimeoutError('b')), Ran.UNKNOWN),
        ((StatusError(503, b'', 0), StatusError(429, b'', 0)), Ran.NO),
    ],
)
def test_not_run_is_reported_only_if_certain(errors, ran):
    """If any attempt may have run, the result is `unknown`."""
    with pytest.raises(RequestError) as caught:
        _AttemptHarness(*errors).execute()
    assert caught.value.ran is ran


@pytest.mark.parametrize(
    ('error', 'version_error_count'),
    [
        (StatusError(500, b'', 0), 1),
        (StatusError(503, b'', 0), 0),
        (ConnectError('refused'), 0),
        (ResponseTimeoutError('silent'), 0),
    ],
)
def test_connection_failure_is_no_version_error(error, version_error_count):
    """Connection failures and overload do not count against a version."""
    harness = _AttemptHarness(error)
    harness.execute()
    assert harness.state.version_errors == version_error_count


def test_retry_after_of_the_upstream_is_passed_on():
    """The caller gets the longer of the own and the upstream's delay."""
    errors = [StatusError(500, b'', 7.5) for _ in range(4)]
    with pytest.raises(UpstreamFailedError) as caught:
        _AttemptHarness(*errors).execute()
    assert caught.value.retry_after_s == 7.5
