"""The callers' HTTP listener: tornado handlers around the filter chains."""

import asyncio
import math
import uuid
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

import orjson
from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError, RequestHandler
from tornado.web import stream_request_body as reads_in_parts

from snipebridge.clock import Clock
from snipebridge.controllers.view import ConfigurationView
from snipebridge.errors import Ran
from snipebridge.filters.chain import Filter, run_chain
from snipebridge.filters.errors import (
    BadRequestError,
    BodyTooLargeError,
    RequestError,
    UnavailableError,
)
from snipebridge.filters.exchange import Exchange, RequestHead
from snipebridge.metrics import EntryMetrics, RenderedMetrics

_KEY_LIMIT_CHARACTERS = 256
_DRAIN_RETRY_S = 1.0
_UNREAD_LIMIT_BYTES = 1_048_576
_JSON = 'application/json'


class EntryState(Protocol):
    """What the listener asks of the entry process."""

    view: ConfigurationView

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""

    def accepts(self) -> bool:
        """Tell whether a request that came all the same is taken."""

    def update_metrics(self) -> None:
        """Bring the gauges up to date."""


@dataclass(slots=True)
class Chains:
    """The filters of each kind of request."""

    chat: Sequence[Filter]
    service: Sequence[Filter]
    models: Sequence[Filter]


@dataclass(slots=True)
class ListenerParts:
    """What the handlers share."""

    state: EntryState
    chains: Chains
    clock: Clock
    metrics: EntryMetrics
    body_limit_bytes: int
    running: set[asyncio.Task] = field(default_factory=set)


class TornadoReply:
    """A reply through a tornado handler."""

    __slots__ = ('_handler', 'started')

    def __init__(self, handler: RequestHandler) -> None:
        """Start with nothing sent."""
        self._handler = handler
        self.started = False

    def set_header(self, name: str, value: str) -> None:
        """Set a header; only before the reply has started."""
        self._handler.set_header(name, value)

    def start(self, status: int, content_type: str) -> None:
        """Fix status and content type; nothing is sent yet."""
        if self.started:
            return
        self.started = True
        self._handler.set_status(status)
        self._handler.set_header('Content-Type', content_type)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Send a part; returns an awaitable while the caller is slow."""
        self._handler.write(chunk)
        future = self._handler.flush()
        return None if future.done() else _swallow_close(future)

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last part and end the reply."""
        try:
            await self._handler.finish(chunk or None)
        except StreamClosedError:
            return


async def _swallow_close(future: Awaitable[None]) -> None:
    """Wait for a flush; a caller who left is noticed by its handler."""
    try:
        await future
    except StreamClosedError:
        return


@reads_in_parts
class _ChainHandler(RequestHandler):
    """Reads a request within its limits and passes it through a chain."""

    kind = ''

    def initialize(self, parts: ListenerParts) -> None:
        """Take the shared parts; tornado calls this for each request."""
        self.parts = parts
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task | None = None
        self.request_id = uuid.uuid4().hex
        self.received_s = parts.clock.monotonic_s()

    def set_default_headers(self) -> None:
        """Say nothing about the server."""
        self.clear_header('Server')

    def prepare(self) -> None:
        """Refuse an oversized or unwelcome request before reading it."""
        self.set_header('Snipebridge-Request-Id', self.request_id)
        limit_bytes = self.parts.body_limit_bytes
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > limit_bytes:
            self.request.connection.set_max_body_size(_UNREAD_LIMIT_BYTES)
            self._refuse_body()
        elif not self.parts.state.accepts():
            self.set_header('Connection', 'close')
            self._send_error(
                UnavailableError(
                    'this entry host takes no requests now',
                    retry_after_s=_DRAIN_RETRY_S,
                )
            )

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to its limit."""
        self._body_bytes += len(chunk)
        if self._finished:
            return
        if self._body_bytes > self.parts.body_limit_bytes:
            self._refuse_body()
            return
        self._body.append(chunk)

    def on_connection_close(self) -> None:
        """Cancel the work of a caller who left."""
        if self._task is not None:
            self._task.cancel()

    async def run_chain(self, filters: Sequence[Filter]) -> None:
        """Pass the request through a chain and answer its errors."""
        if self._finished:
            return
        self._task = asyncio.create_task(self._run(filters))
        self.parts.running.add(self._task)
        self._task.add_done_callback(self.parts.running.discard)
        try:
            await self._task
        except asyncio.CancelledError:
            self._task = None

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer what tornado refuses in the form of all errors."""
        error = BadRequestError(self._reason)
        error.status = status_code
        if status_code == HTTPStatus.NOT_FOUND:
            error.code = 'not_found'
        elif status_code == HTTPStatus.METHOD_NOT_ALLOWED:
            error.code = 'method_not_allowed'
        elif status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            error.code = 'internal'
            error.ran = Ran.UNKNOWN
        self.finish(self._prepare_error(error))

    async def _run(self, filters: Sequence[Filter]) -> None:
        reply = TornadoReply(self)
        try:
            exchange = Exchange(
                request_id=self.request_id,
                head=self._read_head(),
                reply=reply,
                view=self.parts.state.view,
                kind=self.kind,
            )
            await run_chain(filters, exchange)
        except RequestError as error:
            await self._answer_error(reply, error)

    async def _answer_error(
        self, reply: TornadoReply, error: RequestError
    ) -> None:
        if not self._headers_written:
            await reply.finish(self._prepare_error(error))
            return
        # The stream has begun: an error event ends it without [DONE].
        event = b''.join((b'data: ', _error_body(error), b'\n\n'))
        await reply.finish(event)

    def _send_error(self, error: RequestError) -> None:
        self.finish(self._prepare_error(error))

    def _refuse_body(self) -> None:
        self.set_header('Connection', 'close')
        limit_bytes = self.parts.body_limit_bytes
        self._send_error(
            BodyTooLargeError(f'the body limit is {limit_bytes} bytes')
        )

    def _prepare_error(self, error: RequestError) -> bytes:
        self.set_status(error.status)
        self.set_header('Content-Type', _JSON)
        if error.retry_after_s:
            self.set_header('Retry-After', str(math.ceil(error.retry_after_s)))
        return _error_body(error)

    def _read_head(self) -> RequestHead:
        request = self.request
        headers = request.headers
        key = headers.get('Idempotency-Key', '')
        if len(key) > _KEY_LIMIT_CHARACTERS:
            raise BadRequestError(
                f'Idempotency-Key: found {len(key)} characters, '
                f'allowed are {_KEY_LIMIT_CHARACTERS}'
            )
        return RequestHead(
            method=request.method,
            path=request.path,
            query=request.query,
            headers=headers,
            body=b''.join(self._body),
            received_s=self.received_s,
            authorization=headers.get('Authorization', ''),
            idempotency_key=key,
            session=headers.get('Snipebridge-Session', ''),
            deadline_ms=headers.get('Snipebridge-Deadline-Ms', ''),
        )


