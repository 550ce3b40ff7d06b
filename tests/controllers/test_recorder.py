"""The recorder batches commands and resends them after failures."""

import asyncio

import pytest

from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.controllers.recorder import make_recorder
from snipebridge.rpc.commands_pb2 import BillCommand, Command, CommandResult
from tests.clocks import ManualClock


class _ControlStub:
    """Accepts batches, after a number of failing calls."""

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.batches: list[list[str]] = []

    async def submit(self, commands, deadline_s):
        if self.failures:
            self.failures -= 1
            raise ControlUnreachableError('cut off')
        self.batches.append([one.bill.request_id for one in commands])
        return [CommandResult(number=len(self.batches)) for _ in commands]


def _bill(request_id: str) -> Command:
    return Command(bill=BillCommand(account='a', request_id=request_id))


async def _with_recorder(control, scenario):
    recorder = make_recorder(control, ManualClock(), interval_ms=1)
    task = asyncio.create_task(recorder.run())
    try:
        return await scenario(recorder)
    finally:
        task.cancel()


def test_concurrent_records_share_a_batch():
    """Commands queued together are submitted together, in order."""
    control = _ControlStub()

    async def scenario(recorder):
        names = [f'r{number}' for number in range(20)]
        await asyncio.gather(
            *(recorder.record(_bill(name), 5.0) for name in names),
        )
        assert control.batches == [names]

    asyncio.run(_with_recorder(control, scenario))


def test_late_record_stays_queued():
    """A bill is not lost when its caller times out."""
    control = _ControlStub(failures=1_000_000)

    async def scenario(recorder):
        with pytest.raises(ControlUnreachableError):
            await recorder.record(_bill('r1'), 0.02)
        assert recorder.pending() == 1
        control.failures = 0
        while recorder.pending():
            await asyncio.sleep(0.001)
        assert control.batches == [['r1']]

    asyncio.run(_with_recorder(control, scenario))


def test_order_is_preserved_across_failures():
    """Failed batches are resent before later commands."""
    control = _ControlStub(failures=5)

    async def scenario(recorder):
        first = asyncio.create_task(recorder.record(_bill('r1'), 5.0))
        await asyncio.sleep(0.003)
        second = asyncio.create_task(recorder.record(_bill('r2'), 5.0))
        await asyncio.gather(first, second)
        assert sum(control.batches, []) == ['r1', 'r2']

    asyncio.run(_with_recorder(control, scenario))
