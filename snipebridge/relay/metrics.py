"""Metrics of a routed entry."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from snipebridge.relay.exchange import RelayExchange

_BUCKETS_S = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
    float('inf'),
]
_ADDED_BUCKETS_S = [
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    float('inf'),
]


class RelayMetrics:
    """Registry and metrics of the entry."""

    __slots__ = (
        'added_s',
        'attempts',
        'body_memory_bytes',
        'connections',
        'first_byte_s',
        'lease_remaining_s',
        'indirect_replicas',
        'log_lines_dropped',
        'open_tunnels',
        'registry',
        'requests',
        'routing_version',
        'spent_s',
    )

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = Registry()
        self.requests = Counter(
            'snipebridge_requests_total',
            'Requests by kind of route and outcome.',
            registry=self.registry,
        )
        self.attempts = Counter(
            'snipebridge_attempts_total',
            'Dispatches to replicas by service and reason.',
            registry=self.registry,
        )
        self.first_byte_s = self._histogram(
            'first_byte_seconds', 'From the request to the first byte.'
        )
        self.spent_s = self._histogram(
            'request_seconds', 'From the request to the end of its answer.'
        )
        self.added_s = Histogram(
            'snipebridge_added_seconds',
            'From the request to its first dispatch.',
            buckets=_ADDED_BUCKETS_S,
            registry=self.registry,
        )
        self.lease_remaining_s = self._gauge(
            'lease_remaining_seconds', 'Seconds left of the lease.'
        )
        self.routing_version = self._gauge(
            'routing_version', 'Version of the routes in force here.'
        )
        self.connections = self._gauge(
            'replica_connections_opened', 'Connections opened to replicas.'
        )
        self.indirect_replicas = self._gauge(
            'indirect_replicas', 'Replicas reached through other entries.'
        )
        self.open_tunnels = self._gauge(
            'open_tunnels', 'Connections passed on for other entries.'
        )
        self.body_memory_bytes = self._gauge(
            'body_memory_bytes', 'Memory of the bodies of requests.'
        )
        self.log_lines_dropped = self._gauge(
            'log_lines_dropped', 'Log lines dropped because too many came.'
        )

    def record_request(
        self, kind: str, exchange: RelayExchange, spent_s: float
    ) -> None:
        """Count a request that ended."""
        progress = exchange.progress
        received_s = exchange.request.received_s
        self.requests.inc({'kind': kind, 'outcome': exchange.outcome})
        self.spent_s.observe({'kind': kind}, spent_s)
        if progress.first_byte_s:
            waited_s = progress.first_byte_s - received_s
            self.first_byte_s.observe({'kind': kind}, waited_s)
        if progress.first_dispatch_s:
            added_s = progress.first_dispatch_s - received_s
            self.added_s.observe({'kind': kind}, added_s)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f'snipebridge_{name}',
            text,
            buckets=_BUCKETS_S,
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f'snipebridge_{name}', text, registry=self.registry)
