"""Metrics of the entry process, by aioprometheus.

Names and labels are listed in docs/OPERATIONS.md.
"""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

_FIRST_TOKEN_BUCKETS_S = [
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.46,
    0.7,
    1.0,
    2.0,
    5.0,
    float('inf'),
]


class EntryMetrics:
    """What an entry counts."""

    __slots__ = (
        'configuration_number',
        'first_token_s',
        'lease_remaining_s',
        'pending_records',
        'registry',
        'requests',
        'retries',
        'tokens',
    )

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = Registry()
        self.requests = Counter(
            'snipebridge_requests_total',
            'Requests by kind and outcome.',
            registry=self.registry,
        )
        self.retries = Counter(
            'snipebridge_retries_total',
            'Attempts after the first, by pool.',
            registry=self.registry,
        )
        self.tokens = Counter(
            'snipebridge_completion_tokens_total',
            'Completion tokens delivered, by version.',
            registry=self.registry,
        )
        self.first_token_s = Histogram(
            'snipebridge_first_token_seconds',
            'Time from the request to its first token.',
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.lease_remaining_s = Gauge(
            'snipebridge_lease_remaining_seconds',
            'Seconds left of the lease; 0 when it is over.',
            registry=self.registry,
        )
        self.configuration_number = Gauge(
            'snipebridge_configuration_number',
            'Number of the configuration in force here.',
            registry=self.registry,
        )
        self.pending_records = Gauge(
            'snipebridge_pending_records',
            'Bills and records that are not durable yet.',
            registry=self.registry,
        )


class RenderedMetrics:
    """A page of metrics with its content type."""

    __slots__ = ('body', 'headers')

    def __init__(self, registry: Registry, accept: str) -> None:
        """Render the registry for an Accept header."""
        self.body, self.headers = render(registry, [accept or 'text/plain'])


def make_entry_metrics() -> EntryMetrics:
    """Return the metrics with nothing counted."""
    return EntryMetrics()
