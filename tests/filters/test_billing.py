"""The end of an answer waits for its bill."""

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


def _answering(exchange):
    async def proceed() -> None:
        exchange.delivered.version = 'small@1'
        exchange.delivered.prompt_tokens = 3
        exchange.delivered.completion_tokens = 7
        exchange.reply.write(b'tokens ')
        exchange.final_chunk = b'end'

    return proceed


def test_end_is_released_after_the_bill():
    """The tokens go first, the bill next, the end last."""
    exchange = make_exchange(idempotency_key='k1')
    recorder = MemoryRecorder()

    async def check(command) -> None:
        assert exchange.reply.body == b'tokens '

    recorder.on_record = check
    _run(recorder, exchange, _answering(exchange))
    assert exchange.reply.body == b'tokens end'
    bill = recorder.commands[0].bill
    assert (bill.request_id, bill.cost_micros) == ('k1', 100)


def test_no_end_without_a_bill():
    """An answer whose bill is not durable never looks whole."""
    exchange = make_exchange()
    recorder = MemoryRecorder()

    async def fail(command) -> None:
        raise ControlUnreachableError('cut off')

    recorder.on_record = fail
    with pytest.raises(BillingError) as caught:
        _run(recorder, exchange, _answering(exchange))
    assert caught.value.ran is Ran.YES
    assert not exchange.reply.finished


def test_wait_for_the_bill_is_bounded():
    """A request with much time left does not hang on a lost control."""
    exchange = make_exchange()
    exchange.deadline_s = 100_000.0
    recorder = MemoryRecorder()
    _run(recorder, exchange, _answering(exchange))
    assert recorder.timeouts_s == [6.0]


def test_duplicate_bill_still_ends_the_answer():
    """A resend gets its answer; the ledger keeps the first bill."""
    exchange = make_exchange(idempotency_key='k1')
    result = CommandResult(code=CommandResult.DUPLICATE)
    _run(MemoryRecorder(result), exchange, _answering(exchange))
    assert exchange.reply.finished


def test_caller_who_left_is_billed_for_what_was_sent():
    """A cancelled stream is billed once, with its own outcome."""
    exchange = make_exchange()
    recorder = MemoryRecorder()

    async def leave() -> None:
        await _answering(exchange)()
        raise asyncio.CancelledError

    async def scenario() -> None:
        billing = BillingFilter(recorder, ManualClock(), 'entry-1', 6.0)
        with pytest.raises(asyncio.CancelledError):
            await billing.run(exchange, leave)
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert len(recorder.commands) == 1
    command = recorder.commands[0]
    assert command.bill.outcome == 'cancelled'
    assert command.bill.completion_tokens == 7
