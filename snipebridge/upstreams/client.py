"""HTTP client to outside systems, on asyncio transports and httptools.

Each call opens a connection of its own and closes it after the answer. A
connection that went silent can then hurt only the call it belongs to, a
late answer has nobody to be given to, and closing the connection tells the
upstream that the caller is gone. docs/design/connections.md has the cost,
and why the client of tornado was left for this one.
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

_HEADER_LIMIT_BYTES = 65_536
_BODY_LIMIT_BYTES = 67_108_864
_FIRST_FINAL_STATUS = 200
_MS_PER_S = 1000
_DEFAULT_PORTS = {'http': 80, 'https': 443}


@dataclass(slots=True)
class UpstreamCall:
    """One request to an outside system and its time limits."""

    url: str
    method: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    connect_timeout_s: float = 2.0
    first_byte_timeout_s: float = 20.0
    idle_timeout_s: float = 20.0


@dataclass(slots=True)
class UpstreamResponse:
    """A whole answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


class ResponseSink(Protocol):
    """Takes an answer as it arrives."""

    def receive_head(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers."""

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body; an awaitable slows the sender down."""


class _BufferSink:
    """Keeps a whole answer."""

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


class _AnswerProtocol(asyncio.Protocol):
    """Feeds the bytes of a connection to the parser and the sink.

    The parts of the body that arrive in one read are handed on together.
    """

    def __init__(self, call: UpstreamCall, sink: ResponseSink) -> None:
        self._call = call
        self._sink = sink
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = HTTPHeaders()
        self._head_bytes = 0
        self._body_bytes = 0
        self._parts: list[bytes] = []
        self._has_head = False
        self._transport: asyncio.Transport | None = None
        self._slow_reader: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._last_byte_s = self._loop.time()
        self._limit_s = call.first_byte_timeout_s
        self.ended: asyncio.Future[None] = self._loop.create_future()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start to watch for silence."""
        self._transport = transport
        self._arm(self._limit_s)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived and hand the body on."""
        self._last_byte_s = self._loop.time()
        try:
            self._feed(data)
        except Exception as error:
            self._end(error)

    def eof_received(self) -> bool:
        """End an answer whose body runs to the end of the connection."""
        if self._has_head and not self._has_length():
            self._end(None)
        else:
            self._end(InvalidResponseError('the answer ended early'))
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection ended first."""
        self._end(InvalidResponseError('the connection was lost'))

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > _HEADER_LIMIT_BYTES:
            raise InvalidResponseError('the head of the answer is too large')
        self._headers.add(name.decode('latin1'), value.decode('latin1'))

    def on_headers_complete(self) -> None:
        """Pass the head on; from here the idle limit counts."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._headers = HTTPHeaders()
            return
        self._has_head = True
        self._limit_s = self._call.idle_timeout_s
        self._sink.receive_head(status, self._headers)
        if self._call.method == 'HEAD':
            self._end(None)

    def on_body(self, part: bytes) -> None:
        """Keep a part until the whole read is parsed."""
        self._body_bytes += len(part)
        if self._body_bytes > _BODY_LIMIT_BYTES:
            raise InvalidResponseError('the answer is too large')
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """End the answer where its length or its last chunk says so."""
        if self._has_head and self._has_length():
            self._deliver()
            self._end(None)

    # Own work.

    def close(self) -> None:
        """Drop the connection; nothing more is handed on."""
        if not self.ended.done():
            self.ended.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        if self.ended.done():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # An error of the sink comes wrapped by the parser.
            raise error.__context__ or InvalidResponseError(
                f'the answer is not HTTP: {error}'
            ) from error
        if not self.ended.done():
            self._deliver()

    def _deliver(self) -> None:
        if not self._parts:
            return
        chunk = b''.join(self._parts)
        self._parts.clear()
        pending = self._sink.receive_chunk(chunk)
        if pending is not None:
            self._transport.pause_reading()
            self._slow_reader = asyncio.ensure_future(self._wait(pending))

    async def _wait(self, pending: Awaitable[None]) -> None:
        """Wait for a slow reader, which is no silence of the upstream."""
        try:
            await pending
        except Exception as error:
            self._end(error)
            return
        self._slow_reader = None
        self._last_byte_s = self._loop.time()
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _has_length(self) -> bool:
        return (
            'Content-Length' in self._headers
            or 'Transfer-Encoding' in self._headers
            or self._parser.get_status_code() in {204, 304}
        )

    def _end(self, error: Exception | None) -> None:
        if self.ended.done():
            return
        if error is None:
            self.ended.set_result(None)
        else:
            self.ended.set_exception(error)

    def _arm(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        if self._slow_reader is not None:
            self._arm(self._limit_s)
            return
        remaining_s = self._last_byte_s + self._limit_s - self._loop.time()
        if remaining_s > 0:
            self._arm(remaining_s)
            return
        self._end(ResponseTimeoutError('the upstream said nothing in time'))


class UpstreamClient:
    """Makes calls to outside systems."""

    __slots__ = ('_make_tls', '_tls')

    def __init__(self, make_tls: Callable[[], ssl.SSLContext]) -> None:
        """Keep how the TLS context for ``https`` addresses is made.

        Reading the certificates takes tens of milliseconds, which a process
        that calls plain addresses only need not spend at its start.
        """
        self._make_tls = make_tls
        self._tls: ssl.SSLContext | None = None

    async def fetch(self, call: UpstreamCall) -> UpstreamResponse:
        """Make a call and return the whole answer."""
        sink = _BufferSink()
        await self.stream(call, sink)
        return UpstreamResponse(
            sink.status, sink.headers, b''.join(sink.chunks)
        )

    async def stream(self, call: UpstreamCall, sink: ResponseSink) -> None:
        """Make a call and hand the answer to the sink as it arrives.

        Cancelling the task closes the connection. Raises `ConnectError`
        when nothing was sent, else `ResponseTimeoutError` or `InvalidResponseError`.
        """
        parts = urlsplit(call.url)
        protocol = _AnswerProtocol(call, sink)
        try:
            transport = await self._connect(call, parts, protocol)
            transport.write(_render(call, parts))
            await protocol.ended
        finally:
            protocol.close()

    async def _connect(
        self, call: UpstreamCall, parts: SplitResult, protocol: _AnswerProtocol
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
    """Return a client that trusts the CA of the file, or the system's."""
    return UpstreamClient(
        lambda: ssl.create_default_context(cafile=ca_file or None)
    )


def _render(call: UpstreamCall, parts: SplitResult) -> bytes:
    """Return the bytes of the request."""
    path = parts.path or '/'
    target = f'{path}?{parts.query}' if parts.query else path
    headers = {
        **call.headers,
        'Host': parts.netloc,
        'Connection': 'close',
    }
    if call.body or call.method in {'POST', 'PUT', 'PATCH'}:
        headers['Content-Length'] = str(len(call.body))
    lines = [f'{call.method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    head = '\r\n'.join((*lines, '', ''))
    if _has_control_characters(head, len(lines) + 1):
        raise ConnectError('a line of the request holds a line break')
    return head.encode('latin1', errors='replace') + call.body


def _has_control_characters(head: str, line_count: int) -> bool:
    """Tell whether a field could be read as more than one line."""
    return (
        head.count('\r') != line_count
        or head.count('\n') != line_count
        or '\0' in head
    )


def _set_user_timeout(transport: asyncio.Transport, limit_s: float) -> None:
    if hasattr(socket, 'TCP_USER_TIMEOUT'):
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(limit_s * _MS_PER_S),
        )
