"""Adaptive limit of the requests that one entry runs at a pool's engines.

The limit rises by small steps while it is in use and nothing queues at the
engines. It falls by larger steps when requests queue there, when the time to
first token is far above that at low load, or when engines refuse requests for
lack of capacity. Steps are proportional to the limit, so that many entries
together change the load of a pool no faster than one does. After a decrease
the limit is held until the load reports, which lag, show its effect.

The limit is fractional. The number of requests that may run alternates
between the integers around it, out of phase with the other entries. If each
of many entries rounded its limit down, much of a pool would stay idle, and
all of them would step at the same time.

>>> limit = make_concurrency_limit(initial=8)
>>> limit.record_load(waiting=20, slots=20, now_s=0.0)
>>> limit.update(in_flight=8, now_s=0.0)
6
"""

import math
from dataclasses import dataclass

import xxhash

MIN_LIMIT = 1.0
MAX_LIMIT = 4096.0
UPDATE_INTERVAL_S = 0.25
COOLDOWN_S = 1.0
TARGET_WAITING_PER_SLOT = 0.4
LOAD_VALID_S = 5.0
MAX_LATENCY_RATIO = 2.5
DECREASE_GAIN = 0.5
MIN_DECREASE_FACTOR = 0.7
INCREASE_SHARE = 0.05
MIN_UTILIZATION = 0.8
RECENT_SMOOTHING = 0.1
BASE_FALL_SMOOTHING = 0.1
# The baseline rises slowly, so that an overload does not become the baseline.
BASE_RISE_SMOOTHING = 0.0005
MIN_LATENCY_S = 0.001
# Multiples of the golden ratio, modulo 1, spread evenly over [0, 1).
GOLDEN_STEP = 0.6180339887498949
# Width of an xxh32 digest.
_DIGEST_BITS = 32


@dataclass(slots=True)
class _LatencyTracker:
    """Recent time to first token and its baseline at low load."""

    recent_s: float = 0.0
    base_s: float = 0.0

    def add(self, first_token_s: float) -> None:
        """Add the time to first token of one request."""
        sample_s = max(MIN_LATENCY_S, first_token_s)
        if self.base_s <= 0:
            self.recent_s = sample_s
            self.base_s = sample_s
        self.recent_s += RECENT_SMOOTHING * (sample_s - self.recent_s)
        is_falling = self.recent_s < self.base_s
        smoothing = BASE_FALL_SMOOTHING if is_falling else BASE_RISE_SMOOTHING
        self.base_s += smoothing * (self.recent_s - self.base_s)

    def excess(self) -> float:
        """Return the relative excess over the maximum ratio, or zero."""
        if self.base_s <= 0:
            return 0.0
        return max(0.0, self.recent_s / self.base_s / MAX_LATENCY_RATIO - 1)


class ConcurrencyLimit:
    """Adaptive concurrency limit of one entry for one pool."""

    __slots__ = (
        '_cooldown_until_s',
        '_dither',
        '_latency',
        '_limit',
        '_load_reported_s',
        '_refusals',
        '_updated_s',
        '_waiting_per_slot',
    )

    def __init__(self, initial: float, dither: float) -> None:
        """Start at a limit; the dither is added to it before rounding down."""
        self._dither = dither
        self._limit = _clamp(initial)
        self._latency = _LatencyTracker()
        self._waiting_per_slot = 0.0
        self._load_reported_s = float('-inf')
        self._refusals = 0
        self._cooldown_until_s = float('-inf')
        self._updated_s = float('-inf')

    @property
    def limit(self) -> int:
        """The number of requests that may run at once."""
        return int(max(MIN_LIMIT, self._limit + self._dither))

    def record_first_token(self, first_token_s: float) -> None:
        """Add a time to first token, measured from the dispatch."""
        self._latency.add(first_token_s)

    def record_load(self, waiting: int, slots: int, now_s: float) -> None:
        """Record the sums of the load reports of the pool's replicas."""
        self._waiting_per_slot = waiting / max(1, slots)
        self._load_reported_s = now_s

    def record_refusal(self) -> None:
        """Count a request that an engine refused for lack of capacity."""
        self._refusals += 1

    def update(self, in_flight: int, now_s: float) -> int:
        """Adapt the limit at most once per interval and return it."""
        if now_s - self._updated_s < UPDATE_INTERVAL_S:
            return self.limit
        self._updated_s = now_s
        self._dither = math.modf(self._dither + GOLDEN_STEP)[0]
        excess = self._overload(now_s)
        self._refusals = 0
        if excess > 0:
            self._decrease(excess, now_s)
        elif now_s >= self._cooldown_until_s:
            self._increase(in_flight)
        return self.limit

    def _overload(self, now_s: float) -> float:
        """Return how far the load exceeds its target.

        Refusals take precedence over the queue lengths that engines report,
        and these over the latency, which also rises with longer prompts.
        """
        if self._refusals:
            return 1.0
        if now_s - self._load_reported_s < LOAD_VALID_S:
            return max(0.0, self._waiting_per_slot - TARGET_WAITING_PER_SLOT)
        return self._latency.excess()

    def _decrease(self, excess: float, now_s: float) -> None:
        if now_s < self._cooldown_until_s:
            return
        factor = max(MIN_DECREASE_FACTOR, 1 - DECREASE_GAIN * excess)
        self._limit = _clamp(self._limit * factor)
        self._cooldown_until_s = now_s + COOLDOWN_S

    def _increase(self, in_flight: int) -> None:
        if in_flight < MIN_UTILIZATION * self.limit:
            return
        self._limit = _clamp(self._limit * (1 + INCREASE_SHARE))


def _clamp(limit: float) -> float:
    return min(MAX_LIMIT, max(MIN_LIMIT, limit))


def make_concurrency_limit(
    initial: float,
    entry: str = '',
) -> ConcurrencyLimit:
    """Return a limit that starts at the entry's part of the pool's slots.

    The name of the entry determines the phase of the rounding.
    """
    digest = xxhash.xxh32_intdigest(entry.encode())
    return ConcurrencyLimit(initial, dither=digest / (1 << _DIGEST_BITS))
