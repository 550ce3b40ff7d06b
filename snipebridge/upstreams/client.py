"""HTTP client for external systems, on asyncio transports and httptools.

Each call opens its own connection and closes it after the response. A stalled
connection therefore affects one call only, a late response cannot reach
another request, and closing the connection tells the upstream that the caller
has disconnected. docs/design/connections.md states the cost of this and why
it replaced tornado's client.
"""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import SplitResult, urlsplit

import httptools
from tornado.httputil import HTTPHeaders

from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from snipebridge.upstreams.heads import write_head
from snipebridge.upstreams.sockets import is_upload_complete
from snipebridge.upstreams.statuses import is_interim, parser_error

_HEADER_LIMIT_BYTES = 65_536
_BODY_LIMIT_BYTES = 67_108_864
# Limit of what comes between two bytes of a body: the status line, interim
# responses, chunk extensions, trailers.
_OVERHEAD_LIMIT_BYTES = 2 * _HEADER_LIMIT_BYTES
_MS_PER_S = 1000
_DEFAULT_PORTS = {'http': 80, 'https': 443}


@dataclass(slots=True)
class UpstreamCall:
    """One request to an external system and its time limits."""

    url: str
    method: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    connect_timeout_s: float = 2.0
    first_byte_timeout_s: float = 20.0
    idle_timeout_s: float = 20.0


@dataclass(slots=True)
class UpstreamResponse:
    """A complete HTTP response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class ResponseSink(Protocol):
    """Receives a response as it arrives."""

    def receive_head(self, status: int, headers: HTTPHeaders) -> None:
        """Receive status and headers."""

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Receive a chunk of the body; reading pauses for an awaitable."""


