"""gRPC channels and servers with the limits that all our processes use."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import grpc

from snipebridge.rpc.guard import HandlerGuard
from snipebridge.settings.models import ListenerSettings, PeerTlsSettings
from snipebridge.supervision import Supervisor, make_supervisor

_KEEPALIVE_MS = 2000
_KEEPALIVE_TIMEOUT_MS = 1000
_MESSAGE_LIMIT_BYTES = 16_777_216
_RECONNECT_MS = 500
# No call between our processes has a longer deadline.
_CALL_LIMIT_S = 15.0

_CLIENT_OPTIONS = (
    ('grpc.keepalive_time_ms', _KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', _KEEPALIVE_TIMEOUT_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.max_receive_message_length', _MESSAGE_LIMIT_BYTES),
    ('grpc.initial_reconnect_backoff_ms', _RECONNECT_MS),
    ('grpc.max_reconnect_backoff_ms', _RECONNECT_MS),
    # A channel of its own for each owner: closing one closes its socket.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_http_proxy', 0),
)
_SERVER_OPTIONS = (
    ('grpc.keepalive_time_ms', _KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', _KEEPALIVE_TIMEOUT_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.min_recv_ping_interval_without_data_ms', _KEEPALIVE_MS // 2),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.max_receive_message_length', _MESSAGE_LIMIT_BYTES),
    ('grpc.so_reuseport', 0),
)

RpcServer = grpc.aio.Server


def make_channel(address: str, tls: PeerTlsSettings) -> grpc.aio.Channel:
    """Return a channel to another process, with TLS where it is set."""
    if not tls.ca_file:
        return grpc.aio.insecure_channel(address, options=_CLIENT_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=Path(tls.ca_file).read_bytes(),
        private_key=Path(tls.key_file).read_bytes(),
        certificate_chain=Path(tls.certificate_file).read_bytes(),
    )
    return grpc.aio.secure_channel(
        address, credentials, options=_CLIENT_OPTIONS
    )


def make_server(supervisor: Supervisor | None = None) -> grpc.aio.Server:
    """Return a server without services or ports yet."""
    guard = HandlerGuard(supervisor or make_supervisor())
    return grpc.aio.server(options=_SERVER_OPTIONS, interceptors=(guard,))


def bind_server(
    server: grpc.aio.Server, listener: ListenerSettings, tls: PeerTlsSettings
) -> str:
    """Listen as the settings say; return host:port as bound."""
    address = f'{listener.host}:{listener.port}'
    if tls.ca_file:
        credentials = grpc.ssl_server_credentials(
            [(_read(tls.key_file), _read(tls.certificate_file))],
            root_certificates=_read(tls.ca_file),
            require_client_auth=True,
        )
        port = server.add_secure_port(address, credentials)
    else:
        port = server.add_insecure_port(address)
    return f'{listener.host}:{port}'


def _read(path: str) -> bytes:
    return Path(path).read_bytes()


class ChannelPool:
    """One channel for each address, made anew after a silence.

    Closing a channel cancels the calls that run on it, which would look to
    their callers like a cancel of their own task. So a channel that is given
    up stays open until its calls have ended by their deadlines.
    """

    __slots__ = ('_channels', '_closing', '_make')

    def __init__(self, make: Callable[[str], grpc.aio.Channel]) -> None:
        """Keep how a channel is made."""
        self._make = make
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return the channel to an address."""
        if address not in self._channels:
            self._channels[address] = self._make(address)
        return self._channels[address]

    def discard(self, address: str) -> None:
        """Give the channel up, so that the next call makes a new one."""
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        task = asyncio.create_task(channel.close(_CALL_LIMIT_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels at once."""
        for task in self._closing:
            task.cancel()
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()


def make_channel_pool(tls: PeerTlsSettings) -> ChannelPool:
    """Return an empty pool."""
    return ChannelPool(lambda address: make_channel(address, tls))
