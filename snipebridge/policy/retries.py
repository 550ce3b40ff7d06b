"""Decides on retries of failed attempts and hedges of slow ones.

A request is retried only if the failed attempt certainly did not run or the
request is idempotent, if the retry can still meet the deadline, and if the
retry budget of the pool allows it. Each success in the pool adds a fraction of
a retry to the budget. A pool that answers nothing earns nothing, so that
neither its failure nor its recovery causes a retry storm. Hedges, which are
second attempts in parallel to a slow first one, use the same budget.

>>> policy = make_retry_policy()
>>> attempt = FailedAttempt('models', Ran.NO, is_idempotent=False)
>>> policy.decide(attempt, 0.0, random.Random(1)).reason
<RetryReason.ALLOWED: 'allowed'>
>>> attempt = FailedAttempt('models', Ran.UNKNOWN, is_idempotent=False)
>>> policy.decide(attempt, 0.0, random.Random(1)).reason
<RetryReason.MAY_HAVE_RUN: 'may_have_run'>
"""

import enum
import random
from dataclasses import dataclass

from snipebridge.errors import Ran

RETRIES_PER_SUCCESS = 0.07
INITIAL_RETRIES = 4.0
MAX_BALANCE_RETRIES = 4.0
MAX_ATTEMPTS = 3
BASE_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
HEDGE_QUANTILE = 0.95
# Step of the estimated hedging delay, relative to the delay.
HEDGE_STEP = 0.05
MIN_HEDGE_DELAY_S = 0.05
INITIAL_HEDGE_DELAY_S = 2.0


