"""The operators' HTTP listener: tornado handlers around `AdminApi`."""

import asyncio
import ssl
from collections.abc import Callable
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler
from tornado.web import stream_request_body as reads_in_parts

from snipebridge.admin.api import AdminApi
from snipebridge.admin.messages import AdminError, AdminRequest, AdminResponse
from snipebridge.control.metrics import ControlMetrics
from snipebridge.logs import log_decision
from snipebridge.metrics import RenderedMetrics
from snipebridge.settings.models import ListenerSettings

_UNREAD_LIMIT_BYTES = 1_048_576


class JsonHandler(RequestHandler):
    """Tells every error, also those of the HTTP layer, as JSON."""

    def set_default_headers(self) -> None:
        """Say nothing about the server."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer with the error object instead of an HTML page."""
        status = HTTPStatus(status_code)
        self.send(
            AdminError(
                status, status.name.lower(), status.description or status.phrase
            ).response()
        )

    def send(self, response: AdminResponse) -> None:
        """Write a whole answer."""
        self.set_status(response.status)
        self.set_header('Content-Type', response.content_type)
        for name, value in response.headers.items():
            self.set_header(name, value)
        self.finish(response.body)


@reads_in_parts
class AdminHandler(JsonHandler):
    """Passes every request under /admin to the interface."""

    def initialize(self, api: AdminApi, limit_bytes: int) -> None:
        """Keep what answers, and start without a body."""
        self._api = api
        self._limit_bytes = limit_bytes
        self._body = bytearray()
        self._answering: asyncio.Task[AdminResponse] | None = None

    def on_connection_close(self) -> None:
        """Drop a call whose operator has left.

        Operators send it again; a copy that waits for the leader must not be
        carried out after that.
        """
        if self._answering is not None:
            self._answering.cancel()

    def prepare(self) -> None:
        """Refuse a body that is announced as too long."""
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > self._limit_bytes:
            # Room to read past what is refused, so that the caller reads why.
            self.request.connection.set_max_body_size(_UNREAD_LIMIT_BYTES)
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to its limit."""
        if self._finished:
            return
        self._body += chunk
        if len(self._body) > self._limit_bytes:
            self._refuse_body()

    async def get(self) -> None:
        """Read a page."""
        await self._answer()

    async def patch(self) -> None:
        """Change the configuration."""
        await self._answer()

    async def put(self) -> None:
        """Replace a whole configuration."""
        await self._answer()

    async def post(self) -> None:
        """Change the members."""
        await self._answer()

    async def delete(self) -> None:
        """Withdraw an order."""
        await self._answer()

    def _refuse_body(self) -> None:
        self.set_header('Connection', 'close')
        self.send_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    async def _answer(self) -> None:
        if self._finished:
            return
        headers = self.request.headers
        try:
            body = self._body.decode()
        except UnicodeDecodeError:
            self.send_error(HTTPStatus.BAD_REQUEST)
            return
        request = AdminRequest(
            method=self.request.method,
            path=self.request.path,
            query={
                name: self.get_query_argument(name)
                for name in self.request.query_arguments
            },
            authorization=headers.get('Authorization', ''),
            if_match=headers.get('If-Match', ''),
            idempotency_key=headers.get('Idempotency-Key', ''),
            body=body,
        )
        self._answering = asyncio.create_task(self._api.answer(request))
        await asyncio.wait([self._answering])
        if self._answering.cancelled():
            log_decision(
                'call_dropped', method=request.method, path=request.path
            )
            return
        self.send(self._answering.result())


class ProbeHandler(JsonHandler):
    """Answers whether the process lives, or is ready."""

    def initialize(self, probe: Callable[[], bool]) -> None:
        """Keep the function that tells."""
        self._probe = probe

    def get(self) -> None:
        """Answer 200 or 503."""
        ready = self._probe()
        self.set_status(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        )
        self.finish({'ok': ready})


class MetricsHandler(JsonHandler):
    """Renders the metrics of the process."""

    def initialize(self, metrics: ControlMetrics) -> None:
        """Keep the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Answer in the form that the scraper asks for."""
        self._metrics.refresh()
        accept = self.request.headers.get('Accept', '')
        page = RenderedMetrics(self._metrics.registry, accept)
        for name, value in page.headers.items():
            self.set_header(name, value)
        self.finish(page.body)


class MissingHandler(JsonHandler):
    """Answers for paths that don't exist."""

    def prepare(self) -> None:
        """Refuse every method alike."""
        self.send_error(HTTPStatus.NOT_FOUND)


def make_admin_server(
    api: AdminApi,
    metrics: ControlMetrics,
    is_ready: Callable[[], bool],
    settings: ListenerSettings,
    tls: ssl.SSLContext | None = None,
) -> HTTPServer:
    """Return a server within the limits of the settings, not listening."""
    application = Application(
        [
            (
                '/admin/.*',
                AdminHandler,
                {'api': api, 'limit_bytes': settings.body_limit_bytes},
            ),
            ('/healthz', ProbeHandler, {'probe': lambda: True}),
            ('/readyz', ProbeHandler, {'probe': is_ready}),
            ('/metrics', MetricsHandler, {'metrics': metrics}),
        ],
        default_handler_class=MissingHandler,
        log_function=_log_nothing,
    )
    return HTTPServer(
        application,
        ssl_options=tls,
        # Above the limit, which the handler tells in its own words.
        max_body_size=settings.body_limit_bytes + _UNREAD_LIMIT_BYTES,
        max_buffer_size=settings.body_limit_bytes + settings.header_limit_bytes,
        max_header_size=settings.header_limit_bytes,
        # Bounds the wait for a whole header as well.
        idle_connection_timeout=settings.header_timeout_s,
        body_timeout=settings.body_timeout_s,
    )


def _log_nothing(handler: RequestHandler) -> None:
    """Keep tornado from writing lines that aren't JSON."""
