"""Divides the concurrency of a pool between accounts over the whole fleet.

Control collects what each entry runs and queues for each client account. The
concurrency of the pool is divided by weighted max-min fairness: no account
gets more than it demands, and the remainder goes to the others by weight. The
part of each account is then divided between the entries that have its
requests, in proportion to their demands.

>>> plan = make_share_plan()
>>> plan.set_concurrency('models', 8)
>>> plan.record_demands('entry-1', [Demand('a', 'models', 4, 20)], now_s=0.0)
>>> plan.record_demands('entry-2', [Demand('b', 'models', 4, 20)], now_s=0.0)
>>> [(share.account, share.share) for share in plan.shares('entry-1', 0.0)]
[('a', 4.0)]
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

SHARE_VALID_S = 3.0
# Exceeds SHARE_VALID_S: an entry that lost contact with control uses its shares
# until they expire, and no other entry may get them before.
DEMAND_VALID_S = 3.5
PLAN_INTERVAL_S = 0.2
DEMAND_MARGIN = 1.2
DEMAND_MARGIN_REQUESTS = 0.5
# Queues are short and refuse the excess, so each queued request represents
# some that were refused.
WAITING_DEMAND_FACTOR = 4.0
# Idle concurrency is allocated up to this many times over, because the entries
# rarely use it at the same time.
MAX_OVERCOMMIT = 2.0
DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 0.001


@dataclass(slots=True, frozen=True)
class Demand:
    """Running and queued requests of an account at one entry and pool."""

    account: str
    pool: str
    running: float
    waiting: float


@dataclass(slots=True, frozen=True)
class Share:
    """Concurrency that one entry may use for an account in a pool."""

    account: str
    pool: str
    share: float
    valid_s: float


@dataclass(slots=True)
class _Report:
    """The latest demands of one entry."""

    demands: Sequence[Demand]
    received_s: float


@dataclass(slots=True)
class _Allocation:
    """Shares of one pool, by entry and account."""

    by_entry: dict[str, dict[str, float]] = field(default_factory=dict)

    def add(self, entry: str, account: str, share: float) -> None:
        """Increase the share of an account at an entry."""
        shares = self.by_entry.setdefault(entry, {})
        shares[account] = shares.get(account, 0.0) + share


class SharePlan:
    """Shares of all accounts at all entries, from the latest demands."""

    __slots__ = (
        '_allocations',
        '_concurrency',
        '_planned_s',
        '_reports',
        '_weights',
    )

    def __init__(self) -> None:
        """Create a plan without pools and demands."""
        self._concurrency: dict[str, int] = {}
        self._allocations: dict[str, _Allocation] = {}
        self._planned_s = float('-inf')
        self._reports: dict[str, _Report] = {}
        self._weights: dict[str, float] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of the accounts."""
        self._weights = dict(weights)
        self._planned_s = float('-inf')

    def set_concurrency(self, pool: str, concurrency: int) -> None:
        """Set how many requests the whole fleet may run in a pool."""
        self._concurrency[pool] = max(1, concurrency)
        self._planned_s = float('-inf')

    def record_demands(
        self,
        entry: str,
        demands: Sequence[Demand],
        now_s: float,
    ) -> None:
        """Replace the demands of an entry, which expire after a time."""
        is_new = entry not in self._reports
        self._reports[entry] = _Report(tuple(demands), now_s)
        if is_new:
            self._planned_s = float('-inf')

    def remove_entry(self, entry: str) -> None:
        """Free the shares of an entry that has left the fleet."""
        self._reports.pop(entry, None)
        self._planned_s = float('-inf')

    def shares(self, entry: str, now_s: float) -> list[Share]:
        """Return the shares of an entry in all pools."""
        if now_s - self._planned_s >= PLAN_INTERVAL_S:
            self._plan(now_s)
        shares = []
        for pool, allocation in self._allocations.items():
            for account, share in allocation.by_entry.get(entry, {}).items():
                shares.append(Share(account, pool, share, SHARE_VALID_S))
        return shares

    def _plan(self, now_s: float) -> None:
        self._planned_s = now_s
        self._reports = {
            entry: report
            for entry, report in self._reports.items()
            if now_s - report.received_s < DEMAND_VALID_S
        }
        self._allocations = {
            pool: self._allocate(pool, concurrency)
            for pool, concurrency in self._concurrency.items()
        }

    def _allocate(self, pool: str, concurrency: int) -> _Allocation:
        """Divide one pool between accounts, then between entries."""
        demands = self._padded_demands(pool)
        totals = {
            account: sum(by_entry.values())
            for account, by_entry in demands.items()
        }
        parts = allocate_max_min(concurrency, totals, self._weights)
        allocation = _Allocation()
        for account, part in parts.items():
            for entry, demand in demands[account].items():
                share = part * demand / totals[account]
                allocation.add(entry, account, share)
        spare = concurrency - sum(parts.values())
        self._distribute_spare(allocation, parts, spare)
        wanted = max(1.0, self._unpadded_demand(pool))
        overcommit = min(MAX_OVERCOMMIT, max(1.0, concurrency / wanted))
        return _round_totals(allocation, overcommit)

    def _unpadded_demand(self, pool: str) -> float:
        """Return the running and queued requests in a pool."""
        return sum(
            demand.running + demand.waiting
            for report in self._reports.values()
            for demand in report.demands
            if demand.pool == pool
        )

    def _padded_demands(self, pool: str) -> dict[str, dict[str, float]]:
        """Return the demands by account and entry, with a margin.

        Demand is an average, and without a margin an account could not
        exceed that average in its peaks.
        """
        demands: dict[str, dict[str, float]] = {}
        for entry, report in self._reports.items():
            for demand in report.demands:
                wanted = demand.running + WAITING_DEMAND_FACTOR * demand.waiting
                if demand.pool != pool or wanted <= 0:
                    continue
                by_entry = demands.setdefault(demand.account, {})
                margin = DEMAND_MARGIN_REQUESTS
                by_entry[entry] = wanted * DEMAND_MARGIN + margin
        return demands

    def _distribute_spare(
        self,
        allocation: _Allocation,
        parts: Mapping[str, float],
        spare: float,
    ) -> None:
        """Divide unclaimed concurrency between all entries, by weight."""
        if spare <= 0 or not parts:
            return
        weights = {account: self._weight(account) for account in parts}
        total = sum(weights.values()) * len(self._reports)
        for entry in self._reports:
            for account, weight in weights.items():
                allocation.add(entry, account, spare * weight / total)

    def _weight(self, account: str) -> float:
        return max(MIN_WEIGHT, self._weights.get(account, DEFAULT_WEIGHT))


