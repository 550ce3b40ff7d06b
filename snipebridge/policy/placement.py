"""Plans which versions are loaded on which upstreams of a pool.

Each version has a target number of replicas that follows its demand. A margin
for increases and a delay for decreases keep small changes of demand from
causing orders. Missing replicas are loaded on upstreams with free capacity.
Capacity is freed by unloading withdrawn versions and surplus replicas, never
below the target of a version and never on more than a share of the pool at
once. Loads are limited to the rate of the weight store. After a failed order,
the load is planned on another upstream.

>>> planner = make_placement_planner()
>>> upstream = PlacedUpstream('engine-1', 'models', frozenset(), slots=8)
>>> demand = VersionDemand('small@1', 'models', concurrency=4)
>>> order, = planner.plan([upstream], [demand], now_s=0.0)
>>> order.kind, order.version
(<OrderKind.LOAD: 'load'>, 'small@1')
"""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

MAX_ORDERS_PER_PLAN = 8
MAX_CHANGING_SHARE = 0.34
MIN_REPLICAS = 2
DEMAND_MARGIN = 1.25
SCALE_DOWN_MARGIN = 1.6
SCALE_DOWN_DELAY_S = 60.0
ORDER_TIMEOUT_S = 120.0
INITIAL_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
LOAD_RATE_PER_S = 0.5
LOAD_BURST = 3.0


