"""Passive health of a replica: a circuit breaker and a failure rate.

Health checks may be wrong and late, so only the outcomes of real requests
count. After several failures in a row a replica gets no requests for a pause
that doubles each time; its failure rate is a cost in the choice of replicas.

>>> trust = CircuitBreaker()
>>> for _ in range(3):
...     trust.record_failure(now_s=1.0)
>>> trust.allows_requests(1.5), trust.allows_requests(2.5)
(False, True)
"""

# Failures in a row that no ordinary fault of a request explains.
FAILURES_IN_A_ROW = 3
# A crashed replica is back within some seconds; each further failure doubles
# the wait, so that one that stays away is asked rarely.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
# Weight of the newest outcome: about the last ten count.
_NEWEST = 0.1


class CircuitBreaker:
    """What the last outcomes at one replica say."""

    __slots__ = ('_pause_s', '_row', '_until_s', 'failure_share')

    def __init__(self) -> None:
        """Start with full trust."""
        self.failure_share = 0.0
        self._row = 0
        self._pause_s = FIRST_PAUSE_S
        self._until_s = float('-inf')

    def allows_requests(self, now_s: float) -> bool:
        """Tell whether requests may be sent there."""
        return now_s >= self._until_s

    def record_success(self) -> None:
        """Count an answer."""
        self._row = 0
        self._pause_s = FIRST_PAUSE_S
        self.failure_share *= 1 - _NEWEST

    def record_failure(self, now_s: float) -> None:
        """Count a failure of the replica or of the way to it."""
        self.failure_share += _NEWEST * (1 - self.failure_share)
        self._row += 1
        if self._row >= FAILURES_IN_A_ROW and self.allows_requests(now_s):
            self._until_s = now_s + self._pause_s
            self._pause_s = min(LONGEST_PAUSE_S, 2 * self._pause_s)
