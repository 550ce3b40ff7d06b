"""Filters of a routed request: log, route, account and deadline."""

from typing import Protocol

from snipebridge.clock import Clock, elapsed_ms
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
from snipebridge.routing.tables import Route, RoutedAccount

# A host without a configuration has just started, most likely together with
# all others; control then has a leader about two seconds later.
_NO_ROUTES_RETRY_AFTER_S = 1.5
# A host that alone has lost its lease regains it with the next heartbeats;
# callers retry about then, at another host.
_NO_LEASE_RETRY_AFTER_S = 0.5
# Part of the convergence bound kept for the way of a request to its answer.
_CONVERGENCE_MARGIN_S = 0.3
CALLER_LEFT = 'caller_left'


class LeaseSource(Protocol):
    """Provides the lease of this entry."""

    lease: Lease


class LogFilter:
    """Logs and counts each request."""

    __slots__ = ('_clock', '_metrics')

    def __init__(self, clock: Clock, metrics: RelayMetrics) -> None:
        """Use a clock and the metrics of the entry."""
        self._clock = clock
        self._metrics = metrics

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Run the other filters, then log the outcome of the request."""
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
            digest=exchange.digest,
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
            added_ms=elapsed_ms(request.received_s, progress.first_dispatch_s),
            first_byte_ms=elapsed_ms(request.received_s, progress.first_byte_s),
            spent_ms=round(spent_s * 1000, 1),
            left_ms=elapsed_ms(now_s, exchange.deadline_s),
        )


class FreshnessCheck:
    """Tells whether this host holds every change that must be in force.

    A host that has not been confirmed for nearly as long as a change may take
    might lack a route or a key. It then answers that the request has not run,
    and not that the route or the key does not exist.
    """

    __slots__ = ('_clock', '_max_age_s', '_source')

    def __init__(
        self, source: LeaseSource, clock: Clock, convergence_s: float
    ) -> None:
        """Use the lease of a source, and the bound of the operators."""
        self._source = source
        self._clock = clock
        self._max_age_s = max(0.0, convergence_s - _CONVERGENCE_MARGIN_S)

    def check(self) -> None:
        """Raise `NotRunError` if this host may be behind."""
        lease = self._source.lease
        if not lease.is_confirmed(self._clock.monotonic_s(), self._max_age_s):
            raise NotRunError(
                'this host may be behind the configuration',
                _NO_LEASE_RETRY_AFTER_S,
            )


class RouteFilter:
    """Finds the route of a request."""

    __slots__ = ('_freshness',)

    def __init__(self, freshness: FreshnessCheck) -> None:
        """Refuse an unknown route only where this host is current."""
        self._freshness = freshness

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Reject a request without a route or with too long a body."""
        request = exchange.request
        if not exchange.table.version:
            raise NotRunError(
                'no configuration yet',
                _NO_ROUTES_RETRY_AFTER_S,
            )
        exchange.route = exchange.table.find_route(request.host, request.path)
        if exchange.route is None:
            self._freshness.check()
            raise UnknownRouteError(f'no route for host {request.host}')
        _check_names(exchange.route)
        limit_bytes = exchange.table.limits.body_limit_bytes
        if len(request.body) > limit_bytes:
            raise TooLargeError(f'the body is over {limit_bytes} bytes')
        await proceed()


class AccountFilter:
    """Finds the account of the request's key while the lease is valid.

    A key may have been revoked while this host was disconnected from control,
    so without a lease no request that needs a key is forwarded.
    """

    __slots__ = ('_clock', '_freshness', '_source')

    def __init__(
        self, source: LeaseSource, clock: Clock, freshness: FreshnessCheck
    ) -> None:
        """Use the lease of a source."""
        self._source = source
        self._clock = clock
        self._freshness = freshness

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Reject an unknown key."""
        if exchange.route.is_keyless or not exchange.table.requires_keys:
            await proceed()
            return
        if not self._source.lease.is_valid(self._clock.monotonic_s()):
            raise NotRunError(
                'this host has lost touch with control',
                _NO_LEASE_RETRY_AFTER_S,
            )
        account = exchange.table.find_account(exchange.request.key)
        if account is None:
            self._freshness.check()
            raise UnknownKeyError('no account has this key')
        exchange.account = account
        _check_names(account)
        await proceed()


def _check_names(owner: Route | RoutedAccount) -> None:
    """Raise `NotRunError` if a replica can't be told a name."""
    if owner.fault:
        raise NotRunError(owner.fault)


class DeadlineFilter:
    """Sets the deadline and the priority of a request."""

    __slots__ = ('_clock',)

    def __init__(self, clock: Clock) -> None:
        """Use a clock."""
        self._clock = clock

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Use the sooner of the caller's and the route's timeout."""
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
            raise TimedOutError('the deadline had passed on arrival')
        await proceed()
