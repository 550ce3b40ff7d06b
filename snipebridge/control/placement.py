"""What is loaded where, and which orders that calls for.

The engines are read back a few seconds apart.
Two planners: one follows the versions that the configuration lists for each
upstream, the other leaves the choice inside each pool to the placement
policy. Both unload a withdrawn version only once nothing of it can run.
"""

import asyncio
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.control.leader import Leadership
from snipebridge.controllers.configuration_rules import withdrawn_versions
from snipebridge.controllers.reports import ReportAggregator
from snipebridge.logs import log_event
from snipebridge.policy.placement import (
    INITIAL_BACKOFF_S,
    LOAD_BURST,
    LOAD_RATE_PER_S,
    MAX_BACKOFF_S,
    MAX_ORDERS_PER_PLAN,
    OrderKind,
    PlacedUpstream,
    PlacementPlanner,
    PlannedOrder,
    VersionDemand,
    make_placement_planner,
)
from snipebridge.upstreams.engine import Engine
from snipebridge.upstreams.errors import UpstreamError

READ_BACK_S = 2.0
READ_BACK_LONGEST_S = 60.0
# Above so many engines, readings are further apart.
READINGS_PER_S = 10.0
# Longest exchange with an engine, from the last check to its answer.
EXCHANGE_LIMIT_S = 5.0
_READINGS_AT_ONCE = 16

# A request that began before a withdrawal was in force ends within this.
RUN_LIMIT_S = 150.0
_DEFAULT_SLOTS = 8
_LEAST_ROOM_VERSIONS = 2
_CANDIDATE_REPLICAS = 1
_SERVED_REPLICAS = 2


@dataclass(slots=True, frozen=True)
class Fleet:
    """What is known when orders are planned."""

    upstreams: Sequence[PlacedUpstream]
    demands: Sequence[VersionDemand]
    # Versions that the configuration lists, by upstream.
    listed: Mapping[str, frozenset[str]]
    # Withdrawn versions, and whether a request of them may still run.
    withdrawn: Mapping[str, bool]
    # Pools with an upstream that this leader can't judge yet.
    unknown_pools: Collection[str]


@dataclass(slots=True)
class Reading:
    """What an engine said it has loaded, and when it is asked again."""

    upstream: str
    url: str
    versions: frozenset[str] = frozenset()
    # When the last good reading was begun.
    begun_s: float = float('-inf')
    failures: int = 0
    was_asked: bool = False
    next_s: float = float('-inf')
    is_under_way: bool = False

    def is_known_since(self, moment_s: float) -> bool:
        """Tell whether the last reading was good and begun after a moment."""
        return not self.failures and self.begun_s >= moment_s


class LoadedVersions:
    """Reads back what the engines have loaded; a silent one is asked less."""

    __slots__ = ('_clock', '_engine', '_readings', '_slots')

    def __init__(self, engine: Engine, clock: Clock) -> None:
        """Start without readings."""
        self._engine = engine
        self._clock = clock
        self._readings: dict[str, Reading] = {}
        self._slots = asyncio.Semaphore(_READINGS_AT_ONCE)

    def hasten(self, upstream: str) -> None:
        """Read an engine with an open order soon, unless it is failing."""
        reading = self._readings.get(upstream)
        if reading is not None and not reading.failures:
            soon_s = reading.begun_s + READ_BACK_S
            reading.next_s = min(reading.next_s, soon_s)

    def of(self, upstream: str) -> Reading:
        """Return the last reading of an upstream."""
        return self._readings[upstream]

    def due(
        self, upstreams: Mapping[str, Mapping], now_s: float
    ) -> Iterator[Reading]:
        """Return what is to be read now; it counts as under way."""
        for name in self._readings.keys() - upstreams.keys():
            self._readings.pop(name)
        for name, fields in upstreams.items():
            reading = self._readings.get(name)
            if reading is None or reading.url != fields['url']:
                reading = Reading(name, fields['url'])
                self._readings[name] = reading
            if now_s >= reading.next_s and not reading.is_under_way:
                reading.is_under_way = True
                yield reading

    async def read(self, reading: Reading) -> None:
        """Read one engine back."""
        try:
            async with self._slots, asyncio.timeout(EXCHANGE_LIMIT_S):
                begun_s = self._clock.monotonic_s()
                versions = await self._engine.loaded_versions(reading.url)
        except (UpstreamError, TimeoutError) as error:
            reading.failures += 1
            log_event(
                'read_back_failed',
                upstream=reading.upstream,
                reason=str(error),
            )
        else:
            reading.failures = 0
            reading.versions = versions
            reading.begun_s = begun_s
        finally:
            reading.is_under_way = False
        reading.was_asked = True
        reading.next_s = self._clock.monotonic_s() + self._delay_s(reading)

    def _delay_s(self, reading: Reading) -> float:
        usual_s = max(READ_BACK_S, len(self._readings) / READINGS_PER_S)
        delay_s = usual_s * 2 ** min(reading.failures, 10)
        return min(max(usual_s, READ_BACK_LONGEST_S), delay_s)


