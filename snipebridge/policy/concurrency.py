"""How many requests one entry keeps at a pool's engines at once.

The limit rises by small steps while it is in use and nothing queues, and
falls by more when requests queue at the engines, when first tokens take much
longer than they did at low load, or when engines refuse for want of room.
Steps are shares of the limit, so that many entries together move the pool no
faster than one does. After a fall it waits until the lagged reports can show
what the fall did.

The limit is a fraction; what may run alternates between the whole numbers
around it, out of step with the other entries. Rounded down at each of many
entries, small limits would leave much of a pool idle, and move it at once.

>>> limit = make_concurrency_limit(initial=8)
>>> limit.note_load(waiting=20, slots=20, now_s=0.0)
>>> limit.update(in_flight=8, now_s=0.0)
6
"""

import math
from dataclasses import dataclass

import xxhash

MIN_LIMIT = 1.0
MAX_LIMIT = 4096.0
UPDATE_INTERVAL_S = 0.25
SETTLE_S = 1.0
QUEUE_TARGET = 0.4
LOAD_VALID_S = 5.0
LATENCY_TARGET = 2.5
DECREASE_GAIN = 0.5
SMALLEST_FACTOR = 0.7
INCREASE_SHARE = 0.05
IN_USE_SHARE = 0.8
RECENT_SMOOTHING = 0.1
BASE_FALL_SMOOTHING = 0.1
# The base follows upwards slowly: an overload must not become the norm.
BASE_RISE_SMOOTHING = 0.0005
MIN_LATENCY_S = 0.001
# Steps of this size spread evenly over the unit interval.
GOLDEN_STEP = 0.6180339887498949
# The digest of a name is 32 bits wide.
_DIGEST_BITS = 32


@dataclass(slots=True)
class _Latency:
    """First token times now and at low load."""

    recent_s: float = 0.0
    base_s: float = 0.0

    def add(self, first_token_s: float) -> None:
        """Take in the first token time of one request."""
        sample_s = max(MIN_LATENCY_S, first_token_s)
        if self.base_s <= 0:
            self.recent_s = sample_s
            self.base_s = sample_s
        self.recent_s += RECENT_SMOOTHING * (sample_s - self.recent_s)
        is_fall = self.recent_s < self.base_s
        smoothing = BASE_FALL_SMOOTHING if is_fall else BASE_RISE_SMOOTHING
        self.base_s += smoothing * (self.recent_s - self.base_s)

    def excess(self) -> float:
        """Return by how many times the target is overstepped, or zero."""
        if self.base_s <= 0:
            return 0.0
        return max(0.0, self.recent_s / self.base_s / LATENCY_TARGET - 1)


class ConcurrencyLimit:
    """Adaptive limit of one entry for one pool."""

    __slots__ = (
        '_latency',
        '_limit',
        '_load_s',
        '_offset',
        '_queue_share',
        '_refused',
        '_settled_s',
        '_updated_s',
    )

    def __init__(self, initial: float, offset: float) -> None:
        """Start at a limit, rounded up where its fraction tops the offset."""
        self._offset = offset
        self._limit = _bounded(initial)
        self._latency = _Latency()
        self._queue_share = 0.0
        self._load_s = float('-inf')
        self._refused = 0
        self._settled_s = float('-inf')
        self._updated_s = float('-inf')

    @property
    def limit(self) -> int:
        """Return the requests that may run at once."""
        return int(max(MIN_LIMIT, self._limit + self._offset))

    def note_first_token(self, first_token_s: float) -> None:
        """Take in the time to the first token since the dispatch."""
        self._latency.add(first_token_s)

    def note_load(self, waiting: int, slots: int, now_s: float) -> None:
        """Take in the sums of the load reports of the pool's replicas."""
        self._queue_share = waiting / max(1, slots)
        self._load_s = now_s

    def note_refused(self) -> None:
        """Count a request that an engine refused for want of room."""
        self._refused += 1

    def update(self, in_flight: int, now_s: float) -> int:
        """Adapt the limit, at most once in an interval, and return it."""
        if now_s - self._updated_s < UPDATE_INTERVAL_S:
            return self.limit
        self._updated_s = now_s
        self._offset = math.modf(self._offset + GOLDEN_STEP)[0]
        excess = self._excess(now_s)
        self._refused = 0
        if excess > 0:
            self._decrease(excess, now_s)
        elif now_s >= self._settled_s:
            self._increase(in_flight)
        return self.limit

    def _excess(self, now_s: float) -> float:
        """Return how far the strongest sign of overload is over target.

        Reports of what queues at the engines go before the latency, which
        also rises when prompts get longer.
        """
        if self._refused:
            return 1.0
        if now_s - self._load_s < LOAD_VALID_S:
            return max(0.0, self._queue_share - QUEUE_TARGET)
        return self._latency.excess()

    def _decrease(self, excess: float, now_s: float) -> None:
        if now_s < self._settled_s:
            return
        factor = max(SMALLEST_FACTOR, 1 - DECREASE_GAIN * excess)
        self._limit = _bounded(self._limit * factor)
        self._settled_s = now_s + SETTLE_S

    def _increase(self, in_flight: int) -> None:
        if in_flight < IN_USE_SHARE * self.limit:
            return
        self._limit = _bounded(self._limit * (1 + INCREASE_SHARE))


def _bounded(limit: float) -> float:
    return min(MAX_LIMIT, max(MIN_LIMIT, limit))


def make_concurrency_limit(
    initial: float,
    entry: str = '',
) -> ConcurrencyLimit:
    """Return a limit that starts at the entry's part of the pool's slots."""
    digest = xxhash.xxh32_intdigest(entry.encode())
    return ConcurrencyLimit(initial, offset=digest / (1 << _DIGEST_BITS))
