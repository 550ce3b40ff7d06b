"""The filters that a routed request passes before it is forwarded."""

from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.lease import Lease
from snipebridge.filters.chain import Proceed
from snipebridge.logs import log_decision
from snipebridge.relay.errors import (
    NotRunError,
    RelayError,
    TimedOutError,
    TooLargeError,
    UnknownKeyError,
    UnknownRouteError,
)
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.metrics import RelayMetrics

# A host that knows no configuration has just started, most likely with all
# others: control is back in office some two seconds later.
_NO_ROUTES_RETRY_AFTER_S = 1.5
# A host that has lost its lease alone gets it back with the next heartbeats;
# callers come back about then, at another host.
_NO_LEASE_RETRY_AFTER_S = 0.5
CALLER_LEFT = 'caller_left'


class LeaseSource(Protocol):
    """Where the lease of this entry is read."""

    lease: Lease


class LogFilter:
    """Writes one line for each request and counts it."""

    __slots__ = ('_clock', '_metrics')

    def __init__(self, clock: Clock, metrics: RelayMetrics) -> None:
        """Keep the clock and the counters."""
        self._clock = clock
        self._metrics = metrics

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Let the request pass, and tell what came of it."""
        exchange.outcome = CALLER_LEFT
        try:
            await proceed()
        except RelayError as error:
            exchange.outcome = error.code
            self._log(exchange, error.message)
            raise
        except Exception as error:
            exchange.outcome = 'internal'
            self._log(exchange, repr(error))
            raise
        finally:
            if exchange.outcome == CALLER_LEFT:
                self._log(exchange, '')
        self._log(exchange, '')

    def _log(self, exchange: RelayExchange, reason: str) -> None:
        request = exchange.request
        progress = exchange.progress
        now_s = self._clock.monotonic_s()
        spent_s = now_s - request.received_s
        kind = exchange.route.kind.value if exchange.route else ''
        self._metrics.record_request(kind, exchange, spent_s)
        log_decision(
            'request',
            request_id=request.attempt_id,
            route=exchange.route.name if exchange.route else '',
            routing_version=exchange.table.version,
            account=exchange.account.name if exchange.account else '',
            outcome=exchange.outcome,
            reason=reason,
            status=progress.status,
            ran=progress.ran.value,
            service=progress.service,
            replica=progress.replica,
            software=progress.software,
            model=progress.model,
            confidence=progress.confidence,
            attempts=progress.attempts,
            escalations=progress.escalations,
            resumptions=progress.resumptions,
            added_ms=_elapsed_ms(progress.first_dispatch_s, request.received_s),
            first_byte_ms=_elapsed_ms(
                progress.first_byte_s, request.received_s
            ),
            spent_ms=round(spent_s * 1000, 1),
            left_ms=_elapsed_ms(exchange.deadline_s, now_s),
        )


class RouteFilter:
    """Finds the route."""

    __slots__ = ()

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Refuse what no route fits, and what is too long."""
        request = exchange.request
        if not exchange.table.version:
            raise NotRunError('no configuration yet', _NO_ROUTES_RETRY_AFTER_S)
        exchange.route = exchange.table.find_route(request.host, request.path)
        if exchange.route is None:
            raise UnknownRouteError(f'no route to {request.host}')
        limit_bytes = exchange.table.limits.body_limit_bytes
        if len(request.body) > limit_bytes:
            raise TooLargeError(f'the body limit is {limit_bytes} bytes')
        await proceed()


class AccountFilter:
    """Finds the account that holds the key, under a lease that holds.

    A key may have been withdrawn while this host was cut off: without a
    lease nothing that needs a key is sent on.
    """

    __slots__ = ('_clock', '_source')

    def __init__(self, source: LeaseSource, clock: Clock) -> None:
        """Keep where the lease is read."""
        self._source = source
        self._clock = clock

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Refuse an unknown key."""
        if exchange.route.is_keyless or not exchange.table.requires_keys:
            await proceed()
            return
        if not self._source.lease.is_valid(self._clock.monotonic_s()):
            raise NotRunError(
                'this host has lost touch with control', _NO_LEASE_RETRY_AFTER_S
            )
        account = exchange.table.find_account(exchange.request.key)
        if account is None:
            raise UnknownKeyError('the key belongs to no account')
        exchange.account = account
        await proceed()


class DeadlineFilter:
    """Fixes until when the request is worth anything."""

    __slots__ = ('_clock',)

    def __init__(self, clock: Clock) -> None:
        """Keep the clock."""
        self._clock = clock

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Take the sooner of the caller's patience and the route's limit."""
        request = exchange.request
        route = exchange.route
        limit_s = route.timeout_s
        if request.caller_timeout_s:
            limit_s = min(limit_s, request.caller_timeout_s)
        exchange.deadline_s = request.received_s + limit_s
        exchange.priority = route.priority
        account = exchange.account
        if account is not None and account.priority is not None:
            exchange.priority = account.priority
        if self._clock.monotonic_s() >= exchange.deadline_s:
            raise TimedOutError('the time was over on arrival')
        await proceed()


def _elapsed_ms(moment_s: float, start_s: float) -> float | None:
    return round((moment_s - start_s) * 1000, 1) if moment_s else None