class OrderPlanner(Protocol):
    """Decides which orders to give."""

    def plan(self, fleet: Fleet, now_s: float) -> list[PlannedOrder]:
        """Return the orders to give now; they count as given."""

    def reason(self, order: PlannedOrder, fleet: Fleet) -> str:
        """Say why an order was planned."""

    def note_result(
        self, order: PlannedOrder, succeeded: bool, now_s: float
    ) -> None:
        """Take in how an order ended."""


class ListedVersions:
    """Loads what is listed for an upstream, unloads what is withdrawn."""

    __slots__ = ('_failures', '_given', '_loads', '_loads_s', '_until_s')

    def __init__(self) -> None:
        """Start without orders, with the burst of loads unspent."""
        self._loads = LOAD_BURST
        self._loads_s = 0.0
        self._given: set[PlannedOrder] = set()
        self._failures: dict[PlannedOrder, int] = {}
        self._until_s: dict[PlannedOrder, float] = {}

    def plan(self, fleet: Fleet, now_s: float) -> list[PlannedOrder]:
        """Return at most one order for each upstream that has none."""
        earned = (now_s - self._loads_s) * LOAD_RATE_PER_S
        self._loads = min(LOAD_BURST, self._loads + max(0.0, earned))
        self._loads_s = now_s
        busy = {order.upstream for order in self._given}
        orders: list[PlannedOrder] = []
        for upstream in fleet.upstreams:
            if len(orders) >= MAX_ORDERS_PER_PLAN:
                break
            if upstream.name in busy or not upstream.is_live:
                continue
            order = self._first(upstream, fleet, now_s)
            if order is not None:
                self._loads -= order.kind is OrderKind.LOAD
                self._given.add(order)
                orders.append(order)
        return orders

    def reason(self, order: PlannedOrder, fleet: Fleet) -> str:
        """Say why an order was planned."""
        if order.kind is OrderKind.LOAD:
            return 'listed and not loaded'
        return 'withdrawn and loaded'

    def note_result(
        self, order: PlannedOrder, succeeded: bool, now_s: float
    ) -> None:
        """Take in how an order ended; a failed one waits before a retry."""
        self._given.discard(order)
        if succeeded:
            self._failures.pop(order, None)
            self._until_s.pop(order, None)
            return
        count = self._failures.get(order, 0)
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**count)
        self._failures[order] = min(count + 1, 10)
        self._until_s[order] = now_s + backoff_s

    def _first(
        self, upstream: PlacedUpstream, fleet: Fleet, now_s: float
    ) -> PlannedOrder | None:
        for order in _wanted(upstream, fleet):
            may_load = order.kind is OrderKind.UNLOAD or self._loads >= 1
            if may_load and now_s >= self._until_s.get(order, now_s):
                return order
        return None


class PlacedVersions:
    """Leaves it to the placement policy, where whole pools are known."""

    __slots__ = ('_placement',)

    def __init__(self, placement: PlacementPlanner) -> None:
        """Keep the policy."""
        self._placement = placement

    def plan(self, fleet: Fleet, now_s: float) -> list[PlannedOrder]:
        """Return the orders of the policy that leave what is listed.

        Entries route by the list, so a version is not taken away under it.
        """
        demands = [
            demand
            for demand in fleet.demands
            if demand.pool not in fleet.unknown_pools
        ]
        orders = []
        for order in self._placement.plan(fleet.upstreams, demands, now_s):
            if _takes_listed(order, fleet):
                self._placement.record_result(order, False, now_s)
            else:
                orders.append(order)
        return orders

    def reason(self, order: PlannedOrder, fleet: Fleet) -> str:
        """Say why an order was planned."""
        if order.kind is OrderKind.LOAD:
            return 'due more replicas by its demand'
        if order.version in fleet.withdrawn:
            return 'withdrawn and loaded'
        return 'spare, and another version lacks room'

    def note_result(
        self, order: PlannedOrder, succeeded: bool, now_s: float
    ) -> None:
        """Take in how an order ended."""
        self._placement.record_result(order, succeeded, now_s)


@dataclass(slots=True)
class _Withdrawal:
    number: int
    in_force_s: float | None = None


