"""HTTP endpoints for readiness, liveness and metrics of an entry."""

from collections.abc import Callable
from http import HTTPStatus

from tornado.web import Application, RequestHandler

from snipebridge.metrics import RenderedMetrics
from snipebridge.relay.metrics import RelayMetrics


class ReadyHandler(RequestHandler):
    """``GET /readyz``: whether the load balancer should use this host."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Use a readiness check."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Respond with 200 or 503."""
        if self._is_ready():
            self.finish('ok\n')
            return
        self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish('not ready\n')


class HealthHandler(RequestHandler):
    """``GET /healthz``: whether the process runs."""

    def get(self) -> None:
        """Respond with 200."""
        self.finish('ok\n')


class MetricsHandler(RequestHandler):
    """``GET /metrics``."""

    def initialize(
        self, metrics: RelayMetrics, refresh: Callable[[], None]
    ) -> None:
        """Use the metrics and a function that updates the gauges."""
        self._metrics = metrics
        self._refresh = refresh

    def get(self) -> None:
        """Render the registry."""
        self._refresh()
        accept = self.request.headers.get('Accept', '')
        page = RenderedMetrics(self._metrics.registry, accept)
        for name, text in page.headers.items():
            self.set_header(name, text)
        self.finish(page.body)


def make_status_application(
    is_ready: Callable[[], bool],
    metrics: RelayMetrics,
    refresh: Callable[[], None],
) -> Application:
    """Return the application that serves the endpoints."""
    return Application(
        [
            ('/readyz', ReadyHandler, {'is_ready': is_ready}),
            ('/healthz', HealthHandler),
            (
                '/metrics',
                MetricsHandler,
                {'metrics': metrics, 'refresh': refresh},
            ),
        ],
        log_function=_log_nothing,
    )


def _log_nothing(handler: RequestHandler) -> None:
    """Suppress tornado's access log, whose lines are not JSON."""
