"""Stand-in for the rate-limited store of model weights.

python -m fakes.weights --port=0 --name=weights --per_second=2
"""

import asyncio
import math
import time
from typing import Any

from absl import flags

from fakes.serving import Routes, Stand, StandHandler, start_stand_in, wall_ms

_PER_SECOND = flags.DEFINE_float('per_second', 2.0, 'Fetches a second.')
_BURST = flags.DEFINE_float('burst', 2.0, 'Fetches that may come at once.')
_FETCH_S = flags.DEFINE_float('fetch_s', 0.1, 'Time of a fetch.')
_SIZE_BYTES = flags.DEFINE_integer('size_bytes', 1024, 'Size of an answer.')

_TOO_MANY_REQUESTS = 429


class TokenBucket:
    """A rate limit with a burst."""

    __slots__ = ('_burst', '_filled_at_s', '_per_second', '_tokens')

    def __init__(self, per_second: float, burst: float, now_s: float) -> None:
        """Start full."""
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Take a token and return 0, or return the time until there is one."""
        grown = (now_s - self._filled_at_s) * self._per_second
        self._tokens = min(self._burst, self._tokens + grown)
        self._filled_at_s = now_s
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self._per_second


class WeightStore:
    """The rate limit and the record of the fetches."""

    def __init__(self, stand: Stand) -> None:
        """Start with a full bucket."""
        stand.counters = self
        self.refused = 0
        self.bucket = TokenBucket(
            _PER_SECOND.value, _BURST.value, time.monotonic()
        )
        self.fetches: list[dict[str, Any]] = []

    def counts(self) -> dict[str, Any]:
        """Return the totals for ``GET /control``."""
        return {'started': len(self.fetches), 'refused': self.refused}

    def records(self) -> list[dict[str, Any]]:
        """Return each fetch."""
        return self.fetches

    def faults_changed(self) -> None:
        """Need nothing: faults are read where they strike."""


class WeightsHandler(StandHandler):
    """``GET /weights/<version>``."""

    store: WeightStore

    async def get(self, version: str) -> None:
        """Send the weights, or 429 above the rate limit."""
        wait_s = self.store.bucket.wait_s(time.monotonic())
        if wait_s:
            self.store.refused += 1
            self.set_header('Retry-After', str(math.ceil(wait_s)))
            self.fail(_TOO_MANY_REQUESTS, 'rate_limited')
            return
        self.store.fetches.append(
            {'version': version, 'started_at_ms': wall_ms()}
        )
        await asyncio.sleep(_FETCH_S.value + self.stand.faults.late_s)
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(bytes(_SIZE_BYTES.value))


def make_routes(stand: Stand) -> Routes:
    """Return the routes of a weight store with its own state."""
    owners = {'stand': stand, 'store': WeightStore(stand)}
    return [('/weights/(.+)', WeightsHandler, owners)]


if __name__ == '__main__':
    start_stand_in('weights', make_routes)
