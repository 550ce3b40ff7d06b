"""Start-time fair queueing between the client accounts of one pool."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field

from snipebridge.policy.admission_types import AdmissionRequest

LOWEST_PRIORITY = 3
PRIORITY_ALLOWANCE_REQUESTS = 8.0
CREDIT_REQUESTS = 4.0
INITIAL_SERVICE_TIME_S = 1.0
COST_SMOOTHING = 0.05
MIN_WEIGHT = 0.001
MAX_STALE_TICKETS = 32


@dataclass(slots=True)
class Ticket:
    """A queued or running request."""

    number: int
    request: AdmissionRequest
    priority: int
    latest_start_s: float
    admitted_s: float | None = None
    # Cancelled or expired; the heap of its flow may still contain it.
    is_abandoned: bool = False

    def __lt__(self, other: 'Ticket') -> bool:
        """Order by priority, then by the latest start."""
        mine = (self.priority, self.latest_start_s, self.number)
        theirs = (other.priority, other.latest_start_s, other.number)
        return mine < theirs


@dataclass(slots=True)
class Flow:
    """Queue and start tag of one account in one pool."""

    # Weight of the account, and the weight or share in use for the queueing.
    account_weight: float
    weight: float
    # Virtual time at which the next request of the account may start.
    start_tag: float
    running: int = 0
    # Heap that may contain abandoned tickets.
    queue: list[Ticket] = field(default_factory=list)
    queued: int = 0
    queued_by_priority: list[int] = field(
        default_factory=lambda: [0 for _ in range(LOWEST_PRIORITY + 1)],
    )

    def queued_at_or_above(self, priority: int) -> int:
        """Return how many queued requests have at least this priority."""
        if priority == LOWEST_PRIORITY:
            return self.queued
        return sum(self.queued_by_priority[: priority + 1])

    def adjust_queued(self, priority: int, change: int) -> None:
        """Change the number of queued requests of a priority."""
        self.queued += change
        self.queued_by_priority[priority] += change

    def compact(self) -> None:
        """Remove abandoned tickets once they outnumber the others."""
        if len(self.queue) > 2 * self.queued + MAX_STALE_TICKETS:
            self.queue = [item for item in self.queue if not item.is_abandoned]
            heapq.heapify(self.queue)

    def head(self) -> Ticket:
        """Return the next ticket; at least one request must be queued."""
        while self.queue[0].is_abandoned:
            heapq.heappop(self.queue)
        return self.queue[0]


@dataclass(slots=True)
class Pool:
    """Limit, shares, flows and estimates of one pool."""

    limit: int
    running: int = 0
    queued: int = 0
    virtual_time: float = 0.0
    flows: dict[str, Flow] = field(default_factory=dict)
    shares: Mapping[str, float] = field(default_factory=dict)
    shares_valid_until_s: float = float('-inf')
    share_total: float = 0.0
    service_time_s: float = INITIAL_SERVICE_TIME_S
    mean_cost: float = 1.0
    # Heap of queued requests by their latest start.
    expiries: list[tuple[float, int]] = field(default_factory=list)

    def capacity(self, now_s: float) -> int:
        """Return the requests that may run at once.

        The shares of an entry add up to its part of the whole pool, which
        keeps a busy entry from using the parts of other entries.
        """
        if now_s >= self.shares_valid_until_s:
            return self.limit
        return max(1, min(self.limit, round(self.share_total)))

    def effective_weight(
        self, account: str, weight: float, now_s: float
    ) -> float:
        """Return the share of the account, or its weight without shares.

        An account without a share, which control has not seen at this entry
        yet, gets the mean share of the others, scaled by its weight.
        """
        if now_s >= self.shares_valid_until_s or not self.shares:
            return max(weight, MIN_WEIGHT)
        share = self.shares.get(account)
        if share is None:
            mean = self.share_total / len(self.shares)
            share = mean * weight
        return max(share, MIN_WEIGHT)


@dataclass(slots=True, frozen=True)
class Estimate:
    """Expected service of an account by a pool."""

    # Share of the pool that the account is entitled to now.
    fair_share: float
    # Expected time between two admissions of the account.
    admission_interval_s: float
    # Expected wait of a request that is queued now.
    wait_s: float


def estimate_wait(
    pool: Pool,
    flow: Flow,
    priority: int,
    now_s: float,
) -> Estimate:
    weight = flow.weight
    own_queued = flow.queued_at_or_above(priority)
    queued_ahead = own_queued
    start_tag_limit = (
        max(flow.start_tag, earliest_start_tag(pool, flow))
        + own_queued * pool.mean_cost / flow.weight
    )
    served = 0.0
    for other in pool.flows.values():
        if other is flow:
            continue
        if other.queued:
            weight += other.weight
            queued_ahead += other.queued_at_or_above(priority)
            served += _served_before(other, start_tag_limit, pool.mean_cost)
        elif other.running:
            weight += other.weight
    # Position in fair order, improved by the priority up to the allowance.
    fair_position = own_queued + 1 + served
    position = max(
        min(queued_ahead + 1, fair_position),
        fair_position - PRIORITY_ALLOWANCE_REQUESTS,
    )
    fair_share = flow.weight / weight
    drain_s = pool.service_time_s / pool.capacity(now_s)
    return Estimate(fair_share, drain_s / fair_share, position * drain_s)


def _served_before(flow: Flow, start_tag_limit: float, cost: float) -> float:
    """Return how many queued requests start before a virtual time."""
    if flow.start_tag >= start_tag_limit:
        return 0.0
    served = (start_tag_limit - flow.start_tag) * flow.weight / cost
    return served if served < flow.queued else flow.queued


def earliest_start_tag(pool: Pool, flow: Flow) -> float:
    """Return the lowest start tag that an account may have.

    An account whose queue was briefly empty keeps a small credit. Without
    it, an account that always has queued requests takes the capacity that
    the others leave idle for a moment, and they never get it back.
    """
    return pool.virtual_time - CREDIT_REQUESTS * pool.mean_cost / flow.weight


def get_or_create_flow(
    pool: Pool, request: AdmissionRequest, now_s: float
) -> Flow:
    """Return the flow of the request's account, with its current weight."""
    flow = pool.flows.get(request.account)
    if flow is None:
        flow = Flow(request.weight, request.weight, float('-inf'))
        pool.flows[request.account] = flow
    flow.account_weight = request.weight
    update_weight(pool, flow, request.account, now_s)
    return flow


