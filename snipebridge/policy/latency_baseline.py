"""Detects slow answers by comparison with a latency baseline.

>>> latency = LatencyBaseline()
>>> [latency.is_slow('route', 'model', spent_s) for spent_s in (0.1, 0.12, 0.9)]
[False, False, True]
"""

# An answer this many times slower than the baseline counts against its
# version. One in a few hundred good answers is that slow too, so versions are
# compared with each other.
_SLOW_RATIO = 4.0
_SLOW_MARGIN_S = 0.02
# Weight of the newest answer in the baseline.
_SMOOTHING = 0.1
# Streams with fewer events give no reliable interval.
_MIN_EVENTS = 5


# A first token is late beyond this multiple of the prefill time of its whole
# prompt, plus the known queued work and a margin.
_LATE_RATIO = 4.0
_LATE_MARGIN_MS = 250.0
_MAX_EXCUSED_MS = 600.0


def late_after_ms(prompt_ms: float, ahead_ms: float) -> float:
    """Return the time after which a first token counts as late.

    The queued work ahead of it counts up to a limit: a replica that stops
    answering accumulates work, which must not raise its own threshold.

    >>> late_after_ms(100.0, ahead_ms=0.0), late_after_ms(100.0, ahead_ms=9e9)
    (650.0, 1250.0)
    """
    excused_ms = min(ahead_ms, _MAX_EXCUSED_MS)
    return _LATE_RATIO * prompt_ms + excused_ms + _LATE_MARGIN_MS


class EventInterval:
    """Mean interval between the events of one run of a stream."""

    __slots__ = ('_count', '_first_s', '_last_s')

    def __init__(self) -> None:
        """Start before the first event."""
        self._count = 0
        self._first_s = 0.0
        self._last_s = 0.0

    def add_events(self, count: int, now_s: float) -> None:
        """Count the events received in one read."""
        self._count += count
        self._first_s = self._first_s or now_s
        self._last_s = now_s

    def mean_interval_s(self) -> float:
        """Return the mean interval, or 0 if there were too few events."""
        if self._count < _MIN_EVENTS:
            return 0.0
        return (self._last_s - self._first_s) / (self._count - 1)


class LatencyBaseline:
    """Typical time of an answer or of an event, by route and model."""

    __slots__ = ('_times_s',)

    def __init__(self) -> None:
        """Start without samples."""
        self._times_s: dict[tuple[str, str], float] = {}

    def is_slow(self, route: str, model: str, spent_s: float) -> bool:
        """Return whether a time far exceeds the baseline, and update it."""
        is_slow = self.exceeds(route, model, spent_s)
        typical_s = self._times_s.setdefault((route, model), spent_s)
        sample_s = min(spent_s, _SLOW_RATIO * typical_s)
        change_s = _SMOOTHING * (sample_s - typical_s)
        self._times_s[route, model] = typical_s + change_s
        return is_slow

    def typical_s(self, route: str, model: str) -> float:
        """Return the baseline, or 0 before the first sample."""
        return self._times_s.get((route, model), 0.0)

    def exceeds(self, route: str, model: str, spent_s: float) -> bool:
        """Return whether a time far exceeds the baseline, if there is one."""
        typical_s = self._times_s.get((route, model))
        if typical_s is None:
            return False
        return spent_s > _SLOW_RATIO * typical_s + _SLOW_MARGIN_S
