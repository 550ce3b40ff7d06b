"""A budget of repeats that holds over all entries without a shared store.

The operators bound the repeats that a service gets in any window by a share
of its requests and a fixed slack. Each entry keeps the share for its own
requests and takes its part of the slack, so the sum keeps the bound.

>>> window = RetryWindow(ratio=0.5, slack=4.0, window_s=10.0)
>>> window.record_request('s', now_s=0.0)
>>> [window.try_acquire('s', entry_count=4, now_s=0.0) for _ in range(2)]
[True, False]
"""

from collections import deque

# Part of the bound that is used: entries count at slightly different moments
# than the replicas see the arrivals, and some entries may not be known yet.
_USED = 0.85


class _Counts:
    """Moments of requests and repeats of one service."""

    __slots__ = ('repeats', 'requests')

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def forget(self, before_s: float) -> None:
        for moments in (self.requests, self.repeats):
            while moments and moments[0] < before_s:
                moments.popleft()


class RetryWindow:
    """Counts requests and repeats of the last window, by service."""

    __slots__ = ('_counts', '_ratio', '_slack', '_window_s')

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Take the bound of the operators."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._counts: dict[str, _Counts] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request of a caller."""
        self._current(service, now_s).requests.append(now_s)

    def has_budget(
        self,
        service: str,
        entry_count: int,
        now_s: float,
        share: float = 1.0,
    ) -> bool:
        """Tell whether a repeat would be within a share of the budget."""
        counts = self._current(service, now_s)
        slack = self._slack / max(1, entry_count)
        limit = _USED * (self._ratio * len(counts.requests) + slack)
        return len(counts.repeats) + 1 <= share * limit

    def try_acquire(self, service: str, entry_count: int, now_s: float) -> bool:
        """Count a repeat, if the budget has room for it."""
        if not self.has_budget(service, entry_count, now_s):
            return False
        self._counts[service].repeats.append(now_s)
        return True

    def _current(self, service: str, now_s: float) -> _Counts:
        counts = self._counts.setdefault(service, _Counts())
        counts.forget(now_s - self._window_s)
        return counts
