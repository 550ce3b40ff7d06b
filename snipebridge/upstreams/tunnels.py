"""Connections to replicas through another entry, by HTTP CONNECT.

The target is the id of a replica, which the helper looks up in its own list, so
nothing but listed replicas can be reached, and only other entries may ask. The
helper passes bytes both ways and knows nothing of requests (RFC 9110, 9.3.6).

A helper answers 502 for a replica that it can't reach though it reaches others,
and 503 if it can't tell or has no room.
"""

import asyncio
import contextlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol
from urllib.parse import quote, unquote

import httptools

from snipebridge.logs import log_event
from snipebridge.upstreams.errors import (
    ConnectError,
    HelperError,
    UpstreamError,
)

# Tunnels that a helper has open at most.
MAX_TUNNELS = 128
# A helper that reaches the replica has done so within some milliseconds.
CONNECT_TIMEOUT_S = 0.15
_HEAD_LIMIT_BYTES = 1024
_HEAD_TIMEOUT_S = 1.0
_PORT = 1
# Stand for themselves in a target (RFC 3986, 3.2.2).
_TARGET_CHARACTERS = "!$&'()*+,;="


class TunnelTarget(Protocol):
    """What a helper must know to open tunnels."""

    def is_peer(self, host: str) -> bool:
        """Tell whether another entry is at this host."""

    def address_of(self, replica: str) -> str:
        """Return host:port of a listed replica, empty for another one."""

    async def reaches_replicas(self) -> bool:
        """Tell whether this entry reaches some replica directly."""


class _Pipe(asyncio.Protocol):
    """One end of a tunnel; bytes go to the other end."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Pipe | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.other.transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        if self.other is None:
            return
        if error is None:
            self.other.transport.close()
        else:
            self.other.transport.abort()


class _Inbound(_Pipe):
    """The end towards the entry that asks for a tunnel."""

    def __init__(self, server: 'TunnelServer') -> None:
        super().__init__()
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._replica = ''
        self._head_bytes = 0
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._server.opened(self)
        asyncio.get_running_loop().call_later(
            _HEAD_TIMEOUT_S, self._end_without_request
        )

    def on_message_complete(self) -> None:
        # After a CONNECT the parser leaves off here, and the tunnel begins.
        if self._parser.get_method() != b'CONNECT':
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self._replica = unquote(url.decode('latin1').rpartition(':')[0])

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            super().data_received(data)
            return
        self._head_bytes += len(data)
        if self._task is not None or self._head_bytes > _HEAD_LIMIT_BYTES:
            self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._task = asyncio.create_task(self._open())
        except httptools.HttpParserError:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.closed(self)
        if self._task is not None:
            self._task.cancel()
        super().connection_lost(error)

    def _end_without_request(self) -> None:
        if self._task is None:
            self.transport.abort()

    async def _open(self) -> None:
        host = self.transport.get_extra_info('peername')[0]
        outbound, status = await self._server.connect(host, self._replica)
        head = f'HTTP/1.1 {int(status)} {status.phrase}\r\n\r\n'
        self.transport.write(head.encode())
        if outbound is None:
            self.transport.close()
            return
        outbound.other = self
        self.other = outbound
        outbound.transport.resume_reading()


class TunnelServer:
    """Opens tunnels for other entries."""

    __slots__ = ('_ends', '_server', '_target', 'accepted', 'port')

    def __init__(self, target: TunnelTarget) -> None:
        """Use the list and the peers of this entry."""
        self._target = target
        self._ends: set[_Inbound] = set()
        self._server: asyncio.Server | None = None
        self.accepted = 0
        self.port = 0

    @property
    def open_tunnels(self) -> int:
        """How many entries have a connection here."""
        return len(self._ends)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Inbound(self), host, port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all tunnels."""
        if self._server is not None:
            self._server.close()
        for end in tuple(self._ends):
            end.transport.abort()

    def opened(self, end: _Inbound) -> None:
        """Count a connection of another entry."""
        self._ends.add(end)

    def closed(self, end: _Inbound) -> None:
        """Forget a connection."""
        self._ends.discard(end)

    async def connect(
        self, host: str, replica: str
    ) -> tuple[_Pipe | None, HTTPStatus]:
        """Return a connection to a replica, and the status to answer with."""
        if not self._target.is_peer(host):
            log_event('tunnel_refused', host=host, replica=replica)
            return None, HTTPStatus.FORBIDDEN
        if len(self._ends) > MAX_TUNNELS:
            return None, HTTPStatus.SERVICE_UNAVAILABLE
        address = self._target.address_of(replica)
        if address:
            with contextlib.suppress(OSError, TimeoutError):
                return await _connect(address), HTTPStatus.OK
        if await self._target.reaches_replicas():
            return None, HTTPStatus.BAD_GATEWAY
        return None, HTTPStatus.SERVICE_UNAVAILABLE


async def _connect(address: str) -> _Pipe:
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, pipe = await loop.create_connection(_Pipe, host, int(port))
    # Until the other end has been told of the connection.
    transport.pause_reading()
    return pipe


class _Handshake(asyncio.Protocol):
    """Waits for the answer of a helper."""

    def __init__(self) -> None:
        self.status = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        if not self.status.done():
            self.status.set_result(self._parser.get_status_code())

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.status.done():
            self.status.set_exception(HelperError('the helper hung up'))


async def open_tunnel(
    helper: str,
    replica: str,
    make_protocol: Callable[[], asyncio.Protocol],
    timeout_s: float,
    own_host: str = '',
) -> asyncio.Protocol:
    """Return a protocol that is connected to a replica through a helper.

    ``own_host`` is the address by which the helper knows this entry.
    Raises `ConnectError` if the helper says that the replica can't be reached,
    and `HelperError` if it can't tell.
    """
    transport = None
    host, _, port = helper.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, handshake = await loop.create_connection(
                _Handshake,
                host,
                int(port),
                local_addr=(own_host, 0) if own_host else None,
            )
            target = f'{quote(replica, safe=_TARGET_CHARACTERS)}:{_PORT}'
            request = f'CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n'
            transport.write(request.encode())
            status = await handshake.status
        _check_status(status, helper, replica)
    except (OSError, TimeoutError) as error:
        _abort(transport)
        raise HelperError(f'{helper}: {error}') from error
    except (UpstreamError, asyncio.CancelledError):
        _abort(transport)
        raise
    protocol = make_protocol()
    transport.set_protocol(protocol)
    protocol.connection_made(transport)
    return protocol


def _abort(transport: asyncio.Transport | None) -> None:
    if transport is not None:
        transport.abort()


def _check_status(status: int, helper: str, replica: str) -> None:
    if status == HTTPStatus.BAD_GATEWAY:
        raise ConnectError(f'{helper} does not reach {replica} either')
    if status != HTTPStatus.OK:
        raise HelperError(f'{helper} answered {status}')
