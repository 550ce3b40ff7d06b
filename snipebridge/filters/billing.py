"""Bills chat requests; a response ends only once its bill is durable."""

import asyncio
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.errors import Ran
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import BillingError
from snipebridge.filters.exchange import DeliveryRecord, Exchange
from snipebridge.rpc.commands_pb2 import BillCommand, Command, CommandResult

COMPLETE = 'complete'
CANCELLED = 'cancelled'
BROKEN = 'broken'

_RETRY_AFTER_S = 1.0
_UNBILLED_CODES = frozenset((CommandResult.INVALID, CommandResult.EXPIRED))


class CommandRecorder(Protocol):
    """Makes commands durable."""

    async def record(self, command: Command, timeout_s: float) -> CommandResult:
        """Return the result once the command is durable."""


class BillingFilter:
    """Bills a chat request once, then releases the end of its response."""

    __slots__ = ('_clock', '_entry', '_tasks', '_recorder', '_timeout_s')

    def __init__(
        self,
        recorder: CommandRecorder,
        clock: Clock,
        entry: str,
        timeout_s: float,
    ) -> None:
        """Keep the recorder, the entry's name and the time limit."""
        self._timeout_s = timeout_s
        self._tasks: set[asyncio.Task] = set()
        self._recorder = recorder
        self._clock = clock
        self._entry = entry

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the rest, record the bill, release the end of the response.

        A caller that disconnects is billed for the tokens sent so far.
        """
        try:
            await proceed()
        except asyncio.CancelledError:
            self._bill_cancelled(exchange)
            raise
        exchange.bill = make_chat_bill(
            exchange, COMPLETE, self._entry, self._clock.wall_ms()
        )
        await self._record(exchange)
        await exchange.reply.finish(exchange.final_chunk)
        exchange.outcome = COMPLETE

    def _bill_cancelled(self, exchange: Exchange) -> None:
        exchange.outcome = CANCELLED
        if not exchange.delivered.completion_tokens:
            return
        exchange.bill = make_chat_bill(
            exchange, CANCELLED, self._entry, self._clock.wall_ms()
        )
        task = asyncio.create_task(
            self._recorder.record(Command(bill=exchange.bill), self._timeout_s),
        )
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)

    def _discard_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieved, so that asyncio does not log a time-out: the recorder
            # keeps resending after it.
            task.exception()

    async def _record(self, exchange: Exchange) -> None:
        command = Command(bill=exchange.bill)
        try:
            result = await self._recorder.record(command, self._timeout_s)
        except ControlUnreachableError as error:
            raise BillingError(
                'the bill is not durable yet', Ran.YES, _RETRY_AFTER_S
            ) from error
        if result.code in _UNBILLED_CODES:
            raise BillingError(
                f'control refused the bill: {result.message}', Ran.YES
            )


def make_chat_bill(
    exchange: Exchange, outcome: str, entry: str, now_ms: int
) -> BillCommand:
    """Return the bill for the tokens delivered to the caller.

    Drafts and retries count as internal cost and are not charged.
    """
    delivered = exchange.delivered
    return BillCommand(
        account=exchange.account.name,
        request_id=exchange.bill_key,
        version=delivered.version,
        upstream=delivered.upstream,
        prompt_tokens=delivered.prompt_tokens,
        completion_tokens=delivered.completion_tokens,
        cost_micros=_calculate_charge_micros(exchange, delivered),
        outcome=outcome,
        entry=entry,
        finished_at_ms=now_ms,
        internal_cost_micros=round(delivered.internal_cost_micros),
    )


def _calculate_charge_micros(
    exchange: Exchange, delivered: DeliveryRecord
) -> int:
    version = exchange.view.versions.get(delivered.version)
    if version is None:
        return 0
    tokens = delivered.prompt_tokens + delivered.completion_tokens
    return round(tokens * version.cost_micros_per_token)
