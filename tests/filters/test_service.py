"""Non-idempotent service calls run at most once."""

import asyncio
import random

import orjson
import pytest

from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.controllers.lease import Lease
from snipebridge.controllers.view import make_view
from snipebridge.errors import Ran
from snipebridge.filters.attempts import AttemptRunner
from snipebridge.filters.errors import (
    InProgressError,
    KeyReusedError,
    NoLeaseError,
    RequestError,
    ResponseNotStoredError,
    UnavailableError,
)
from snipebridge.filters.exchange import ServiceRequest
from snipebridge.filters.permission import LeaseGuard
from snipebridge.filters.service import ServiceDependencies, ServiceFilter
from snipebridge.policy.replica_selection import make_replica_selector
from snipebridge.policy.retries import make_retry_policy
from snipebridge.rpc.commands_pb2 import (
    RAN_NO,
    RAN_UNKNOWN,
    RAN_YES,
    CommandResult,
    StoredAnswer,
)
from snipebridge.settings.models import EntrySettings
from snipebridge.upstreams.client import UpstreamResponse
from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from snipebridge.controllers.upstream_monitor import make_replica_view
from tests.clocks import ManualClock
from tests.filters.exchanges import (
    CONFIGURATION,
    MemoryRecorder,
    make_exchange,
    proceed_noop,
)


class _ViewSource:
    def __init__(self) -> None:
        self.view = make_view(1, orjson.dumps(CONFIGURATION))


class _Service:
    """Counts the calls, which fail with the given errors in turn."""

    def __init__(self, *errors) -> None:
        self.errors = list(errors)
        self.runs = 0

    async def call(self, call) -> UpstreamResponse:
        self.runs += 1
        error = self.errors.pop(0) if self.errors else None
        if error is not None:
            raise error
        return UpstreamResponse(200, {'Content-Type': 'text/plain'}, b'booked')


class _Harness:
    """A service filter with test doubles for its dependencies."""

    def __init__(self, service: _Service, recorder: MemoryRecorder) -> None:
        self.clock = ManualClock()
        self.service = service
        self.recorder = recorder
        self.lease = Lease()
        self.lease.extend(self.clock.now_s, 30.0)
        source = _ViewSource()
        book = make_replica_selector('dc-a', entry='entry-1')
        views = [make_replica_view(u) for u in source.view.upstreams.values()]
        book.set_replicas(views, self.clock.now_s)
        attempts = AttemptRunner(
            source,
            LeaseGuard(self.lease, self.clock, 'refuse'),
            book,
            make_retry_policy(),
            self.clock,
            random.Random(1),
        )
        self.filter = ServiceFilter(
            ServiceDependencies(
                service, attempts, recorder, self.clock, EntrySettings(), 'e'
            ),
        )

    def call(self, *, idempotent: bool = False):
        exchange = make_exchange(
            path='/services/bookings/book', idempotency_key='k1'
        )
        exchange.service = ServiceRequest('bookings', '/book', idempotent)
        exchange.pool = 'bookings'
        asyncio.run(self._run(exchange))
        return exchange

    async def _run(self, exchange) -> None:
        await self.filter.run(exchange, proceed_noop)

    def finish(self):
        return self.recorder.commands[-1].finish


def test_start_and_outcome_are_recorded():
    """The start is recorded before the call, outcome and bill together after."""
    harness = _Harness(_Service(), MemoryRecorder())

    async def check(command) -> None:
        if command.HasField('begin'):
            assert harness.service.runs == 0

    harness.recorder.on_record = check
    exchange = harness.call()
    assert exchange.reply.body == b'booked'
    assert [one.WhichOneof('body') for one in harness.recorder.commands] == [
        'begin',
        'finish',
    ]
    assert harness.finish().ran == RAN_YES
    assert harness.finish().bill.request_id == 'k1'


def test_repeated_request_gets_the_stored_response():
    """A repeated request gets the stored response and does not run."""
    stored = StoredAnswer(status=201, content_type='text/plain', body=b'old')
    result = CommandResult(
        code=CommandResult.DUPLICATE, ran=RAN_YES, answer=stored
    )
    harness = _Harness(_Service(), MemoryRecorder(result))
    exchange = harness.call()
    assert (exchange.reply.status, exchange.reply.body) == (201, b'old')
    assert harness.service.runs == 0


def test_response_that_was_not_stored():
    """A run whose response was too large to store is reported as such."""
    result = CommandResult(code=CommandResult.DUPLICATE, ran=RAN_YES)
    harness = _Harness(_Service(), MemoryRecorder(result))
    with pytest.raises(ResponseNotStoredError) as caught:
        harness.call()
    assert caught.value.ran is Ran.YES
    assert harness.service.runs == 0


@pytest.mark.parametrize(
    ('code', 'error'),
    [
        (CommandResult.IN_PROGRESS, InProgressError),
        (CommandResult.DUPLICATE, InProgressError),
        (CommandResult.CONFLICT, KeyReusedError),
        (CommandResult.EXPIRED, KeyReusedError),
    ],
)
def test_key_in_use_does_not_run(code, error):
    """A call is dispatched only if its start was recorded with OK."""
    harness = _Harness(_Service(), MemoryRecorder(CommandResult(code=code)))
    with pytest.raises(error):
        harness.call()
    assert harness.service.runs == 0


@pytest.mark.parametrize(
    'error', [InvalidResponseError('cut'), ResponseTimeoutError('silent')]
)
def test_call_that_may_have_run_is_not_retried(error):
    """A non-idempotent call that may have run is not retried."""
    harness = _Harness(_Service(error), MemoryRecorder())
    with pytest.raises(RequestError) as caught:
        harness.call()
    assert harness.service.runs == 1
    assert caught.value.ran is Ran.UNKNOWN
    assert harness.finish().ran == RAN_UNKNOWN


def test_refused_connection_releases_the_key():
    """A call that did not run is recorded so, and its key is reusable."""
    service = _Service(ConnectError('refused'), ConnectError('refused'))
    harness = _Harness(service, MemoryRecorder())
    with pytest.raises(UnavailableError) as caught:
        harness.call()
    assert caught.value.ran is Ran.NO
    assert harness.finish().ran == RAN_NO


def test_idempotent_call_is_retried():
    """An idempotent call is retried on another replica."""
    harness = _Harness(_Service(InvalidResponseError('cut')), MemoryRecorder())
    exchange = harness.call(idempotent=True)
    assert exchange.reply.body == b'booked'
    assert harness.service.runs == 2


def test_call_does_not_run_without_a_record():
    """A call whose start cannot be recorded is not dispatched."""
    recorder = MemoryRecorder()

    async def fail(command) -> None:
        if command.HasField('begin'):
            raise ControlUnreachableError('cut off')

    recorder.on_record = fail
    harness = _Harness(_Service(), recorder)
    with pytest.raises(UnavailableError) as caught:
        harness.call()
    assert caught.value.ran is Ran.NO
    assert harness.service.runs == 0


def test_lease_expires_while_recording():
    """A lease that expires while the start is recorded prevents the call."""
    recorder = MemoryRecorder()
    harness = _Harness(_Service(), recorder)

    async def take_long(command) -> None:
        harness.clock.now_s += 31.0

    recorder.on_record = take_long
    with pytest.raises(NoLeaseError):
        harness.call()
    assert harness.service.runs == 0
    assert harness.finish().ran == RAN_NO
