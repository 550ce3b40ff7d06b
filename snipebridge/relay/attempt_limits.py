"""Limits the attempts of one request by count, retry budget and deadline."""

from snipebridge.errors import Ran
from snipebridge.relay.dependencies import ForwardDependencies
from snipebridge.relay.exchange import RelayExchange

# Refused requests and failed connections do not count towards the attempt
# limit of the route. This bounds them when every replica is full or gone.
_MAX_NOT_RUN = 3
# Share of the remaining time that an attempt may wait for its first byte
# while another attempt can still follow.
_FIRST_BYTE_SHARE = 0.45
# Share of the retry budget available to escalations; the rest is reserved for
# retries of failed attempts.
_ESCALATION_SHARE = 0.8
# Share of the pause objective after which a silent replica is checked. The
# rest is needed to resume the stream elsewhere if the replica is gone.
_READ_TIMEOUT_SHARE = 0.6
# Pause objectives that a stream of a replica that can be reached may be silent:
# while it reads long prompts of others it sends nothing, and another replica
# would have to read this prompt again.
_SILENCE_LIMIT = 2.5
MIN_READ_TIMEOUT_S = 0.5
_MIN_REMAINING_S = 0.001


class AttemptLimits:
    """Counts the attempts of one request against its limits."""

    __slots__ = (
        '_exchange',
        '_dependencies',
        '_route',
        '_has_charge',
        'dispatch_count',
        'failed_connections',
        'refused_count',
    )

    def __init__(
        self, dependencies: ForwardDependencies, exchange: RelayExchange
    ) -> None:
        """Start before the first attempt."""
        self._dependencies = dependencies
        self._exchange = exchange
        self._route = exchange.route
        # Requests sent to replicas, and those of them that were refused.
        self.dispatch_count = 0
        self.refused_count = 0
        # Attempts that ended before anything was sent.
        self.failed_connections = 0
        # Whether the next attempt is charged to the retry budget.
        self._has_charge = False

    def denial_reason(self) -> str:
        """Return why no further attempt is allowed, empty if one is.

        An allowed retry is charged to the retry budget.
        """
        progress = self._exchange.progress
        if progress.ran is not Ran.NO and not self._route.allows_retry:
            return 'the request may have run and must not be retried'
        if self.refused_count + self.failed_connections > _MAX_NOT_RUN:
            return 'too many replicas refused the request'
        if self.attempts_left() < 1:
            return 'no attempt is left'
        if self.dispatch_count and not self._charge():
            return 'the retry budget is spent'
        return ''

    def record_failed_connection(self) -> None:
        """Count an attempt that sent nothing, and take its charge back.

        The retry budget limits what reaches replicas, and this did not.
        """
        self.failed_connections += 1
        if self._has_charge:
            self._has_charge = False
            self._dependencies.retries.refund(self._exchange.progress.service)

    def attempts_left(self) -> int:
        """Return how many more runs the route allows."""
        return self.runs_allowed() - self.dispatch_count + self.refused_count

    def runs_allowed(self) -> int:
        """Return how often the request may run at most."""
        return self._route.attempts_limit if self._route.allows_retry else 1

    def may_escalate(self) -> bool:
        """Tell whether an attempt with a stronger model is allowed now."""
        return self.attempts_left() > 0 and self._has_budget(_ESCALATION_SHARE)

    def can_retry(self) -> bool:
        """Tell whether another attempt is allowed now."""
        return self.attempts_left() > 0 and self._has_budget(1.0)

    def remaining_s(self) -> float:
        """Return the time to the deadline, always above zero."""
        now_s = self._dependencies.clock.monotonic_s()
        return max(_MIN_REMAINING_S, self._exchange.deadline_s - now_s)

    def first_byte_timeout_s(self) -> float:
        """Return how long the attempt may wait for its first byte."""
        remaining_s = self.remaining_s()
        if not self._route.allows_retry or not self.can_retry():
            return remaining_s
        return _FIRST_BYTE_SHARE * remaining_s

    def read_timeout_s(self) -> float:
        """Return how long a stream may be silent before it is resumed."""
        if not self._exchange.reply.started:
            return self.first_byte_timeout_s()
        pause_s = self._route.pause_objective_s
        if not (pause_s and self._route.allows_retry and self.can_retry()):
            return self.remaining_s()
        return max(MIN_READ_TIMEOUT_S, _READ_TIMEOUT_SHARE * pause_s)

    def is_hung(self, silent_s: float) -> bool:
        """Tell whether a started stream is to be resumed elsewhere now.

        A replica that can be reached is given more time than one that can't.
        """
        limit_s = _SILENCE_LIMIT * self._route.pause_objective_s
        has_started = self._exchange.reply.started and limit_s > 0
        return (
            has_started
            and silent_s >= limit_s
            and self._route.allows_retry
            and self.can_retry()
        )

    def _charge(self) -> bool:
        self._has_charge = self._dependencies.retries.try_acquire(
            self._exchange.progress.service,
            self._dependencies.entry_count(),
            self._dependencies.clock.monotonic_s(),
        )
        return self._has_charge

    def _has_budget(self, share: float) -> bool:
        return self._dependencies.retries.has_budget(
            self._exchange.progress.service,
            self._dependencies.entry_count(),
            self._dependencies.clock.monotonic_s(),
            share,
        )