class _BufferSink:
    """Buffers a complete response."""

    __slots__ = ('chunks', 'headers', 'status')

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []

    def receive_head(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.headers = headers

    def receive_chunk(self, chunk: bytes) -> None:
        self.chunks.append(chunk)


class _ResponseProtocol(asyncio.Protocol):
    """Parses the response on a connection and passes it to the sink.

    Body chunks that arrive in one read are passed on together.
    """

    def __init__(self, call: UpstreamCall, sink: ResponseSink) -> None:
        self._call = call
        self._sink = sink
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = HTTPHeaders()
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._chunks: list[bytes] = []
        self._has_head = False
        self._transport: asyncio.Transport | None = None
        self._consumer_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._last_byte_s = self._loop.time()
        self._timeout_s = call.first_byte_timeout_s
        self.completed: asyncio.Future[None] = self._loop.create_future()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the time-out for the first byte."""
        self._transport = transport
        self._schedule_timeout_check(self._timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and pass the body on."""
        self._last_byte_s = self._loop.time()
        self._overhead_bytes += len(data)
        try:
            self._feed(data)
            self._check_overhead()
        except Exception as error:
            self._complete(error)

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        is_delimited = self._has_head and not self._is_framed()
        if is_delimited and is_upload_complete(self._transport):
            self._complete(None)
        else:
            self._complete(InvalidResponseError('the response was truncated'))
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail a response that was not complete."""
        self._complete(
            InvalidResponseError(
                'the connection was lost before the response was complete'
            )
        )

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > _HEADER_LIMIT_BYTES:
            raise InvalidResponseError('the response header is too large')
        self._headers.add(name.decode('latin1'), value.decode('latin1'))

    def on_headers_complete(self) -> None:
        """Pass the head on; from here on the idle time-out applies."""
        status = self._parser.get_status_code()
        if is_interim(status):
            self._headers = HTTPHeaders()
            return
        self._has_head = True
        self._timeout_s = self._call.idle_timeout_s
        self._sink.receive_head(status, self._headers)
        if self._call.method == 'HEAD':
            self._complete(None)

    def on_body(self, chunk: bytes) -> None:
        """Buffer a chunk until the current read is parsed."""
        if not self._has_head:
            raise InvalidResponseError('an interim response has a body')
        self._body_bytes += len(chunk)
        self._overhead_bytes = 0
        if self._body_bytes > _BODY_LIMIT_BYTES:
            raise InvalidResponseError('the response body is too large')
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Complete a response that is delimited by its length or chunks."""
        if self._has_head and self._is_framed():
            self._deliver()
            self._complete(None)

    # Called by the client and internally.

    def close(self) -> None:
        """Abort the connection; nothing more is passed to the sink."""
        if not self.completed.done():
            self.completed.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        if self.completed.done():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The parser wraps errors raised by its callbacks and the sink.
            raise parser_error(error) from error
        if not self.completed.done():
            self._deliver()

    def _check_overhead(self) -> None:
        """Raise where bytes keep coming that are no body.

        They would neither be counted nor let a time-out pass.
        """
        if self._overhead_bytes > _OVERHEAD_LIMIT_BYTES:
            raise InvalidResponseError(
                f'{self._overhead_bytes} bytes came without a body'
            )

    def _deliver(self) -> None:
        if not self._chunks:
            return
        chunk = b''.join(self._chunks)
        self._chunks.clear()
        pending = self._sink.receive_chunk(chunk)
        if pending is not None:
            self._transport.pause_reading()
            self._consumer_task = asyncio.ensure_future(
                self._wait_for_consumer(pending)
            )

    async def _wait_for_consumer(self, pending: Awaitable[None]) -> None:
        """Wait for a slow consumer without counting it as idle time."""
        try:
            await pending
        except Exception as error:
            self._complete(error)
            return
        self._consumer_task = None
        self._last_byte_s = self._loop.time()
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _is_framed(self) -> bool:
        return (
            'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
            or self._parser.get_status_code() in {204, 304}
        )

    def _complete(self, error: Exception | None) -> None:
        if self.completed.done():
            return
        if error is None:
            self.completed.set_result(None)
        else:
            self.completed.set_exception(error)

    def _schedule_timeout_check(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check_timeout)

    def _check_timeout(self) -> None:
        if self._consumer_task is not None:
            self._schedule_timeout_check(self._timeout_s)
            return
        remaining_s = self._last_byte_s + self._timeout_s - self._loop.time()
        if remaining_s > 0:
            self._schedule_timeout_check(remaining_s)
            return
        self._complete(
            ResponseTimeoutError('the upstream did not respond in time')
        )


class UpstreamClient:
    """Makes calls to external systems."""

    __slots__ = ('_make_tls', '_tls')

    def __init__(self, make_tls: Callable[[], ssl.SSLContext]) -> None:
        """Keep the factory of the TLS context for ``https`` URLs.

        The context is made at the first such call, because loading the
        certificates takes tens of milliseconds and a process may call only
        ``http`` URLs.
        """
        self._make_tls = make_tls
        self._tls: ssl.SSLContext | None = None

    async def fetch(self, call: UpstreamCall) -> UpstreamResponse:
        """Make a call and return the complete response."""
        sink = _BufferSink()
        await self.stream(call, sink)
        return UpstreamResponse(
            sink.status, sink.headers, b''.join(sink.chunks)
        )

    async def stream(self, call: UpstreamCall, sink: ResponseSink) -> None:
        """Make a call and pass the response to the sink as it arrives.

        Cancelling the task closes the connection. Raises `ConnectError`
        if nothing was sent, else `ResponseTimeoutError` or
        `InvalidResponseError`.
        """
        parts = urlsplit(call.url)
        protocol = _ResponseProtocol(call, sink)
        try:
            transport = await self._connect(call, parts, protocol)
            transport.write(_serialize_request(call, parts))
            await protocol.completed
        finally:
            protocol.close()

    async def _connect(
        self,
        call: UpstreamCall,
        parts: SplitResult,
        protocol: _ResponseProtocol,
    ) -> asyncio.Transport:
        secure = parts.scheme == 'https'
        if secure and self._tls is None:
            self._tls = self._make_tls()
        connecting = asyncio.get_running_loop().create_connection(
            lambda: protocol,
            parts.hostname,
            parts.port or _DEFAULT_PORTS[parts.scheme],
            ssl=self._tls if secure else None,
        )
        try:
            transport, _ = await asyncio.wait_for(
                connecting, call.connect_timeout_s
            )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f'{call.url}: {error}') from error
        _set_user_timeout(transport, call.idle_timeout_s)
        return transport


def make_upstream_client(ca_file: str = '') -> UpstreamClient:
    """Return a client that trusts the CA in the file, or the system's CAs."""
    return UpstreamClient(
        lambda: ssl.create_default_context(cafile=ca_file or None)
    )


def _serialize_request(call: UpstreamCall, parts: SplitResult) -> bytes:
    """Return the request as it is sent."""
    path = parts.path or '/'
    target = f'{path}?{parts.query}' if parts.query else path
    headers = {
        **call.headers,
        'Host': parts.netloc,
        'Connection': 'close',
    }
    if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
        headers['Content-Length'] = str(len(call.body))
    request_line = f'{call.method} {target} HTTP/1.1'
    return write_head(request_line, headers.items()) + call.body


def _set_user_timeout(transport: asyncio.Transport, limit_s: float) -> None:
    if hasattr(socket, 'TCP_USER_TIMEOUT'):
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(limit_s * _MS_PER_S),
        )
