"""Requests during a planned stop of this entry.

Each request that was taken gets an answer before the process ends. One that
can't be over by then is refused while that is still true: another entry takes
it. One that a replica may have run ends with an answer that says so.

>>> times = RunTimes()
>>> for _ in range(3):
...     times.add('look', 2.0)
>>> times.usual_s('look'), times.usual_s('book')
(2.0, 0.0)
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from snipebridge.clock import Clock
from snipebridge.errors import Ran
from snipebridge.filters.chain import Proceed
from snipebridge.relay.errors import NotRunError, RelayError
from snipebridge.relay.exchange import RelayExchange

# Weight of the newest time in the mean.
_MEAN_GAIN = 0.125
# Another entry takes the request at once.
_RETRY_AFTER_S = 0.02


class StoppedError(RelayError):
    """The entry stops while a replica may still be at work on the request."""

    code = 'stopped'
    status = HTTPStatus.BAD_GATEWAY


class RunTimes:
    """How long the requests of each route take.

    The mean decides: a caller that is refused may come back to this entry
    until the balancer has taken it out, so a refusal must be the likelier way
    to an answer.
    """

    __slots__ = ('_mean_s',)

    def __init__(self) -> None:
        """Start without a route."""
        self._mean_s: dict[str, float] = {}

    def add(self, route: str, spent_s: float) -> None:
        """Count a request that was answered."""
        mean_s = self._mean_s.setdefault(route, spent_s)
        self._mean_s[route] = mean_s + _MEAN_GAIN * (spent_s - mean_s)

    def usual_s(self, route: str) -> float:
        """Return the mean time, 0 where none is known."""
        return self._mean_s.get(route, 0.0)


class PlannedStop:
    """When a stop ends requests, by how long those of their route take."""

    __slots__ = ('_times', 'end_s', 'on_begin')

    def __init__(self) -> None:
        """Start with no stop under way."""
        # On the monotonic clock; 0: no stop is under way.
        self.end_s = 0.0
        self.on_begin: Callable[[], None] = _do_nothing
        self._times = RunTimes()

    @property
    def is_under_way(self) -> bool:
        """Tell whether the entry stops."""
        return self.end_s > 0

    def begin(self, end_s: float) -> None:
        """Let each request be over by a time."""
        self.end_s = end_s
        self.on_begin()

    def add(self, exchange: RelayExchange, now_s: float) -> None:
        """Count a request that was answered."""
        spent_s = now_s - exchange.request.received_s
        self._times.add(exchange.route.name, spent_s)

    def last_start_s(self, exchange: RelayExchange) -> float:
        """Return when a request has to be passed on at the latest.

        One whose deadline comes before the end gets its answer anyway.
        """
        if exchange.deadline_s <= self.end_s:
            return self.end_s
        return self.end_s - self._times.usual_s(exchange.route.name)


class StopFilter:
    """Ends requests that would be cut off by a planned stop."""

    __slots__ = ('_clock', '_running', '_stop')

    def __init__(self, stop: PlannedStop, clock: Clock) -> None:
        """Watch for a stop to begin."""
        self._clock = clock
        self._stop = stop
        self._stop.on_begin = self._limit_all
        self._running: dict[asyncio.Timeout, RelayExchange] = {}

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Run the request until its answer or until the stop ends it."""
        now_s = self._clock.monotonic_s()
        is_stopping = self._stop.is_under_way
        if is_stopping and now_s > self._stop.last_start_s(exchange):
            raise _end_of(exchange)
        try:
            async with asyncio.timeout(None) as timeout:
                self._running[timeout] = exchange
                if is_stopping:
                    self._limit(timeout, exchange)
                await proceed()
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise _end_of(exchange) from error
        finally:
            self._running.pop(timeout, None)
        self._stop.add(exchange, self._clock.monotonic_s())

    def _limit_all(self) -> None:
        for timeout, exchange in self._running.items():
            self._limit(timeout, exchange)

    def _limit(self, timeout: asyncio.Timeout, exchange: RelayExchange) -> None:
        loop = asyncio.get_running_loop()
        now_s = self._clock.monotonic_s()
        wait_s = self._stop.last_start_s(exchange) - now_s
        loop.call_later(max(0.0, wait_s), self._check, timeout)
        loop.call_later(self._stop.end_s - now_s, self._end, timeout)

    def _check(self, timeout: asyncio.Timeout) -> None:
        """End a request that no replica has begun."""
        exchange = self._running.get(timeout)
        if exchange is not None and exchange.progress.ran is Ran.NO:
            self._end(timeout)

    def _end(self, timeout: asyncio.Timeout) -> None:
        if timeout in self._running:
            timeout.reschedule(asyncio.get_running_loop().time())


def _do_nothing() -> None:
    """Do nothing: no filter watches the stop."""


def _end_of(exchange: RelayExchange) -> RelayError:
    if exchange.progress.ran is Ran.NO:
        return NotRunError('this host is stopping', _RETRY_AFTER_S)
    return StoppedError('this host stops; the request may have run')
