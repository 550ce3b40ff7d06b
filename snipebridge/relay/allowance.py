"""Limits of one request: attempts, retry budget and time left."""

from snipebridge.errors import Ran
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.parts import ForwardParts

# Tries that certainly did not run count against no limit of the operators;
# this bounds them where every replica is full.
_REFUSALS_LIMIT = 3
# Part of the time left that one attempt may wait for its first byte while
# another one can follow.
_PATIENCE_SHARE = 0.45
# Part of the retry budget that better answers may use: the rest is kept for
# answers that would otherwise be lost.
_ESCALATION_SHARE = 0.8
# A stream is silent for too long at this part of its pause objective: moving
# it takes the rest.
_STALL_SHARE = 0.8
LEAST_STALL_S = 0.5
_LEAST_LEFT_S = 0.001


class Allowance:
    """Counts the tries of one request against its limits."""

    __slots__ = ('_exchange', '_parts', '_route', 'arrivals', 'refusals')

    def __init__(self, parts: ForwardParts, exchange: RelayExchange) -> None:
        """Start before the first try."""
        self._parts = parts
        self._exchange = exchange
        self._route = exchange.route
        # Requests that were sent, and tries that certainly did not run.
        self.arrivals = 0
        self.refusals = 0

    def objection(self) -> str:
        """Return why no further try is allowed, empty where one is.

        A further try that is allowed is taken from the retry budget.
        """
        progress = self._exchange.progress
        if progress.ran is not Ran.NO and not self._route.may_repeat:
            return 'the request may have run and must not repeat'
        if self.refusals > _REFUSALS_LIMIT:
            return 'every replica that was asked is full'
        if self.attempts_left() < 1:
            return 'no attempt is left'
        if self.arrivals and not self._parts.retries.try_acquire(
            progress.service,
            self._parts.entry_count(),
            self._parts.clock.monotonic_s(),
        ):
            return 'the retry budget is spent'
        return ''

    def attempts_left(self) -> int:
        """Return how many attempts may still run."""
        return self._route.attempts_limit - self.arrivals + self.refusals

    def may_escalate(self) -> bool:
        """Tell whether the budget has room for a better answer."""
        return self.attempts_left() > 0 and self._has_budget(_ESCALATION_SHARE)

    def can_repeat(self) -> bool:
        """Tell whether another attempt would be allowed now."""
        return self.attempts_left() > 0 and self._has_budget(1.0)

    def left_s(self) -> float:
        """Return the time left, never less than a moment."""
        now_s = self._parts.clock.monotonic_s()
        return max(_LEAST_LEFT_S, self._exchange.deadline_s - now_s)

    def patience_s(self) -> float:
        """Return how long this attempt may wait for its first byte."""
        left_s = self.left_s()
        if not self._route.may_repeat or not self.can_repeat():
            return left_s
        return _PATIENCE_SHARE * left_s

    def stall_s(self) -> float:
        """Return how long a stream may be silent before it is moved."""
        if not self._exchange.reply.started:
            return self.patience_s()
        pause_s = self._route.pause_objective_s
        if not (pause_s and self._route.may_repeat and self.can_repeat()):
            return self.left_s()
        return max(LEAST_STALL_S, _STALL_SHARE * pause_s)

    def _has_budget(self, share: float) -> bool:
        return self._parts.retries.has_budget(
            self._exchange.progress.service,
            self._parts.entry_count(),
            self._parts.clock.monotonic_s(),
            share,
        )
