"""Admission control for pools, with fair queueing between client accounts.

Each pool has a concurrency limit and bounded queues. Start-time fair queueing
divides the pool between accounts with queued requests, by weight or, where
control has sent them, by shares of the whole fleet. Capacity that an account
leaves idle goes to the others until the account requests it. Higher
priorities go first as long as no account falls further behind than a fixed
allowance.

A request that can't meet its deadline is refused at once, with the time after
which the queue is expected to have room for it.

>>> admission = make_admission()
>>> admission.set_limit('models', 1, now_s=0.0)
[]
>>> first = admission.offer(AdmissionRequest('a', 1.0, 'models'), now_s=0.0)
>>> second = admission.offer(AdmissionRequest('b', 1.0, 'models'), now_s=0.0)
>>> admission.release(first.ticket, now_s=0.5) == [Admitted(second.ticket)]
True
"""

import heapq
import itertools
from collections.abc import Mapping

from snipebridge.policy.admission_types import (
    AdmissionRequest,
    Admitted,
    Queued,
    RefusalReason,
    Refused,
)
from snipebridge.policy.fair_queue import (
    Flow,
    LOWEST_PRIORITY,
    Pool,
    Ticket,
    drop_idle_flow,
    earliest_start_tag,
    estimate_wait,
    get_or_create_flow,
    next_flow,
    start_request,
    update_weight,
)

INITIAL_LIMIT = 8
MAX_QUEUED = 256
MAX_QUEUE_S = 10.0
# Share of a request's slack that it may spend in the queue. The expected
# duration is a mean, and capacity spent on requests that end late is wasted.
QUEUED_SLACK_SHARE = 0.5
# A longer standing queue adds no goodput and takes longer to drain.
STANDING_QUEUE_S = 1.25
SERVICE_TIME_SMOOTHING = 0.05
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0


