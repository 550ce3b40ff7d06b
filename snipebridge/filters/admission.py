"""Waits for room in the pool, fairly between client accounts."""

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

_EXPIRY_CHECK_S = 0.02
_DEADLINE_REASONS = frozenset(
    (RefusalReason.DEADLINE, RefusalReason.DEADLINE_TOO_SHORT),
)


@dataclass(slots=True)
class Demand:
    """What one client account asks of one pool at this entry."""

    running: int = 0
    waiting: int = 0
    offered: int = 0
    completed: int = 0

    def is_idle(self) -> bool:
        """Tell whether there is nothing to report."""
        return not (self.running or self.waiting or self.completed)


class AdmissionGate:
    """Lets coroutines wait for what the admission policy decides."""

    __slots__ = ('_clock', '_waiting', 'demands', 'policy')

    def __init__(self, policy: Admission, clock: Clock) -> None:
        """Start with nobody waiting."""
        self.policy = policy
        self._clock = clock
        self._waiting: dict[int, asyncio.Future[Refused | None]] = {}
        self.demands: dict[tuple[str, str], Demand] = {}

    async def acquire(self, request: AdmissionRequest) -> int:
        """Return the ticket once admitted; raises `RequestError` if not."""
        demand = self._demand(request.account, request.pool)
        demand.offered += 1
        answer = self.policy.offer(request, self._clock.monotonic_s())
        if isinstance(answer, Refused):
            raise make_refusal(answer)
        if isinstance(answer, Queued):
            demand.waiting += 1
            try:
                await self._wait(answer.ticket)
            finally:
                demand.waiting -= 1
        return answer.ticket

    def release(self, ticket: int, actual_cost: float | None = None) -> None:
        """Give the room back and wake who gets it."""
        now_s = self._clock.monotonic_s()
        self.wake(self.policy.release(ticket, now_s, actual_cost))

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Set the concurrency limit of each pool."""
        now_s = self._clock.monotonic_s()
        for pool, limit in limits.items():
            self.wake(self.policy.set_limit(pool, limit, now_s))

    def running(self, pool: str) -> int:
        """Return the admitted requests of a pool that are not over."""
        return self.policy.running(pool)

    def wake(self, admitted: Iterable[Admitted]) -> None:
        """Let admitted requests go on."""
        for one in admitted:
            future = self._waiting.get(one.ticket)
            if future is not None and not future.done():
                future.set_result(None)

    async def run(self) -> None:
        """Give up requests that are too late, until cancelled."""
        while True:
            self.expire()
            await asyncio.sleep(_EXPIRY_CHECK_S)

    def expire(self) -> None:
        """Answer at once those that can't make their deadline."""
        for refused in self.policy.expire(self._clock.monotonic_s()):
            future = self._waiting.get(refused.ticket)
            if future is not None and not future.done():
                future.set_result(refused)

    def record_start(self, account: str, pool: str) -> None:
        """Count a request that holds a place now."""
        self._demand(account, pool).running += 1

    def record_end(self, account: str, pool: str) -> None:
        """Count a request that gave its place back."""
        demand = self._demand(account, pool)
        demand.running -= 1
        demand.completed += 1

    def _demand(self, account: str, pool: str) -> 'Demand':
        return self.demands.setdefault((account, pool), Demand())

    async def _wait(self, ticket: int) -> None:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        try:
            refused = await future
        except asyncio.CancelledError:
            # Admitted and cancelled at once: the room must be given back.
            if not self.policy.cancel(ticket):
                self.release(ticket)
            raise
        finally:
            del self._waiting[ticket]
        if refused is not None:
            raise make_refusal(refused)


class AdmissionFilter:
    """Holds a place in the pool while the rest of the chain runs."""

    __slots__ = ('_gate',)

    def __init__(self, gate: AdmissionGate) -> None:
        """Keep the gate."""
        self._gate = gate

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Wait for room, run the rest, give the room back."""
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
    """Return what a caller is told of a refusal."""
    kind = (
        DeadlineError
        if refused.reason in _DEADLINE_REASONS
        else OverloadedError
    )
    return kind(
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
