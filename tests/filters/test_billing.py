"""The end of a response is withheld until its bill is durable."""

import asyncio

import pytest

from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.errors import Ran
from snipebridge.filters.billing import BillingFilter
from snipebridge.filters.errors import BillingError
from snipebridge.rpc.commands_pb2 import CommandResult
from tests.clocks import ManualClock
from tests.filters.exchanges import MemoryRecorder, make_exchange


def _run(recorder: MemoryRecorder, exchange, proceed) -> None:
    billing = BillingFilter(recorder, ManualClock(), 'entry-1', 6.0)

    async def run() -> None:
        await billing.run(exchange, proceed)
        await asyncio.sleep(0)

    asyncio.run(run())


def _make_proceed(exchange):
    async def proceed() -> None:
        exchange.delivered.version = 'small@1'
        exchange.delivered.prompt_tokens = 3
        exchange.delivered.completion_tokens = 7
        exchange.reply.write(b'tokens ')
        exchange.final_chunk = b'end'

    return proceed


def test_response_ends_after_the_bill():
    """Tokens are sent first, then the bill is recorded, then the end sent."""
    exchange = make_exchange(idempotency_key='k1')
    recorder = MemoryRecorder()

    async def check(command) -> None:
        assert exchange.reply.body == b'tokens '

    recorder.on_record = check
    _run(recorder, exchange, _make_proceed(exchange))
    assert exchange.reply.body == b'tokens end'
    bill = recorder.commands[0].bill
    assert (bill.request_id, bill.cost_micros) == ('k1', 100)


def test_no_response_end_without_a_bill():
    """A response whose bill cannot be recorded stays incomplete."""
    exchange = make_exchange()
    recorder = MemoryRecorder()

    async def fail(command) -> None:
        raise ControlUnreachableError('cut off')

    recorder.on_record = fail
    with pytest.raises(BillingError) as caught:
        _run(recorder, exchange, _make_proceed(exchange))
    assert caught.value.ran is Ran.YES
    assert not exchange.reply.finished


def test_wait_for_the_bill_is_bounded():
    """The wait for the bill has its own limit, below a long deadline."""
    exchange = make_exchange()
    exchange.deadline_s = 100_000.0
    recorder = MemoryRecorder()
    _run(recorder, exchange, _make_proceed(exchange))
    assert recorder.timeouts_s == [6.0]


def test_duplicate_bill_completes_the_response():
    """A repeated request is completed; the ledger keeps the first bill."""
    exchange = make_exchange(idempotency_key='k1')
    result = CommandResult(code=CommandResult.DUPLICATE)
    _run(MemoryRecorder(result), exchange, _make_proceed(exchange))
    assert exchange.reply.finished


def test_disconnected_caller_is_billed_for_sent_tokens():
    """A cancelled stream is billed once, with the outcome `cancelled`."""
    exchange = make_exchange()
    recorder = MemoryRecorder()

    async def disconnect() -> None:
        await _make_proceed(exchange)()
        raise asyncio.CancelledError

    async def scenario() -> None:
        billing = BillingFilter(recorder, ManualClock(), 'entry-1', 6.0)
        with pytest.raises(asyncio.CancelledError):
            await billing.run(exchange, disconnect)
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert len(recorder.commands) == 1
    command = recorder.commands[0]
    assert command.bill.outcome == 'cancelled'
    assert command.bill.completion_tokens == 7
