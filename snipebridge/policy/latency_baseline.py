"""Detects slow answers by comparison with what is typical.

>>> latency = LatencyBaseline(SLOW_ANSWER)
>>> for spent_s in (0.1, 0.12, 0.11):
...     latency.add_sample('route', 'model', spent_s)
>>> [latency.exceeds('route', 'model', spent_s) for spent_s in (0.2, 0.4)]
[False, True]
"""

import statistics
from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SlowLimit:
    """How far a time has to exceed the typical one to be slow."""

    ratio: float
    margin_s: float = 0.0

    def of(self, typical_s: float) -> float:
        """Return the time from which on an answer is slow."""
        return self.ratio * typical_s + self.margin_s


# The typical interval of a sound stream varies little with the load. Slow runs
# slow each step of the batch they are in, so all of its streams, by less.
_SLOW_STREAM_RATIO = 1.6
# The time of a whole answer includes queueing.
_SLOW_ANSWER_RATIO = 2.5
_SLOW_ANSWER_MARGIN_S = 0.02
SLOW_STREAM = SlowLimit(_SLOW_STREAM_RATIO)
SLOW_ANSWER = SlowLimit(_SLOW_ANSWER_RATIO, _SLOW_ANSWER_MARGIN_S)

# Samples that the typical time is the median of.
_SAMPLES = 31
_MIN_SAMPLES = 3

# A stream is compared once it has this number of intervals, and at its end.
_EARLY_INTERVALS = 12
_KEPT_INTERVALS = 24
# Streams with fewer intervals have no reliable median.
_MIN_INTERVALS = 4

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


class EventIntervals:
    """The last intervals between the events of one run of a stream.

    Their lower quartile is what a step of the replica takes: a stream pauses
    while long prompts are read beside it, which says nothing about its replica.

    >>> stream = EventIntervals()
    >>> for now_s in (0.0, 0.5, 0.51, 0.53, 0.54, 0.56, 0.57):
    ...     stream.add_events(1, now_s)
    >>> round(stream.typical_s(), 3)
    0.015
    """

    __slots__ = ('_arrivals', '_intervals_s', 'count')

    def __init__(self) -> None:
        """Start before the first event."""
        # Time and number of events of the last two reads.
        self._arrivals: deque[tuple[float, int]] = deque(maxlen=2)
        self._intervals_s: deque[float] = deque(maxlen=_KEPT_INTERVALS)
        self.count = 0

    @property
    def is_early_look_due(self) -> bool:
        """Whether there are just enough intervals to compare a running stream."""
        return self.count == _EARLY_INTERVALS

    def add_events(self, count: int, now_s: float) -> None:
        """Add the events received in one read.

        An interval spans two reads, since a replica may send every second
        event sooner.
        """
        if not count:
            return
        if len(self._arrivals) == self._arrivals.maxlen:
            (before_s, _), (_, last_count) = self._arrivals
            events = last_count + count
            self._intervals_s.append((now_s - before_s) / events)
            self.count += 1
        self._arrivals.append((now_s, count))

    def typical_s(self) -> float:
        """Return the undisturbed interval, or 0 if there are too few."""
        if len(self._intervals_s) < _MIN_INTERVALS:
            return 0.0
        return statistics.quantiles(self._intervals_s, method='inclusive')[0]


class LatencyBaseline:
    """Typical time of an answer or of an event, by kind and model."""

    __slots__ = ('_limit', '_times_s')

    def __init__(self, limit: SlowLimit) -> None:
        """Start without samples."""
        self._limit = limit
        self._times_s: dict[tuple[str, str], deque[float]] = {}

    def add_sample(self, kind: str, model: str, spent_s: float) -> None:
        """Add the time of an answer whose version is not on trial."""
        key = (kind, model)
        if key not in self._times_s:
            self._times_s[key] = deque(maxlen=_SAMPLES)
        self._times_s[key].append(spent_s)

    def typical_s(self, kind: str, model: str) -> float:
        """Return the median time, or 0 with too few samples."""
        times_s = self._times_s.get((kind, model), ())
        if len(times_s) < _MIN_SAMPLES:
            return 0.0
        return statistics.median(times_s)

    def has_samples(self, kind: str, model: str) -> bool:
        """Return whether times can be compared."""
        return self.typical_s(kind, model) > 0

    def exceeds(self, kind: str, model: str, spent_s: float) -> bool:
        """Return whether a time far exceeds the typical one, if known."""
        typical_s = self.typical_s(kind, model)
        return typical_s > 0 and spent_s > self._limit.of(typical_s)
