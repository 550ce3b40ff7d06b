"""Drives orders to engines from the leader, under its fencing number.

A round only looks and starts tasks; no round waits for an engine. Each order
is recorded in the log before it is sent, is sent again under the same id
while its answer is missing, and ends as done only when the engine shows the
effect. docs/design/orders.md has the reasoning.
"""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass

from snipebridge.consensus.errors import ConsensusError
from snipebridge.control.leader import Leadership
from snipebridge.control.placement import (
    EXCHANGE_LIMIT_S,
    READ_BACK_S,
    EndingVersions,
    Fleet,
    LoadedVersions,
    OrderPlanner,
    is_live,
    make_demands,
    make_order_planner,
    make_placed_upstream,
)
from snipebridge.controllers.configuration_rules import withdrawn_versions
from snipebridge.controllers.fencing import DONE, FAILED, ISSUED
from snipebridge.controllers.leases import CLOCK_DRIFT_RATIO
from snipebridge.logs import log_decision, log_event
from snipebridge.policy.placement import (
    ORDER_TIMEOUT_S,
    OrderKind,
    PlannedOrder,
)
from snipebridge.rpc.commands_pb2 import Command, OrderCommand
from snipebridge.settings.models import ControlSettings
from snipebridge.upstreams.engine import Engine, EngineOrder
from snipebridge.upstreams.errors import UpstreamError

RESEND_S = 2.0
_MOST_DOUBLINGS = 3


@dataclass(slots=True)
class _OpenOrder:
    """An order that has not ended."""

    planned: PlannedOrder
    order: EngineOrder
    issued_s: float
    is_durable: bool = False
    is_accepted: bool = False
    sent_s: float | None = None
    sends: int = 0
    next_s: float = float('-inf')
    outcome: str = ''
    is_under_way: bool = False

    @property
    def upstream(self) -> str:
        """Return the name of the upstream."""
        return self.planned.upstream

    @property
    def ends_s(self) -> float:
        """Return when the order is given up."""
        return self.issued_s + ORDER_TIMEOUT_S


