"""Retry budget that holds across all entries without shared state.

The operators limit the retries of a service in any window to a ratio of its
requests plus a fixed slack. Each entry applies the ratio to its own requests
and uses an equal part of the slack, so the total stays within the limit.

>>> window = RetryWindow(ratio=0.5, slack=4.0, window_s=10.0)
>>> window.record_request('s', now_s=0.0)
>>> [window.try_acquire('s', entry_count=4, now_s=0.0) for _ in range(2)]
[True, False]
"""

from collections import deque

# Share of the limit that is used: entries count requests at slightly different
# times than they reach the replicas, and some entries may not be known yet.
_USABLE_SHARE = 0.85


class _RequestHistory:
    """Times of the requests and retries of one service."""

    __slots__ = ('retries', 'requests')

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def discard_before(self, before_s: float) -> None:
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] < before_s:
                timestamps.popleft()


class RetryWindow:
    """Limits the retries of each service in a sliding window."""

    __slots__ = ('_histories', '_ratio', '_slack', '_window_s')

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Set the limit that the operators configured."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._histories: dict[str, _RequestHistory] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request of a client."""
        self._current(service, now_s).requests.append(now_s)

    def has_budget(
        self,
        service: str,
        entry_count: int,
        now_s: float,
        share: float = 1.0,
    ) -> bool:
        """Return whether a retry fits within a share of the budget."""
        history = self._current(service, now_s)
        slack = self._slack / max(1, entry_count)
        limit = _USABLE_SHARE * (self._ratio * len(history.requests) + slack)
        return len(history.retries) + 1 <= share * limit

    def try_acquire(self, service: str, entry_count: int, now_s: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        if not self.has_budget(service, entry_count, now_s):
            return False
        self._histories[service].retries.append(now_s)
        return True

    def refund(self, service: str) -> None:
        """Take back the newest retry of a service, which was not sent."""
        history = self._histories.get(service)
        if history is not None and history.retries:
            history.retries.pop()

    def _current(self, service: str, now_s: float) -> _RequestHistory:
        history = self._histories.setdefault(service, _RequestHistory())
        history.discard_before(now_s - self._window_s)
        return history