@enum.unique
class OrderKind(enum.StrEnum):
    """Operation that an engine is asked to perform."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclass(slots=True, frozen=True)
class PlacedUpstream:
    """An upstream that accepts orders, and the versions it has loaded."""

    name: str
    pool: str
    loaded: frozenset[str]
    slots: int
    max_versions: int = 2
    is_live: bool = True


@dataclass(slots=True, frozen=True)
class VersionDemand:
    """Mean number of running and waiting requests of a version.

    A withdrawn version has a target of zero and is unloaded once none of its
    requests run. `min_replicas` can be lowered for versions under roll-out,
    which start with few replicas.
    """

    version: str
    pool: str
    concurrency: float
    is_withdrawn: bool = False
    min_replicas: int = MIN_REPLICAS


@dataclass(slots=True, frozen=True)
class PlannedOrder:
    """An order to issue to an upstream."""

    upstream: str
    kind: OrderKind
    version: str


@dataclass(slots=True)
class _Target:
    """Target number of replicas of a version."""

    replicas: int
    # Time since which fewer replicas suffice; None if they do not.
    excess_since_s: float | None = None


@dataclass(slots=True)
class _Failure:
    """Consecutive failed orders for one version at one upstream."""

    count: int = 0
    retry_at_s: float = float('-inf')


@dataclass(slots=True)
class _Pool:
    """State of one pool during planning.

    `loaded` holds the versions as they will be once all orders are done.
    """

    upstreams: list[PlacedUpstream]
    demands: list[VersionDemand]
    loaded: dict[str, set[str]] = field(default_factory=dict)
    # Replicas that serve each version now, without pending loads.
    serving: Counter[str] = field(default_factory=Counter)
    changing: set[str] = field(default_factory=set)

    def planned_replicas(self, version: str) -> int:
        """Return the number of replicas once all orders are done."""
        return sum(version in versions for versions in self.loaded.values())

    def may_change(self, upstream: str) -> bool:
        """Tell whether the upstream may change along with the others."""
        if upstream in self.changing:
            return False
        limit = max(1, int(MAX_CHANGING_SHARE * len(self.upstreams)))
        return len(self.changing) < limit


class PlacementPlanner:
    """Plans the placement of versions and tracks pending orders."""

    __slots__ = (
        '_failures',
        '_load_tokens',
        '_pending',
        '_refilled_at_s',
        '_targets',
    )

    def __init__(self) -> None:
        """Start without targets and with the full burst of loads."""
        self._failures: dict[tuple[str, str], _Failure] = {}
        self._pending: dict[PlannedOrder, float] = {}
        self._targets: dict[str, _Target] = {}
        self._load_tokens = LOAD_BURST
        self._refilled_at_s = 0.0

    def plan(
        self,
        upstreams: Sequence[PlacedUpstream],
        demands: Sequence[VersionDemand],
        now_s: float,
    ) -> list[PlannedOrder]:
        """Return the orders to issue now and record them as pending."""
        self._expire_overdue(now_s)
        self._refill_load_tokens(now_s)
        orders = []
        for name in sorted({demand.pool for demand in demands}):
            pool = self._project_pool(name, upstreams, demands)
            self._update_targets(pool, now_s)
            orders.extend(self._plan_loads(pool, now_s))
            orders.extend(self._plan_withdrawn_unloads(pool, now_s))
            orders.extend(self._plan_surplus_unloads(pool, now_s))
        # Orders beyond the limit are planned again by the next call.
        for order in orders[MAX_ORDERS_PER_PLAN:]:
            self._pending.pop(order)
        return orders[:MAX_ORDERS_PER_PLAN]

    def record_result(
        self,
        order: PlannedOrder,
        succeeded: bool,
        now_s: float,
    ) -> None:
        """Record the result of an order; retry a failed one with backoff."""
        self._pending.pop(order, None)
        key = (order.upstream, order.version)
        if succeeded:
            self._failures.pop(key, None)
            return
        failure = self._failures.setdefault(key, _Failure())
        backoff_s = INITIAL_BACKOFF_S * 2**failure.count
        failure.retry_at_s = now_s + min(MAX_BACKOFF_S, backoff_s)
        failure.count = min(failure.count + 1, 10)

    def _expire_overdue(self, now_s: float) -> None:
        overdue = [
            order
            for order, issued_at_s in self._pending.items()
            if now_s - issued_at_s >= ORDER_TIMEOUT_S
        ]
        for order in overdue:
            self.record_result(order, succeeded=False, now_s=now_s)

    def _refill_load_tokens(self, now_s: float) -> None:
        refill = (now_s - self._refilled_at_s) * LOAD_RATE_PER_S
        self._load_tokens = min(
            LOAD_BURST, self._load_tokens + max(0.0, refill)
        )
        self._refilled_at_s = now_s

    def _project_pool(
        self,
        name: str,
        upstreams: Iterable[PlacedUpstream],
        demands: Iterable[VersionDemand],
    ) -> _Pool:
        """Return the pool as projected once pending orders are done."""
        live = [
            upstream
            for upstream in upstreams
            if upstream.pool == name and upstream.is_live
        ]
        pool = _Pool(live, [item for item in demands if item.pool == name])
        for upstream in live:
            pool.loaded[upstream.name] = set(upstream.loaded)
            pool.serving.update(upstream.loaded)
        for order in self._pending:
            versions = pool.loaded.get(order.upstream)
            if versions is None:
                continue
            pool.changing.add(order.upstream)
            if order.kind is OrderKind.LOAD:
                versions.add(order.version)
            else:
                versions.discard(order.version)
                pool.serving[order.version] -= 1
        return pool

    def _update_targets(self, pool: _Pool, now_s: float) -> None:
        """Raise targets at once; lower them by one replica after a delay."""
        needed = _needed_replicas(pool, DEMAND_MARGIN)
        needed_before_removal = _needed_replicas(pool, SCALE_DOWN_MARGIN)
        for demand in pool.demands:
            version = demand.version
            if demand.is_withdrawn:
                self._targets[version] = _Target(0)
                continue
            need = math.ceil(needed[version])
            target = self._targets.setdefault(version, _Target(need))
            can_remove = needed_before_removal[version] <= target.replicas - 1
            _adjust_target(target, need, now_s, can_remove=can_remove)

    def _plan_loads(self, pool: _Pool, now_s: float) -> Iterator[PlannedOrder]:
        """Load missing replicas, lowest share of the target first."""
        by_coverage = sorted(
            pool.demands,
            key=lambda demand: self._target_coverage(pool, demand.version),
        )
        for demand in by_coverage:
            version = demand.version
            while self._load_tokens >= 1 and self._is_below_target(
                pool, version
            ):
                upstream = self._select_upstream(pool, version, now_s)
                if upstream is None:
                    break
                self._load_tokens -= 1
                order = PlannedOrder(upstream, OrderKind.LOAD, version)
                yield self._issue(pool, order, now_s)

    def _plan_withdrawn_unloads(
        self,
        pool: _Pool,
        now_s: float,
    ) -> Iterator[PlannedOrder]:
        """Unload withdrawn versions that have no running requests."""
        for demand in pool.demands:
            if not demand.is_withdrawn or demand.concurrency > 0:
                continue
            version = demand.version
            for upstream in _unload_candidates(pool, version):
                if pool.may_change(upstream):
                    order = PlannedOrder(upstream, OrderKind.UNLOAD, version)
                    yield self._issue(pool, order, now_s)

    def _plan_surplus_unloads(
        self,
        pool: _Pool,
        now_s: float,
    ) -> Iterator[PlannedOrder]:
        """Free capacity for versions that lack it, one replica each."""
        for demand in pool.demands:
            if not self._lacks_capacity(pool, demand.version, now_s):
                continue
            order = self._surplus_unload(pool, demand.version, now_s)
            if order is not None:
                yield self._issue(pool, order, now_s)

    def _surplus_unload(
        self,
        pool: _Pool,
        new_version: str,
        now_s: float,
    ) -> PlannedOrder | None:
        """Return an unload of a surplus replica that frees capacity."""
        for other in pool.demands:
            version = other.version
            if other.is_withdrawn or self._surplus(pool, version) <= 0:
                continue
            for upstream in _unload_candidates(pool, version):
                if (
                    pool.may_change(upstream)
                    and new_version not in pool.loaded[upstream]
                    and not self._is_backing_off(upstream, new_version, now_s)
                ):
                    return PlannedOrder(upstream, OrderKind.UNLOAD, version)
        return None

    def _issue(
        self,
        pool: _Pool,
        order: PlannedOrder,
        now_s: float,
    ) -> PlannedOrder:
        """Record an order as pending and apply it to the projected pool."""
        self._pending[order] = now_s
        pool.changing.add(order.upstream)
        if order.kind is OrderKind.LOAD:
            pool.loaded[order.upstream].add(order.version)
        else:
            pool.loaded[order.upstream].discard(order.version)
            pool.serving[order.version] -= 1
        return order

    def _select_upstream(
        self, pool: _Pool, version: str, now_s: float
    ) -> str | None:
        """Return the least loaded upstream that may load the version."""
        eligible = [
            upstream
            for upstream in pool.upstreams
            if version not in pool.loaded[upstream.name]
            and len(pool.loaded[upstream.name]) < upstream.max_versions
            and pool.may_change(upstream.name)
            and not self._is_backing_off(upstream.name, version, now_s)
        ]
        if not eligible:
            return None
        best = min(
            eligible,
            key=lambda upstream: (
                len(pool.loaded[upstream.name]),
                upstream.name,
            ),
        )
        return best.name

    def _is_backing_off(
        self,
        upstream: str,
        version: str,
        now_s: float,
    ) -> bool:
        failure = self._failures.get((upstream, version))
        return failure is not None and now_s < failure.retry_at_s

    def _target_replicas(self, version: str) -> int:
        target = self._targets.get(version)
        return target.replicas if target else 0

    def _is_below_target(self, pool: _Pool, version: str) -> bool:
        return pool.planned_replicas(version) < self._target_replicas(version)

    def _lacks_capacity(self, pool: _Pool, version: str, now_s: float) -> bool:
        """Tell whether replicas are missing and no upstream has capacity."""
        return self._is_below_target(pool, version) and not any(
            version not in pool.loaded[upstream.name]
            and len(pool.loaded[upstream.name]) < upstream.max_versions
            and not self._is_backing_off(upstream.name, version, now_s)
            for upstream in pool.upstreams
        )

    def _surplus(self, pool: _Pool, version: str) -> int:
        """Return the number of serving replicas above the target."""
        return pool.serving[version] - max(1, self._target_replicas(version))

    def _target_coverage(self, pool: _Pool, version: str) -> float:
        """Return the planned replicas as a share of the target."""
        return pool.planned_replicas(version) / max(
            1, self._target_replicas(version)
        )


def _needed_replicas(pool: _Pool, margin: float) -> dict[str, float]:
    """Return the number of replicas that each version needs with a margin.

    If the capacity of the pool is too small, each version keeps its minimum
    and the remaining capacity is divided in proportion to the need.
    """
    slots = _mean_slots(pool.upstreams)
    upstream_count = len(pool.upstreams)
    minimum: dict[str, int] = {}
    additional: dict[str, float] = {}
    for demand in pool.demands:
        if demand.is_withdrawn:
            continue
        need = min(upstream_count, demand.concurrency * margin / slots)
        min_replicas = min(demand.min_replicas, upstream_count)
        minimum[demand.version] = min_replicas
        additional[demand.version] = max(0.0, need - min_replicas)
    capacity = sum(upstream.max_versions for upstream in pool.upstreams)
    capacity = max(0, capacity - sum(minimum.values()))
    factor = min(1.0, capacity / max(1, sum(additional.values())))
    return {
        version: min_replicas + additional[version] * factor
        for version, min_replicas in minimum.items()
    }


def _mean_slots(upstreams: Sequence[PlacedUpstream]) -> float:
    if not upstreams:
        return 1.0
    total = sum(upstream.slots for upstream in upstreams)
    return max(1.0, total / len(upstreams))


def _adjust_target(
    target: _Target,
    need: int,
    now_s: float,
    *,
    can_remove: bool,
) -> None:
    if need >= target.replicas or not can_remove:
        target.replicas = max(target.replicas, need)
        target.excess_since_s = None
        return
    if target.excess_since_s is None:
        target.excess_since_s = now_s
    if now_s - target.excess_since_s >= SCALE_DOWN_DELAY_S:
        target.replicas -= 1
        target.excess_since_s = now_s


def _unload_candidates(pool: _Pool, version: str) -> list[str]:
    """Return the upstreams that may unload a version, fullest first."""
    candidates = [
        upstream.name
        for upstream in pool.upstreams
        if version in upstream.loaded and version in pool.loaded[upstream.name]
    ]
    candidates.sort(key=lambda name: (-len(pool.loaded[name]), name))
    return candidates


def make_placement_planner() -> PlacementPlanner:
    """Return a planner without targets and orders."""
    return PlacementPlanner()
