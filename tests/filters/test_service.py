"""A call that may not be repeated runs at most once."""

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
from snipebridge.filters.service import ServiceFilter, ServiceDependencies
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
from snipebridge.controllers.watching import make_replica_view
from tests.clocks import ManualClock
from tests.filters.exchanges import (
    CONFIGURATION,
    MemoryRecorder,
    make_exchange,
    proceed_noop,
)


class _Source:
    def __init__(self) -> None:
        self.view = make_view(1, orjson.dumps(CONFIGURATION))


class _Service:
    """Counts the runs and ends them as a test wants."""

    def __init__(self, *ends) -> None:
        self.ends = list(ends)
        self.runs = 0

    async def call(self, call) -> UpstreamResponse:
        self.runs += 1
        end = self.ends.pop(0) if self.ends else None
        if end is not None:
            raise end
        return UpstreamResponse(200, {'Content-Type': 'text/plain'}, b'booked')


class _Bench:
    """A service filter with everything around it in memory."""

    def __init__(self, service: _Service, recorder: MemoryRecorder) -> None:
        self.clock = ManualClock()
        self.service = service
        self.recorder = recorder
        self.lease = Lease()
        self.lease.extend(self.clock.now_s, 30.0)
        source = _Source()
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


def test_recorded_before_and_after():
    """The record stands before the run, outcome and bill in one after it."""
    bench = _Bench(_Service(), MemoryRecorder())

    async def check(command) -> None:
        if command.HasField('begin'):
            assert bench.service.runs == 0

    bench.recorder.on_record = check
    exchange = bench.call()
    assert exchange.reply.body == b'booked'
    assert [one.WhichOneof('body') for one in bench.recorder.commands] == [
        'begin',
        'finish',
    ]
    assert bench.finish().ran == RAN_YES
    assert bench.finish().bill.request_id == 'k1'


def test_resend_gets_the_stored_answer():
    """A finished call is answered from its record and runs no more."""
    stored = StoredAnswer(status=201, content_type='text/plain', body=b'old')
    result = CommandResult(
        code=CommandResult.DUPLICATE, ran=RAN_YES, answer=stored
    )
    bench = _Bench(_Service(), MemoryRecorder(result))
    exchange = bench.call()
    assert (exchange.reply.status, exchange.reply.body) == (201, b'old')
    assert bench.service.runs == 0


def test_answer_that_was_not_kept_is_no_empty_answer():
    """A large answer may be dropped from the record; its run is not."""
    result = CommandResult(code=CommandResult.DUPLICATE, ran=RAN_YES)
    bench = _Bench(_Service(), MemoryRecorder(result))
    with pytest.raises(ResponseNotStoredError) as caught:
        bench.call()
    assert caught.value.ran is Ran.YES
    assert bench.service.runs == 0


@pytest.mark.parametrize(
    ('code', 'error'),
    [
        (CommandResult.IN_PROGRESS, InProgressError),
        (CommandResult.DUPLICATE, InProgressError),
        (CommandResult.CONFLICT, KeyReusedError),
        (CommandResult.EXPIRED, KeyReusedError),
    ],
)
def test_key_that_is_taken_does_not_run(code, error):
    """Whatever the record says but OK, nothing is dispatched."""
    bench = _Bench(_Service(), MemoryRecorder(CommandResult(code=code)))
    with pytest.raises(error):
        bench.call()
    assert bench.service.runs == 0


@pytest.mark.parametrize(
    'end', [InvalidResponseError('cut'), ResponseTimeoutError('silent')]
)
def test_no_second_attempt_after_the_send(end):
    """A call that may have run is not tried again, and says so."""
    bench = _Bench(_Service(end), MemoryRecorder())
    with pytest.raises(RequestError) as caught:
        bench.call()
    assert bench.service.runs == 1
    assert caught.value.ran is Ran.UNKNOWN
    assert bench.finish().ran == RAN_UNKNOWN


def test_refused_connection_frees_the_key():
    """What certainly did not run may be sent again under its key."""
    service = _Service(ConnectError('refused'), ConnectError('refused'))
    bench = _Bench(service, MemoryRecorder())
    with pytest.raises(UnavailableError) as caught:
        bench.call()
    assert caught.value.ran is Ran.NO
    assert bench.finish().ran == RAN_NO


def test_idempotent_call_is_retried():
    """A call that may be repeated is tried at another replica."""
    bench = _Bench(_Service(InvalidResponseError('cut')), MemoryRecorder())
    exchange = bench.call(idempotent=True)
    assert exchange.reply.body == b'booked'
    assert bench.service.runs == 2


def test_nothing_runs_without_its_record():
    """A record that does not get through ends the call before it starts."""
    recorder = MemoryRecorder()

    async def fail(command) -> None:
        if command.HasField('begin'):
            raise ControlUnreachableError('cut off')

    recorder.on_record = fail
    bench = _Bench(_Service(), recorder)
    with pytest.raises(UnavailableError) as caught:
        bench.call()
    assert caught.value.ran is Ran.NO
    assert bench.service.runs == 0


def test_lease_that_ends_while_recording():
    """The lease is checked right before the dispatch."""
    recorder = MemoryRecorder()
    bench = _Bench(_Service(), recorder)

    async def take_long(command) -> None:
        bench.clock.now_s += 31.0

    recorder.on_record = take_long
    with pytest.raises(NoLeaseError):
        bench.call()
    assert bench.service.runs == 0
    assert bench.finish().ran == RAN_NO