class Admission:
    """Concurrency limits and queues of one entry, by pool."""

    __slots__ = (
        '_max_queued',
        '_pools',
        '_standing_queue_s',
        '_ticket_numbers',
        '_tickets',
    )

    def __init__(self, max_queued: int, standing_queue_s: float) -> None:
        """Bound the queue length of each pool and its expected wait."""
        self._max_queued = max_queued
        self._standing_queue_s = standing_queue_s
        self._pools: dict[str, Pool] = {}
        self._tickets: dict[int, Ticket] = {}
        self._ticket_numbers = itertools.count(1)

    def set_limit(self, pool: str, limit: int, now_s: float) -> list[Admitted]:
        """Set the concurrency limit; returns the requests it admits."""
        self._get_or_create_pool(pool).limit = max(1, limit)
        return self.admit(pool, now_s)

    def set_shares(
        self,
        pool: str,
        shares: Mapping[str, float],
        now_s: float,
        valid_s: float,
    ) -> list[Admitted]:
        """Set the shares of the fleet that this entry may use, by account."""
        state = self._get_or_create_pool(pool)
        state.shares = dict(shares)
        state.share_total = sum(shares.values())
        state.shares_valid_until_s = now_s + valid_s
        for account, flow in state.flows.items():
            update_weight(state, flow, account, now_s)
        return self.admit(pool, now_s)

    def offer(
        self,
        request: AdmissionRequest,
        now_s: float,
    ) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a request."""
        pool = self._get_or_create_pool(request.pool)
        flow = get_or_create_flow(pool, request, now_s)
        ticket = self._make_ticket(request, now_s)
        if now_s > ticket.latest_start_s:
            return _refuse_short_deadline()
        if not flow.queued:
            flow.start_tag = max(flow.start_tag, earliest_start_tag(pool, flow))
        if not pool.queued and pool.running < pool.capacity(now_s):
            self._tickets[ticket.number] = ticket
            pool.virtual_time = max(pool.virtual_time, flow.start_tag)
            start_request(pool, flow, ticket, now_s)
            return Admitted(ticket.number)
        refused = self._check_queue(pool, flow, ticket, now_s)
        if refused is not None:
            drop_idle_flow(pool, request.account)
            return refused
        self._tickets[ticket.number] = ticket
        pool.queued += 1
        heapq.heappush(flow.queue, ticket)
        flow.adjust_queued(ticket.priority, 1)
        expiry = (ticket.latest_start_s, ticket.number)
        heapq.heappush(pool.expiries, expiry)
        return Queued(ticket.number)

    def release(
        self,
        ticket_number: int,
        now_s: float,
        actual_cost: float | None = None,
    ) -> list[Admitted]:
        """End a request; returns those admitted in its place.

        The actual cost, where it is known, corrects what the account was
        charged at admission.
        """
        ticket = self._tickets.pop(ticket_number, None)
        if ticket is None:
            return []
        if ticket.admitted_s is None:
            self._leave_queue(ticket)
            return []
        request = ticket.request
        pool = self._get_or_create_pool(request.pool)
        flow = pool.flows[request.account]
        pool.running -= 1
        flow.running -= 1
        elapsed_s = now_s - ticket.admitted_s
        pool.service_time_s += SERVICE_TIME_SMOOTHING * (
            elapsed_s - pool.service_time_s
        )
        if actual_cost is not None:
            flow.start_tag += (actual_cost - request.cost) / flow.weight
        admitted = self.admit(request.pool, now_s)
        drop_idle_flow(pool, request.account)
        return admitted

    def cancel(self, ticket_number: int) -> bool:
        """Remove a queued request; returns whether it was still queued."""
        ticket = self._tickets.get(ticket_number)
        if ticket is None or ticket.admitted_s is not None:
            return False
        del self._tickets[ticket_number]
        self._leave_queue(ticket)
        return True

    def expire(self, now_s: float) -> list[Refused]:
        """Refuse the queued requests that are past their latest start."""
        refused = []
        for pool in self._pools.values():
            while pool.expiries and pool.expiries[0][0] < now_s:
                _, number = heapq.heappop(pool.expiries)
                ticket = self._tickets.get(number)
                if ticket is None or ticket.admitted_s is not None:
                    continue
                del self._tickets[number]
                self._leave_queue(ticket)
                refused.append(self._refuse_expired(pool, ticket, now_s))
        return refused

    def next_expiry_s(self) -> float:
        """Return when the next queued request expires, or infinity."""
        heads = [
            pool.expiries[0][0]
            for pool in self._pools.values()
            if pool.expiries
        ]
        return min(heads, default=float('inf'))

    def admit(self, pool_name: str, now_s: float) -> list[Admitted]:
        """Admit queued requests up to the capacity of the pool."""
        pool = self._get_or_create_pool(pool_name)
        admitted = []
        while pool.running < pool.capacity(now_s):
            flow = next_flow(pool)
            if flow is None:
                break
            ticket = flow.head()
            heapq.heappop(flow.queue)
            flow.adjust_queued(ticket.priority, -1)
            pool.queued -= 1
            if now_s > ticket.latest_start_s:
                # The ticket is kept so that `expire` refuses it.
                ticket.is_abandoned = True
                continue
            start_request(pool, flow, ticket, now_s)
            admitted.append(Admitted(ticket.number))
        return admitted

    def queued(self, pool_name: str) -> int:
        """Return how many requests are queued in the pool."""
        return self._get_or_create_pool(pool_name).queued

    def running(self, pool_name: str) -> int:
        """Return how many requests are running in the pool."""
        return self._get_or_create_pool(pool_name).running

    def _get_or_create_pool(self, name: str) -> Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = Pool(INITIAL_LIMIT)
            self._pools[name] = pool
        return pool

    def _make_ticket(self, request: AdmissionRequest, now_s: float) -> Ticket:
        latest_start_s = now_s + MAX_QUEUE_S
        if request.deadline_s is not None:
            latest_s = request.deadline_s - request.expected_s
            latest_start_s = min(latest_start_s, latest_s)
        priority = min(max(request.priority, 0), LOWEST_PRIORITY)
        number = next(self._ticket_numbers)
        return Ticket(number, request, priority, latest_start_s)

    def _check_queue(
        self,
        pool: Pool,
        flow: Flow,
        ticket: Ticket,
        now_s: float,
    ) -> Refused | None:
        """Refuse a request if the queue is full or the wait too long."""
        estimate = estimate_wait(pool, flow, ticket.priority, now_s)
        max_queued = max(1.0, self._max_queued * estimate.fair_share)
        excess = flow.queued_at_or_above(ticket.priority) + 1 - max_queued
        if excess > 0 or pool.queued >= 2 * self._max_queued:
            retry_after_s = max(1.0, excess) * estimate.admission_interval_s
            return _refuse(RefusalReason.QUEUE_FULL, retry_after_s)
        slack_s = ticket.latest_start_s - now_s
        allowed_s = QUEUED_SLACK_SHARE * slack_s
        if flow.queued:
            # The bound does not apply to the first queued request of an account.
            allowed_s = min(allowed_s, self._standing_queue_s)
        excess_wait_s = estimate.wait_s - allowed_s
        if excess_wait_s <= 0:
            return None
        if ticket.request.deadline_s is None:
            return _refuse(RefusalReason.QUEUE_FULL, excess_wait_s)
        return _refuse(RefusalReason.DEADLINE, excess_wait_s)

    def _refuse_expired(
        self, pool: Pool, ticket: Ticket, now_s: float
    ) -> Refused:
        """Refuse a request that expired in the queue."""
        flow = get_or_create_flow(pool, ticket.request, now_s)
        estimate = estimate_wait(pool, flow, ticket.priority, now_s)
        reason = RefusalReason.WAITED_TOO_LONG
        if ticket.request.deadline_s is not None:
            reason = RefusalReason.DEADLINE
        return _refuse(reason, estimate.wait_s, ticket.number)

    def _leave_queue(self, ticket: Ticket) -> None:
        if ticket.is_abandoned:
            return
        ticket.is_abandoned = True
        pool = self._pools[ticket.request.pool]
        pool.queued -= 1
        flow = pool.flows[ticket.request.account]
        flow.adjust_queued(ticket.priority, -1)
        flow.compact()


def _refuse(reason: RefusalReason, wait_s: float, ticket: int = 0) -> Refused:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Refused(reason, retry_after_s, ticket)


def _refuse_short_deadline() -> Refused:
    """Refuse a request that would miss its deadline without any wait."""
    return _refuse(RefusalReason.DEADLINE_TOO_SHORT, 0.0)


def make_admission(
    max_queued: int = MAX_QUEUED,
    standing_queue_s: float = STANDING_QUEUE_S,
) -> Admission:
    """Return an admission policy with these bounds on its queues."""
    return Admission(max_queued, standing_queue_s)
