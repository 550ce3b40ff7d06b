"""HTTP server for callers, which runs the filter chain for each request.

Tornado does the parsing and the framing and enforces the limits. Head and body
of a request are passed to the filters unchanged.
"""

import asyncio
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from http.client import responses
from typing import Protocol

import orjson
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from snipebridge.clock import Clock
from snipebridge.filters.chain import Filter, run_chain
from snipebridge.relay.errors import NotRunError, RelayError, TooLargeError
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.messages import HeaderCodec, Headers
from snipebridge.relay.request_bodies import BodyBudget, make_body_budget
from snipebridge.routing.tables import CallerLimits, RoutingTable

# Bytes read beyond the body limit, so that the caller receives the error.
_DISCARD_LIMIT_BYTES = 1_048_576
# Another host accepts the request at once.
_DRAINING_RETRY_AFTER_S = 0.02
# Requests that hold the memory end within seconds; another host may have some.
_FULL_RETRY_AFTER_S = 1.0
_HTTP_1_0 = 'HTTP/1.0'
# Closing a socket resets its connection: linger on, for no time.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class RoutingSource(Protocol):
    """Provides the routes in force and the drain state of this host."""

    table: RoutingTable
    # Responses close the connection, so that callers move to another host.
    is_draining: bool
    # Whether a request that arrives nevertheless is accepted.
    accepts_requests: bool


@dataclass(slots=True)
class ServerDependencies:
    """Dependencies shared by all connections."""

    source: RoutingSource
    filters: Sequence[Filter]
    codec: HeaderCodec
    clock: Clock
    # The memory of the host, 0 if it is not known.
    memory_mb: int = 0
    bodies: BodyBudget = field(init=False)
    running: set[asyncio.Task] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Give request bodies their share of the memory."""
        self.bodies = make_body_budget(self.memory_mb)


class TornadoReply:
    """A reply on one request of a tornado connection."""

    __slots__ = ('_connection', '_source', '_version', 'started')

    def __init__(
        self, connection: HTTP1Connection, version: str, source: RoutingSource
    ) -> None:
        """Start with nothing sent.

        ``version`` is the HTTP version of the request. An answer that begins
        while the host drains has `Connection: close`.
        """
        self._connection = connection
        self._version = version
        self._source = source
        self.started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.started = True
        sent = HTTPHeaders()
        for name, text in headers:
            sent.add(name, text)
        if self._source.is_draining:
            sent['Connection'] = 'close'
        line = ResponseStartLine('HTTP/1.1', status, responses.get(status, ''))
        await _wait_flushed(self._connection.write_headers(line, sent))

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body, and wait for a slow caller."""
        await _wait_flushed(self._connection.write(chunk))

    async def finish(self) -> None:
        """End the response as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the response looks incomplete.

        HTTP/1.0 has no chunks: there an orderly end of the connection would
        complete a response without a length, so the connection is reset.
        """
        stream = self._connection.stream
        if stream is None or stream.closed():
            return
        if self._version == _HTTP_1_0:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        stream.close()


async def _wait_flushed(written) -> None:
    """Wait until bytes are sent.

    A closed stream is ignored here: the close callback cancels the request.
    """
    try:
        await written
    except StreamClosedError:
        return


class _RequestDelegate(HTTPMessageDelegate):
    """Receives one request and runs it."""

    def __init__(
        self, dependencies: ServerDependencies, connection: HTTP1Connection
    ) -> None:
        self._dependencies = dependencies
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers: Headers = []
        self._body = dependencies.bodies.open(self._drop)
        self._task: asyncio.Task[None] | None = None

    def headers_received(self, start_line, headers) -> None:
        """Store the head; raise the limit so that a long body gets a 413."""
        self._line = start_line
        self._headers = list(headers.get_all())
        limit = self._dependencies.source.table.limits.body_limit_bytes
        self._connection.set_max_body_size(limit + _DISCARD_LIMIT_BYTES)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, up to the limits."""
        self._body.add(chunk, self._limits().body_limit_bytes)

    def finish(self) -> None:
        """Run the complete request."""
        self._connection.set_close_callback(self._cancel)
        self._task = asyncio.create_task(self._run(self._body.finish()))
        self._dependencies.running.add(self._task)
        self._task.add_done_callback(self._dependencies.running.discard)

    def on_connection_close(self) -> None:
        """Drop an incomplete request."""
        self._body.release()
        self._cancel()

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _drop(self) -> None:
        """Close the connection of a request that was not read to its end."""
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    def _limits(self) -> CallerLimits:
        return self._dependencies.source.table.limits

    async def _run(self, body: bytes) -> None:
        dependencies = self._dependencies
        reply = TornadoReply(
            self._connection, self._line.version, dependencies.source
        )
        try:
            await self._run_filters(reply, body)
        except RelayError as error:
            await _send_error(reply, error)
        except asyncio.CancelledError:
            reply.abort()
        except Exception:
            # The log filter has logged it. The caller must not take the
            # response for complete.
            reply.abort()
            raise
        finally:
            self._body.release()

    async def _run_filters(self, reply: TornadoReply, body: bytes) -> None:
        dependencies = self._dependencies
        if not dependencies.source.accepts_requests:
            raise NotRunError('this host is draining', _DRAINING_RETRY_AFTER_S)
        request = dependencies.codec.read_request(
            self._line.method,
            self._line.path,
            self._headers,
            body,
            dependencies.clock.monotonic_s(),
        )
        exchange = RelayExchange(request, reply, dependencies.source.table)
        if self._body.is_too_large:
            raise TooLargeError(
                f'the body of {self._body.size_bytes} bytes is over the limit'
            )
        if self._body.is_refused:
            raise NotRunError(
                'this host has no memory for the body', _FULL_RETRY_AFTER_S
            )
        await run_chain(dependencies.filters, exchange)


async def _send_error(reply: TornadoReply, error: RelayError) -> None:
    if reply.started:
        reply.abort()
        return
    body = orjson.dumps(
        {
            'error': {
                'code': error.code,
                'message': error.message,
                'ran': error.ran.value,
                'retry_after_s': round(error.retry_after_s, 3),
            }
        }
    )
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    if error.retry_after_s:
        headers.append(('Retry-After', f'{error.retry_after_s:.2f}'))
    await reply.start(int(error.status), headers)
    await reply.write(body)
    await reply.finish()


class RelayDelegate(HTTPServerConnectionDelegate):
    """Starts a delegate for each request."""

    def __init__(self, dependencies: ServerDependencies) -> None:
        """Use dependencies shared by all requests."""
        self._dependencies = dependencies

    def start_request(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Return the delegate of the next request of a connection."""
        return _RequestDelegate(self._dependencies, request_conn)


def make_relay_server(
    dependencies: ServerDependencies, limits: CallerLimits
) -> HTTPServer:
    """Return the server for callers, not listening yet."""
    return HTTPServer(
        RelayDelegate(dependencies),
        max_body_size=limits.body_limit_bytes + _DISCARD_LIMIT_BYTES,
        max_header_size=limits.header_limit_bytes,
        idle_connection_timeout=limits.idle_timeout_s,
    )
