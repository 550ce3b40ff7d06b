"""Queues requests until their pool has capacity, fairly between accounts."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from snipebridge.clock import Clock
from snipebridge.errors import Ran
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import (
    DeadlineError,
    OverloadedError,
    RequestError,
)
from snipebridge.filters.exchange import Exchange
from snipebridge.logs import log_decision
from snipebridge.policy.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Queued,
    RefusalReason,
    Refused,
)

_EXPIRY_INTERVAL_S = 0.02
_DEADLINE_REASONS = frozenset(
    (RefusalReason.DEADLINE, RefusalReason.DEADLINE_TOO_SHORT),
)


@dataclass(slots=True)
class Demand:
    """Demand of one client account for one pool at this entry."""

    running: int = 0
    waiting: int = 0
    offered: int = 0
    completed: int = 0

    def is_idle(self) -> bool:
        """Tell whether there is no demand to report."""
        return not (self.running or self.waiting or self.completed)


class AdmissionGate:
    """Suspends coroutines until the admission policy decides on them."""

    __slots__ = ('_clock', '_futures', 'demands', 'policy')

    def __init__(self, policy: Admission, clock: Clock) -> None:
        """Start with no request queued."""
        self.policy = policy
        self._clock = clock
        self._futures: dict[int, asyncio.Future[Refused | None]] = {}
        self.demands: dict[tuple[str, str], Demand] = {}

    async def acquire(self, request: AdmissionRequest) -> int:
        """Return the ticket once admitted; raises `RequestError` if refused."""
        demand = self._demand(request.account, request.pool)
        demand.offered += 1
        decision = self.policy.offer(request, self._clock.monotonic_s())
        if isinstance(decision, Refused):
            raise make_refusal(decision)
        if isinstance(decision, Queued):
            demand.waiting += 1
            try:
                await self._wait(decision.ticket)
            finally:
                demand.waiting -= 1
        return decision.ticket

    def release(self, ticket: int, actual_cost: float | None = None) -> None:
        """Release the capacity of a ticket and admit the next requests."""
        now_s = self._clock.monotonic_s()
        self.wake(self.policy.release(ticket, now_s, actual_cost))

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Set the concurrency limit of each pool."""
        now_s = self._clock.monotonic_s()
        for pool, limit in limits.items():
            self.wake(self.policy.set_limit(pool, limit, now_s))

    def running(self, pool: str) -> int:
        """Return how many admitted requests of a pool are in progress."""
        return self.policy.running(pool)

    def wake(self, admitted: Iterable[Admitted]) -> None:
        """Resume the coroutines of admitted requests."""
        for admission in admitted:
            future = self._futures.get(admission.ticket)
            if future is not None and not future.done():
                future.set_result(None)

    async def run(self) -> None:
        """Refuse requests that cannot meet their deadline, until cancelled."""
        while True:
            self.expire()
            await asyncio.sleep(_EXPIRY_INTERVAL_S)

    def expire(self) -> None:
        """Refuse the queued requests that can no longer meet their deadline."""
        for refused in self.policy.expire(self._clock.monotonic_s()):
            future = self._futures.get(refused.ticket)
            if future is not None and not future.done():
                future.set_result(refused)

    def record_start(self, account: str, pool: str) -> None:
        """Count a request that was admitted."""
        self._demand(account, pool).running += 1

    def record_end(self, account: str, pool: str) -> None:
        """Count an admitted request that has ended."""
        demand = self._demand(account, pool)
        demand.running -= 1
        demand.completed += 1

    def _demand(self, account: str, pool: str) -> 'Demand':
        return self.demands.setdefault((account, pool), Demand())

    async def _wait(self, ticket: int) -> None:
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket] = future
        try:
            refused = await future
        except asyncio.CancelledError:
            # Admitted just before the cancellation: release the capacity.
            if not self.policy.cancel(ticket):
                self.release(ticket)
            raise
        finally:
            del self._futures[ticket]
        if refused is not None:
            raise make_refusal(refused)


class AdmissionFilter:
    """Holds a ticket of the pool while the rest of the chain runs."""

    __slots__ = ('_gate',)

    def __init__(self, gate: AdmissionGate) -> None:
        """Keep the gate that admits requests."""
        self._gate = gate

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Wait for admission, run the rest, release the ticket."""
        request = _make_request(exchange)
        try:
            ticket = await self._gate.acquire(request)
        except RequestError as error:
            log_decision(
                'admission',
                request_id=exchange.request_id,
                account=request.account,
                pool=request.pool,
                refused=error.code,
                reason=error.message,
                retry_after_s=error.retry_after_s,
            )
            raise
        self._gate.record_start(request.account, request.pool)
        try:
            await proceed()
        finally:
            self._gate.record_end(request.account, request.pool)
            self._gate.release(ticket, _actual_cost(exchange))


def make_refusal(refused: Refused) -> RequestError:
    """Return the error with which the caller is refused."""
    error_type = (
        DeadlineError
        if refused.reason in _DEADLINE_REASONS
        else OverloadedError
    )
    return error_type(
        f'not admitted: {refused.reason}', Ran.NO, refused.retry_after_s
    )


def _make_request(exchange: Exchange) -> AdmissionRequest:
    return AdmissionRequest(
        account=exchange.account.name,
        weight=exchange.account.weight,
        pool=exchange.pool,
        priority=exchange.priority,
        deadline_s=exchange.deadline_s,
        expected_s=0.0,
        cost=_expected_cost(exchange),
    )


def _expected_cost(exchange: Exchange) -> float:
    if exchange.chat is None:
        return 1.0
    return float(exchange.chat.expected_tokens)


def _actual_cost(exchange: Exchange) -> float | None:
    tokens = exchange.delivered.completion_tokens
    return float(tokens) if exchange.chat is not None and tokens else None