class EndingVersions:
    """Withdrawn versions of which requests may still run.

    The withdrawal must be in force at all entries, and the longest request
    that began before must have ended.
    """

    __slots__ = ('_number', '_withdrawals')

    def __init__(self) -> None:
        """Start without withdrawals."""
        self._number = 0
        self._withdrawals: dict[str, _Withdrawal] = {}

    def follow(self, leadership: Leadership) -> None:
        """Take in the configuration and the number in force."""
        configuration = leadership.machine.configuration
        if configuration.number > self._number + 1:
            # A version may have been back in service in between.
            self._withdrawals.clear()
        self._number = configuration.number
        withdrawn = withdrawn_versions(configuration.document)
        for version in set(self._withdrawals) - withdrawn:
            self._withdrawals.pop(version)
        for version in withdrawn:
            self._withdrawals.setdefault(version, _Withdrawal(self._number))
        in_force = leadership.in_force().number
        now_s = leadership.clock.monotonic_s()
        for withdrawal in self._withdrawals.values():
            if withdrawal.in_force_s is None and in_force >= withdrawal.number:
                withdrawal.in_force_s = now_s

    def may_run(self, version: str, now_s: float) -> bool:
        """Tell whether a request of a withdrawn version may still run."""
        withdrawal = self._withdrawals.get(version)
        if withdrawal is None or withdrawal.in_force_s is None:
            return True
        return now_s - withdrawal.in_force_s < RUN_LIMIT_S


def make_demands(
    document: Mapping,
    reports: ReportAggregator,
    ending: EndingVersions,
    now_s: float,
) -> list[VersionDemand]:
    """Divide the demand for each pool between its versions.

    Entries report demand by pool. A version's part follows what it answered
    in this leadership.
    """
    versions = document.get('versions', {})
    withdrawn = withdrawn_versions(document)
    weights = {name: _answered(reports, name) for name in versions}
    pool_weights: dict[str, int] = {}
    for name in versions.keys() - withdrawn:
        pool = versions[name].get('pool', '')
        pool_weights[pool] = pool_weights.get(pool, 0) + weights[name]
    concurrency = _pool_concurrency(reports, now_s)
    demands = []
    for name, fields in sorted(versions.items()):
        pool = fields.get('pool', '')
        if name in withdrawn:
            running = float(ending.may_run(name, now_s))
        else:
            part = weights[name] / pool_weights[pool]
            running = concurrency.get(pool, 0.0) * part
        demands.append(
            VersionDemand(
                name,
                pool,
                running,
                is_withdrawn=name in withdrawn,
                min_replicas=_least_replicas(fields),
            )
        )
    return demands


def is_live(fields: Mapping) -> bool:
    """Tell whether an upstream of the configuration may get orders."""
    return fields.get('state', 'live') == 'live'


def make_placed_upstream(
    name: str, fields: Mapping, loaded: frozenset[str], is_usable: bool
) -> PlacedUpstream:
    """Describe an upstream of the configuration to the policy."""
    return PlacedUpstream(
        name,
        fields['pool'],
        loaded,
        slots=fields.get('slots', _DEFAULT_SLOTS),
        max_versions=max(_LEAST_ROOM_VERSIONS, len(fields.get('versions', ()))),
        is_live=is_usable,
    )


def make_order_planner(places_versions: bool) -> OrderPlanner:
    """Return the planner that the settings ask for."""
    if places_versions:
        return PlacedVersions(make_placement_planner())
    return ListedVersions()


def _wanted(upstream: PlacedUpstream, fleet: Fleet) -> Iterator[PlannedOrder]:
    for version, may_run in fleet.withdrawn.items():
        if version in upstream.loaded and not may_run:
            yield PlannedOrder(upstream.name, OrderKind.UNLOAD, version)
    for version in sorted(fleet.listed[upstream.name] - upstream.loaded):
        if version not in fleet.withdrawn:
            yield PlannedOrder(upstream.name, OrderKind.LOAD, version)


def _takes_listed(order: PlannedOrder, fleet: Fleet) -> bool:
    return (
        order.kind is OrderKind.UNLOAD
        and order.version in fleet.listed[order.upstream]
        and order.version not in fleet.withdrawn
    )


def _answered(reports: ReportAggregator, version: str) -> int:
    evidence = reports.evidence.get(version)
    # One more, so that versions without any answer share evenly.
    return 1 + (evidence.answered if evidence else 0)


def _pool_concurrency(
    reports: ReportAggregator, now_s: float
) -> dict[str, float]:
    totals: dict[str, float] = {}
    for demands in reports.demands(now_s).values():
        for demand in demands:
            total = totals.get(demand.pool, 0.0)
            totals[demand.pool] = total + demand.running + demand.waiting
    return totals


def _least_replicas(fields: Mapping) -> int:
    if fields['state'] == 'candidate':
        return _CANDIDATE_REPLICAS
    return _SERVED_REPLICAS
