"""Sets the deadline of each request."""

from snipebridge.clock import Clock
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import BadRequestError, DeadlineError
from snipebridge.filters.exchange import Exchange

_MS_PER_S = 1000
_RETRY_AFTER_S = 1.0


class DeadlineFilter:
    """Sets the deadline from the header, the task or the settings."""

    __slots__ = ('_clock', '_default_s')

    def __init__(self, clock: Clock, default_s: float) -> None:
        """Keep the default, which is also the upper limit."""
        self._clock = clock
        self._default_s = default_s

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Set the deadline; refuse a request whose deadline has passed."""
        time_limit_s = self._time_limit_s(exchange)
        exchange.deadline_s = exchange.head.received_s + time_limit_s
        if exchange.deadline_s <= self._clock.monotonic_s():
            raise DeadlineError(
                'the deadline has passed', retry_after_s=_RETRY_AFTER_S
            )
        await proceed()

    def _time_limit_s(self, exchange: Exchange) -> float:
        text = exchange.head.deadline_ms
        if text:
            if not text.isascii() or not text.isdigit() or int(text) == 0:
                raise BadRequestError(
                    f'Snipebridge-Deadline-Ms: found {text!r}, '
                    'allowed is a whole number above 0'
                )
            return min(int(text) / _MS_PER_S, self._default_s)
        if exchange.chat is not None:
            task = exchange.view.task(exchange.chat.task)
            if task.deadline_ms:
                return min(task.deadline_ms / _MS_PER_S, self._default_s)
        return self._default_s