@enum.unique
class RetryReason(enum.StrEnum):
    """Reason for which another attempt is allowed or denied."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may_have_run'
    DEADLINE = 'deadline'
    ATTEMPTS = 'attempts'
    BUDGET = 'budget'
    POOL_EMPTY = 'pool_empty'
    NOT_SLOW = 'not_slow'


@dataclass(slots=True, frozen=True)
class FailedAttempt:
    """An attempt that ended without an answer.

    `ran` says whether it ran on the upstream, and `attempts` how many were
    made. `deadline_s` is an absolute time on the clock of `now_s`.
    """

    pool: str
    ran: Ran
    is_idempotent: bool
    attempts: int = 1
    deadline_s: float | None = None
    expected_s: float = 0.0


@dataclass(slots=True, frozen=True)
class SlowAttempt:
    """A dispatched attempt that has not received its first token."""

    pool: str
    is_idempotent: bool
    waited_s: float
    attempts: int = 1
    deadline_s: float | None = None
    expected_s: float = 0.0


@dataclass(slots=True, frozen=True)
class RetryDecision:
    """Whether another attempt is allowed, the reason and the backoff."""

    allowed: bool
    reason: RetryReason
    delay_s: float = 0.0


@dataclass(slots=True)
class _PoolBudget:
    """Retry budget, time without replicas and hedging delay of one pool."""

    balance: float
    empty_until_s: float = float('-inf')
    hedge_delay_s: float = INITIAL_HEDGE_DELAY_S


class RetryPolicy:
    """Retry and hedging policy of one entry, with a budget per pool."""

    __slots__ = ('_budgets', '_retries_per_success')

    def __init__(self, retries_per_success: float) -> None:
        """Add this many retries to the budget of a pool with each success."""
        self._retries_per_success = retries_per_success
        self._budgets: dict[str, _PoolBudget] = {}

    def record_success(self, pool: str) -> None:
        """Add what one answered request earns to the budget."""
        budget = self._budget(pool)
        budget.balance = min(
            MAX_BALANCE_RETRIES, budget.balance + self._retries_per_success
        )
        budget.empty_until_s = float('-inf')

    def record_first_token(self, pool: str, waited_s: float) -> None:
        """Update the quantile after which a first token counts as slow.

        A slower sample raises the estimate and a faster one lowers it. The
        sizes of the two steps cancel out on average at the quantile.
        """
        budget = self._budget(pool)
        step_s = HEDGE_STEP * budget.hedge_delay_s
        if waited_s > budget.hedge_delay_s:
            budget.hedge_delay_s += step_s * HEDGE_QUANTILE
        else:
            budget.hedge_delay_s -= step_s * (1 - HEDGE_QUANTILE)
        budget.hedge_delay_s = max(MIN_HEDGE_DELAY_S, budget.hedge_delay_s)

    def mark_pool_empty(self, pool: str, until_s: float) -> None:
        """Deny retries until then, or the next success: no replica is live."""
        budget = self._budget(pool)
        budget.empty_until_s = max(budget.empty_until_s, until_s)

    def hedge_delay_s(self, pool: str) -> float:
        """Return the wait after which an attempt in the pool is hedged."""
        return self._budget(pool).hedge_delay_s

    def decide(
        self,
        attempt: FailedAttempt,
        now_s: float,
        rng: random.Random,
    ) -> RetryDecision:
        """Decide on a retry; an allowed one is charged to the budget."""
        if attempt.ran is not Ran.NO and not attempt.is_idempotent:
            return _deny(RetryReason.MAY_HAVE_RUN)
        delay_s = _backoff_s(attempt, rng)
        return self._spend_retry(
            attempt.pool,
            attempt.attempts,
            now_s,
            _overrun_s(attempt, now_s + delay_s),
            delay_s,
        )

    def decide_hedge(
        self,
        attempt: SlowAttempt,
        now_s: float,
    ) -> RetryDecision:
        """Decide on a hedge; an allowed one is charged to the budget."""
        if not attempt.is_idempotent:
            return _deny(RetryReason.MAY_HAVE_RUN)
        if attempt.waited_s < self.hedge_delay_s(attempt.pool):
            return _deny(RetryReason.NOT_SLOW)
        return self._spend_retry(
            attempt.pool,
            attempt.attempts,
            now_s,
            _overrun_s(attempt, now_s),
            delay_s=0.0,
        )

    def _spend_retry(
        self,
        pool: str,
        attempts: int,
        now_s: float,
        overrun_s: float,
        delay_s: float,
    ) -> RetryDecision:
        budget = self._budget(pool)
        if attempts >= MAX_ATTEMPTS:
            return _deny(RetryReason.ATTEMPTS)
        if overrun_s > 0:
            return _deny(RetryReason.DEADLINE)
        if now_s < budget.empty_until_s:
            return _deny(RetryReason.POOL_EMPTY)
        if budget.balance < 1:
            return _deny(RetryReason.BUDGET)
        budget.balance -= 1
        return RetryDecision(True, RetryReason.ALLOWED, delay_s)

    def _budget(self, pool: str) -> _PoolBudget:
        budget = self._budgets.get(pool)
        if budget is None:
            budget = _PoolBudget(INITIAL_RETRIES)
            self._budgets[pool] = budget
        return budget


def _deny(reason: RetryReason) -> RetryDecision:
    return RetryDecision(False, reason)


def _overrun_s(attempt: FailedAttempt | SlowAttempt, start_s: float) -> float:
    """Return how late an attempt would end, negative if it is in time."""
    if attempt.deadline_s is None:
        return float('-inf')
    return start_s + attempt.expected_s - attempt.deadline_s


def _backoff_s(attempt: FailedAttempt, rng: random.Random) -> float:
    """Return exponential backoff with full jitter.

    The first retry of a request that did not run is sent to another replica
    without a delay.
    """
    if attempt.ran is Ran.NO and attempt.attempts == 1:
        return 0.0
    bound_s = BASE_BACKOFF_S * 2**attempt.attempts
    return rng.uniform(0, min(MAX_BACKOFF_S, bound_s))


def make_retry_policy(
    retries_per_success: float = RETRIES_PER_SUCCESS,
) -> RetryPolicy:
    """Return a policy whose budgets grow by this much with each success."""
    return RetryPolicy(retries_per_success)