class Orders:
    """The orders of this leadership, and what the engines have loaded."""

    __slots__ = (
        '_ending',
        '_engine',
        '_leadership',
        '_loaded',
        '_next_id',
        '_next_plan_s',
        '_number',
        '_open',
        '_planner',
        '_refused_number',
        '_settings',
        '_since_s',
        '_tasks',
    )

    def __init__(
        self,
        leadership: Leadership,
        engine: Engine,
        settings: ControlSettings,
    ) -> None:
        """Start out of office."""
        self._leadership = leadership
        self._engine = engine
        self._settings = settings
        self._number = 0
        self._refused_number = 0
        # Never starts again, so that an id is never given to two orders.
        self._next_id = 1
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin_leadership(0, 0.0)

    @property
    def under_way(self) -> int:
        """Return how many exchanges have not ended."""
        return sum(not task.done() for task in self._tasks)

    def do_round(self) -> None:
        """Look once at all engines and orders; start what is due."""
        self._raise_faults()
        number = self._leadership.fencing_number
        now_s = self._leadership.clock.monotonic_s()
        if number != self._number:
            self._begin_leadership(number, now_s)
        if not self._may_order(number):
            return
        upstreams = self._engines()
        self._ending.follow(self._leadership)
        for order in self._open.values():
            self._loaded.hasten(order.upstream)
        for reading in self._loaded.due(upstreams, now_s):
            self._start(self._loaded.read(reading))
        if now_s >= self._next_plan_s:
            self._next_plan_s = now_s + READ_BACK_S
            self._plan(upstreams, now_s)
        for order in self._open.values():
            if not order.is_under_way:
                self._go_on(order, upstreams, now_s)

    def close(self) -> None:
        """Drop what is under way; a later leader reads back what it did."""
        for task in self._tasks:
            task.cancel()

    def _begin_leadership(self, number: int, now_s: float) -> None:
        self.close()
        self._number = number
        self._since_s = now_s
        self._next_plan_s = now_s
        self._planner: OrderPlanner = make_order_planner(
            self._settings.places_versions
        )
        self._ending = EndingVersions()
        self._loaded = LoadedVersions(self._engine, self._leadership.clock)
        self._open: dict[str, _OpenOrder] = {}

    def _engines(self) -> Mapping[str, Mapping]:
        document = self._leadership.machine.configuration.document
        return {
            name: fields
            for name, fields in sorted(document.get('upstreams', {}).items())
            if fields['kind'] == 'engine'
        }

    # What to order.

    def _plan(self, upstreams: Mapping[str, Mapping], now_s: float) -> None:
        fleet = self._fleet(upstreams, now_s)
        for planned in self._planner.plan(fleet, now_s):
            order = EngineOrder(
                f'{self._number}-{self._next_id}',
                planned.kind.value,
                planned.version,
                self._number,
            )
            self._next_id += 1
            self._open[order.order_id] = _OpenOrder(planned, order, now_s)
            log_decision(
                'order',
                upstream=planned.upstream,
                order_kind=order.kind,
                version=order.version,
                order_id=order.order_id,
                fencing_number=order.fencing_number,
                reason=self._planner.reason(planned, fleet),
            )

    def _fleet(self, upstreams: Mapping[str, Mapping], now_s: float) -> Fleet:
        leadership = self._leadership
        demands = make_demands(
            leadership.machine.configuration.document,
            leadership.reports,
            self._ending,
            now_s,
        )
        placed = []
        unknown_pools = set()
        for name, fields in upstreams.items():
            reading = self._loaded.of(name)
            ready_s = self._ready_s(fields)
            usable = is_live(fields) and reading.is_known_since(ready_s)
            placed.append(
                make_placed_upstream(name, fields, reading.versions, usable)
            )
            if now_s < ready_s or not reading.was_asked:
                unknown_pools.add(fields['pool'])
        listed = {
            name: frozenset(fields.get('versions', ()))
            for name, fields in upstreams.items()
        }
        withdrawn = {
            demand.version: demand.concurrency > 0
            for demand in demands
            if demand.is_withdrawn
        }
        return Fleet(placed, demands, listed, withdrawn, unknown_pools)

    def _ready_s(self, fields: Mapping) -> float:
        """Return from when on no order of an older leader can act."""
        if fields.get('checks_fencing', False):
            return self._since_s
        bound_s = self._settings.election_timeout_s + ORDER_TIMEOUT_S
        return self._since_s + bound_s * (1 + CLOCK_DRIFT_RATIO)

    # Giving an order.

    def _go_on(
        self,
        order: _OpenOrder,
        upstreams: Mapping[str, Mapping],
        now_s: float,
    ) -> None:
        """Start the next step of an order, where one is due."""
        if not order.outcome:
            order.outcome = self._outcome(order, upstreams, now_s)
        is_due = not order.is_accepted and now_s >= order.next_s
        if order.outcome or is_due:
            order.next_s = now_s + RESEND_S * 2**order.sends
            order.is_under_way = True
            self._start(self._step(order, upstreams))

    async def _step(
        self, order: _OpenOrder, upstreams: Mapping[str, Mapping]
    ) -> None:
        try:
            if order.outcome:
                await self._end(order)
            else:
                await self._give(order, upstreams[order.upstream]['url'])
        finally:
            order.is_under_way = False

    def _outcome(
        self,
        order: _OpenOrder,
        upstreams: Mapping[str, Mapping],
        now_s: float,
    ) -> str:
        """Return how an order ended, empty while it has not."""
        fields = upstreams.get(order.upstream)
        if fields is None or not is_live(fields) or now_s >= order.ends_s:
            return FAILED
        if self._is_revoked(order):
            return FAILED
        reading = self._loaded.of(order.upstream)
        if order.sent_s is None or reading.begun_s < order.sent_s:
            return ''
        is_loaded = order.planned.version in reading.versions
        wants_loaded = order.planned.kind is OrderKind.LOAD
        return DONE if is_loaded == wants_loaded else ''

    async def _give(self, order: _OpenOrder, url: str) -> None:
        if not order.is_durable:
            order.is_durable = await self._record(order, ISSUED)
        if order.is_durable and self._may_send(order):
            await self._send(order, url)

    async def _send(self, order: _OpenOrder, url: str) -> None:
        order.sent_s = self._leadership.clock.monotonic_s()
        order.sends = min(order.sends + 1, _MOST_DOUBLINGS)
        try:
            async with asyncio.timeout(EXCHANGE_LIMIT_S):
                order.is_accepted = await self._engine.order(url, order.order)
        except (UpstreamError, TimeoutError) as error:
            log_event(
                'order_unanswered',
                order_id=order.order.order_id,
                reason=str(error),
            )
            return
        if not order.is_accepted:
            self._stop(order, 'an engine holds a later fencing number')

    async def _end(self, order: _OpenOrder) -> None:
        if order.is_durable and not await self._record(order, order.outcome):
            return
        self._open.pop(order.order.order_id, None)
        self._planner.note_result(
            order.planned,
            order.outcome == DONE,
            self._leadership.clock.monotonic_s(),
        )
        log_event(
            'order_ended',
            order_id=order.order.order_id,
            outcome=order.outcome,
        )

    async def _record(self, order: _OpenOrder, state: str) -> bool:
        """Make a state of an order durable; a stale number ends it all."""
        command = OrderCommand(
            order_id=order.order.order_id,
            upstream=order.upstream,
            kind=order.order.kind,
            version=order.order.version,
            fencing_number=order.order.fencing_number,
            state=state,
        )
        try:
            results = await self._leadership.replica.submit(
                [Command(order=command)]
            )
        except ConsensusError as error:
            log_event('order_not_recorded', reason=error.message)
            return False
        if results[0].fencing_number > order.order.fencing_number:
            self._stop(order, 'the log holds a later fencing number')
            return False
        return True

    def _may_send(self, order: _OpenOrder) -> bool:
        """Check the office and the clock; nothing may come before the send."""
        now_s = self._leadership.clock.monotonic_s()
        return (
            self._may_order(order.order.fencing_number)
            and not self._is_revoked(order)
            and now_s + EXCHANGE_LIMIT_S <= order.ends_s
        )

    def _is_revoked(self, order: _OpenOrder) -> bool:
        """Tell whether the configuration now asks for the opposite."""
        document = self._leadership.machine.configuration.document
        version = order.planned.version
        is_withdrawn = version in withdrawn_versions(document)
        if order.planned.kind is OrderKind.LOAD:
            return is_withdrawn
        fields = document.get('upstreams', {}).get(order.upstream, {})
        return version in fields.get('versions', ()) and not is_withdrawn

    def _may_order(self, number: int) -> bool:
        leadership = self._leadership
        return (
            number == leadership.fencing_number
            and number != self._refused_number
            and leadership.is_in_office()
        )

    def _stop(self, order: _OpenOrder, reason: str) -> None:
        """Order nothing more under this number, and leave office."""
        number = order.order.fencing_number
        self._refused_number = number
        log_decision('orders_stopped', fencing_number=number, reason=reason)
        if self._leadership.fencing_number == number:
            self._leadership.leave_office()

    # Tasks.

    def _start(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.add(asyncio.create_task(work))

    def _raise_faults(self) -> None:
        """Forget what has ended; a fault in it must not be lost."""
        ended = {task for task in self._tasks if task.done()}
        self._tasks -= ended
        for task in ended:
            if not task.cancelled():
                task.result()


def make_orders(
    leadership: Leadership, engine: Engine, settings: ControlSettings
) -> Orders:
    """Return the orders of a leader."""
    return Orders(leadership, engine, settings)
