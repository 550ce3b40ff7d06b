"""Circuit breaker and failure rate of a replica, from request outcomes.

Health checks may be wrong or late, so only the outcomes of real requests
count. After several consecutive failures, or one connection that failed, a
replica gets no requests for a pause that doubles each time. Its failure rate
adds to its placement cost.

>>> breaker = CircuitBreaker()
>>> for _ in range(3):
...     breaker.record_failure(now_s=1.0)
>>> breaker.allows_requests(1.5), breaker.allows_requests(2.5)
(False, True)
"""

# Consecutive failures; fewer may be caused by the requests themselves.
FAILURE_THRESHOLD = 3
# A crashed replica restarts within some seconds. Each further failure doubles
# the pause, so that a replica that stays down is rarely probed.
INITIAL_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
# Weight of the newest outcome; corresponds to about the last ten outcomes.
_SMOOTHING = 0.1


class CircuitBreaker:
    """Blocks requests to a replica after consecutive failures."""

    __slots__ = (
        '_pause_s',
        '_consecutive_failures',
        '_open_until_s',
        'failure_share',
    )

    def __init__(self) -> None:
        """Start closed, without failures."""
        self.failure_share = 0.0
        self._consecutive_failures = 0
        self._pause_s = INITIAL_PAUSE_S
        self._open_until_s = float('-inf')

    def allows_requests(self, now_s: float) -> bool:
        """Return whether requests may be sent to the replica."""
        return now_s >= self._open_until_s

    def record_success(self) -> None:
        """Count a successful request."""
        self._consecutive_failures = 0
        self._pause_s = INITIAL_PAUSE_S
        self.failure_share *= 1 - _SMOOTHING

    def close(self) -> None:
        """Allow requests at once: the failures had another cause."""
        self.record_success()
        self._open_until_s = float('-inf')

    def record_failure(self, now_s: float) -> None:
        """Count a failure of a request that was sent to the replica."""
        self._count_failure()
        if self._consecutive_failures >= FAILURE_THRESHOLD:
            self._open(now_s)

    def record_unreachable(self, now_s: float) -> None:
        """Count a connection that failed, which no request can cause."""
        self._count_failure()
        self._open(now_s)

    def _count_failure(self) -> None:
        self.failure_share += _SMOOTHING * (1 - self.failure_share)
        self._consecutive_failures += 1

    def _open(self, now_s: float) -> None:
        if self.allows_requests(now_s):
            self._open_until_s = now_s + self._pause_s
            self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