def update_weight(pool: Pool, flow: Flow, account: str, now_s: float) -> None:
    """Apply the current weight or share of an account.

    The number of requests that the account is ahead or behind is preserved.
    """
    weight = pool.effective_weight(account, flow.account_weight, now_s)
    ahead = flow.start_tag - pool.virtual_time
    flow.start_tag = pool.virtual_time + ahead * flow.weight / weight
    flow.weight = weight


def start_request(pool: Pool, flow: Flow, ticket: Ticket, now_s: float) -> None:
    """Count a request as running and charge its cost to its account."""
    request = ticket.request
    ticket.admitted_s = now_s
    pool.running += 1
    flow.running += 1
    pool.mean_cost += COST_SMOOTHING * (request.cost - pool.mean_cost)
    flow.start_tag += request.cost / flow.weight


def next_flow(pool: Pool) -> Flow | None:
    """Return the flow whose head is admitted next.

    The highest priority goes first among the flows that are ahead of the
    lowest start tag by at most the priority allowance.
    """
    backlogged = [flow for flow in pool.flows.values() if flow.queued]
    if not backlogged:
        return None
    first = min(flow.start_tag for flow in backlogged)
    pool.virtual_time = max(pool.virtual_time, first)
    weight = sum(flow.weight for flow in backlogged)
    allowance = PRIORITY_ALLOWANCE_REQUESTS * pool.mean_cost / weight
    return min(
        (flow for flow in backlogged if flow.start_tag <= first + allowance),
        key=_admission_order,
    )


def _admission_order(flow: Flow) -> tuple[int, float]:
    return flow.head().priority, flow.start_tag


def drop_idle_flow(pool: Pool, account: str) -> None:
    """Remove an idle flow that is no longer ahead of the others."""
    flow = pool.flows[account]
    is_idle = not flow.running and not flow.queued
    if is_idle and flow.start_tag <= earliest_start_tag(pool, flow):
        del pool.flows[account]