def allocate_max_min(
    capacity: float,
    demands: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness.

    Accounts are served in ascending order of demand per weight, each with
    at most its weighted part of the remaining capacity.

    >>> allocate_max_min(9, {'a': 1, 'b': 9, 'c': 9}, {'c': 3.0})
    {'a': 1, 'c': 6.0, 'b': 2.0}
    """
    parts: dict[str, float] = {}
    weight_of = {
        account: max(MIN_WEIGHT, weights.get(account, DEFAULT_WEIGHT))
        for account in demands
    }
    remaining = capacity
    remaining_weight = sum(weight_of.values())
    order = sorted(demands, key=lambda name: demands[name] / weight_of[name])
    for account in order:
        fair_part = remaining * weight_of[account] / remaining_weight
        parts[account] = min(demands[account], fair_part)
        remaining -= parts[account]
        remaining_weight -= weight_of[account]
    return parts


def _round_totals(allocation: _Allocation, overcommit: float) -> _Allocation:
    """Scale the shares so that the sum of each entry is an integer.

    An entry rounds its sum to whole requests. Many small sums, each rounded
    by itself, would add up to far more or less than the concurrency of the
    pool. Each entry gets at least one request.
    """
    totals = {
        entry: sum(shares.values())
        for entry, shares in allocation.by_entry.items()
    }
    whole_totals = {
        entry: max(1, int(total * overcommit))
        for entry, total in totals.items()
    }
    remaining = round(sum(totals.values()) * overcommit) - sum(
        whole_totals.values()
    )
    remainders = sorted(
        totals,
        key=lambda entry: totals[entry] * overcommit - whole_totals[entry],
        reverse=True,
    )
    for entry in remainders[: max(0, remaining)]:
        whole_totals[entry] += 1
    for entry, shares in allocation.by_entry.items():
        _scale(shares, whole_totals[entry] / totals[entry])
    return allocation


def _scale(shares: dict[str, float], factor: float) -> None:
    for account in shares:
        shares[account] *= factor


def make_share_plan() -> SharePlan:
    """Return a plan without pools, weights and demands."""
    return SharePlan()
