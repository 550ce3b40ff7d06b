"""Writes the access log line and the metrics of each request."""

from snipebridge.clock import Clock
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import RequestError
from snipebridge.filters.exchange import Exchange
from snipebridge.logs import log_event
from snipebridge.metrics import EntryMetrics


class LogFilter:
    """The first filter, which records the outcome of each request."""

    __slots__ = ('_clock', '_metrics')

    def __init__(self, metrics: EntryMetrics, clock: Clock) -> None:
        """Keep the metrics to update."""
        self._metrics = metrics
        self._clock = clock

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the rest and record its outcome."""
        try:
            await proceed()
        except RequestError as error:
            exchange.outcome = error.code
            raise
        finally:
            self._record(exchange)

    def _record(self, exchange: Exchange) -> None:
        delivered = exchange.delivered
        outcome = exchange.outcome or 'cancelled'
        self._metrics.requests.inc({'kind': exchange.kind, 'outcome': outcome})
        if delivered.attempts > 1:
            self._metrics.retries.add(
                {'pool': exchange.pool}, delivered.attempts - 1
            )
        if delivered.completion_tokens:
            self._metrics.tokens.add(
                {'version': delivered.version}, delivered.completion_tokens
            )
        first_token_s = 0.0
        if delivered.first_token_s:
            first_token_s = delivered.first_token_s - exchange.head.received_s
            self._metrics.first_token_s.observe({}, first_token_s)
        log_event(
            'request',
            request_id=exchange.request_id,
            request_kind=exchange.kind,
            account=exchange.account.name if exchange.account else None,
            outcome=outcome,
            ran=delivered.ran.value,
            version=delivered.version,
            upstream=delivered.upstream,
            attempts=delivered.attempts,
            completion_tokens=delivered.completion_tokens,
            first_token_s=round(first_token_s, 4),
            total_s=round(
                self._clock.monotonic_s() - exchange.head.received_s, 4
            ),
        )
