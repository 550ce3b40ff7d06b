"""Telling a slow answer from a usual one of its kind.

>>> usual = LatencyBaseline()
>>> [usual.is_slow('route', 'model', spent_s) for spent_s in (0.1, 0.12, 0.9)]
[False, False, True]
"""

# An answer this many times slower than usual speaks against its version; one
# in some hundred good ones is, and versions are compared with each other.
_SLOW_RATIO = 4.0
_SLOW_FLOOR_S = 0.02
# Weight of the newest answer in what is usual.
_NEWEST = 0.1
# Shorter streams say little about the pace.
_FEWEST_EVENTS = 5


# A first token this late has no excuse in its own prompt, read in whole, or
# in the prompts that were known to be ahead of it.
_LATE_RATIO = 4.0
_LATE_FLOOR_MS = 250.0
_AHEAD_LIMIT_MS = 600.0


def first_token_late_after_ms(prompt_ms: float, ahead_ms: float) -> float:
    """Return after how long a first token is later than can be explained.

    What is ahead of it counts in part: a replica that answers nothing piles
    up work, which must not excuse it.

    >>> first_token_late_after_ms(100.0, ahead_ms=0.0), first_token_late_after_ms(100.0, ahead_ms=9e9)
    (650.0, 1250.0)
    """
    excused_ms = min(ahead_ms, _AHEAD_LIMIT_MS)
    return _LATE_RATIO * prompt_ms + excused_ms + _LATE_FLOOR_MS


class EventInterval:
    """The mean time between the events of one run of a stream."""

    __slots__ = ('_count', '_first_s', '_last_s')

    def __init__(self) -> None:
        """Start before the first event."""
        self._count = 0
        self._first_s = 0.0
        self._last_s = 0.0

    def add_events(self, count: int, now_s: float) -> None:
        """Count the events of one read."""
        self._count += count
        self._first_s = self._first_s or now_s
        self._last_s = now_s

    def mean_interval_s(self) -> float:
        """Return seconds by event, 0 where there were too few."""
        if self._count < _FEWEST_EVENTS:
            return 0.0
        return (self._last_s - self._first_s) / (self._count - 1)


class LatencyBaseline:
    """The usual time of an answer, or of an event, by route and model."""

    __slots__ = ('_times_s',)

    def __init__(self) -> None:
        """Start without a sample."""
        self._times_s: dict[tuple[str, str], float] = {}

    def is_slow(self, route: str, model: str, spent_s: float) -> bool:
        """Tell whether a time is far above the usual one; learn from it."""
        known_s = self._times_s.setdefault((route, model), spent_s)
        learned_s = min(spent_s, _SLOW_RATIO * known_s)
        change_s = _NEWEST * (learned_s - known_s)
        self._times_s[route, model] = known_s + change_s
        return spent_s > _SLOW_RATIO * known_s + _SLOW_FLOOR_S