class ChatHandler(_ChainHandler):
    """``POST /v1/chat/completions``."""

    kind = 'chat'

    async def post(self) -> None:
        """Run the chat chain."""
        await self.run_chain(self.parts.chains.chat)


class ModelsHandler(_ChainHandler):
    """``GET /v1/models``."""

    kind = 'models'

    async def get(self) -> None:
        """Run the chain that lists what the account may use."""
        await self.run_chain(self.parts.chains.models)


class ServiceHandler(_ChainHandler):
    """``ANY /services/<name>/<path>``."""

    kind = 'service'

    async def run_service(self, *_: str) -> None:
        """Run the service chain."""
        await self.run_chain(self.parts.chains.service)

    get = head = post = put = patch = delete = options = run_service


class UnknownHandler(_ChainHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Answer in the form of all errors."""
        raise HTTPError(HTTPStatus.NOT_FOUND, reason='Not Found')


class _PageHandler(RequestHandler):
    """A page about the process itself."""

    def initialize(self, parts: ListenerParts) -> None:
        """Take the shared parts."""
        self.parts = parts

    def set_default_headers(self) -> None:
        """Say nothing about the server."""
        self.clear_header('Server')
        self.set_header('Content-Type', 'text/plain; charset=utf-8')


class HealthHandler(_PageHandler):
    """``GET /healthz`` and ``GET /readyz``."""

    def get(self, page: str) -> None:
        """Answer 200, or 503 on ``readyz`` while not ready."""
        if page == 'readyz' and not self.parts.state.is_ready():
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish('not ready\n')
            return
        self.finish('ok\n')


class MetricsHandler(_PageHandler):
    """``GET /metrics``."""

    def get(self) -> None:
        """Render the registry."""
        self.parts.state.update_metrics()
        accept = self.request.headers.get('Accept', '')
        page = RenderedMetrics(self.parts.metrics.registry, accept)
        for name, value in page.headers.items():
            self.set_header(name, value)
        self.finish(page.body)


def make_application(parts: ListenerParts) -> Application:
    """Return the routes of an entry."""
    owners = {'parts': parts}
    return Application(
        [
            ('/v1/chat/completions', ChatHandler, owners),
            ('/v1/models', ModelsHandler, owners),
            ('/services/.*', ServiceHandler, owners),
            ('/(healthz|readyz)', HealthHandler, owners),
            ('/metrics', MetricsHandler, owners),
        ],
        default_handler_class=UnknownHandler,
        default_handler_args=owners,
        log_function=_log_nothing,
    )


def _error_body(error: RequestError) -> bytes:
    return orjson.dumps(
        {
            'error': {
                'code': error.code,
                'message': error.message,
                'ran': error.ran.value,
                'retry_after_s': round(error.retry_after_s, 3),
            },
        },
    )


def _log_nothing(handler: RequestHandler) -> None:
    """Keep tornado's access log out: the chain logs each request."""
