"""Records bills and request outcomes in the replicated log, in batches.

Commands queued within the batch interval are submitted in one call. A bill
that is not durable before the deadline of its response stays queued and is
resent under the same key, so the ledger records it once.
"""

import asyncio
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.rpc.commands_pb2 import Command, CommandResult

_MAX_BATCH_COMMANDS = 512
_SUBMIT_TIMEOUT_S = 10.0
_MS_PER_S = 1000


class Submitter(Protocol):
    """Submits commands to the control leader."""

    async def submit(
        self, commands: list[Command], deadline_s: float
    ) -> list[CommandResult]:
        """Return the results once the commands are durable."""


class _PendingCommand:
    """A queued command and the future of its result."""

    __slots__ = ('command', 'future')

    def __init__(
        self, command: Command, future: asyncio.Future[CommandResult]
    ) -> None:
        self.command = command
        self.future = future


class Recorder:
    """Batches the commands of concurrent requests."""

    __slots__ = ('_clock', '_interval_s', '_queue', '_submitter', '_wake')

    def __init__(
        self, submitter: Submitter, clock: Clock, interval_s: float
    ) -> None:
        """Start with an empty queue."""
        self._submitter = submitter
        self._clock = clock
        self._interval_s = interval_s
        self._queue: list[_PendingCommand] = []
        self._wake = asyncio.Event()

    async def record(self, command: Command, timeout_s: float) -> CommandResult:
        """Return the result once the command is durable.

        Raises `ControlUnreachableError` after the timeout; the command stays
        queued and may still be recorded.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append(_PendingCommand(command, future))
        self._wake.set()
        try:
            return await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError as error:
            raise ControlUnreachableError(
                'the command was not durable before the time-out'
            ) from error

    def pending(self) -> int:
        """Return the number of commands that are not durable yet."""
        return len(self._queue)

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._interval_s)
            await self._send_batch()
            if not self._queue:
                self._wake.clear()

    async def flush(self, timeout_s: float) -> bool:
        """Wait for an empty queue; return whether it was reached."""
        deadline_s = self._clock.monotonic_s() + timeout_s
        while self._queue and self._clock.monotonic_s() < deadline_s:
            await asyncio.sleep(self._interval_s)
        return not self._queue

    async def _send_batch(self) -> None:
        batch = self._queue[:_MAX_BATCH_COMMANDS]
        commands = [pending.command for pending in batch]
        deadline_s = self._clock.monotonic_s() + _SUBMIT_TIMEOUT_S
        try:
            results = await self._submitter.submit(commands, deadline_s)
        except ControlUnreachableError:
            return
        del self._queue[: len(batch)]
        for pending, result in zip(batch, results, strict=True):
            if not pending.future.done():
                pending.future.set_result(result)


def make_recorder(
    submitter: Submitter, clock: Clock, interval_ms: float
) -> Recorder:
    """Return a recorder that sends one batch per interval."""
    return Recorder(submitter, clock, interval_ms / _MS_PER_S)
