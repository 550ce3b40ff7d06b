"""Messages between replicas over gRPC.

Each peer has its own bounded queue, task and channel, so one that does not
answer holds up none of the others. A call that misses its deadline drops
the channel: a connection that has gone silent is replaced by a new one.
What was queued for a peer that failed is dropped, since the core sends again
what still matters.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from pathlib import Path

import grpc
from grpc import aio

from snipebridge.consensus.messages import Timing
from snipebridge.logs import log_event
from snipebridge.rpc.consensus_pb2 import Envelope, Envelopes
from snipebridge.rpc.consensus_pb2_grpc import ConsensusStub
from snipebridge.settings.models import PeerTlsSettings
from snipebridge.supervision import describe

MAX_MESSAGE_BYTES = 16_777_216
MAX_BATCH_BYTES = 1_048_576
MAX_QUEUE_BYTES = 8_388_608
KEEPALIVE_INTERVAL_MS = 5_000
KEEPALIVE_TIMEOUT_MS = 2_000
IDLE_LIMIT_S = 3.0
# One refused call may be an old connection that was closed.
REFUSALS_OF_ENDED = 2

_SIZE_OPTIONS = (
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
)
_CHANNEL_OPTIONS = (
    *_SIZE_OPTIONS,
    ('grpc.keepalive_time_ms', KEEPALIVE_INTERVAL_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_retries', 0),
)
SERVER_OPTIONS = (
    *_SIZE_OPTIONS,
    ('grpc.http2.min_recv_ping_interval_without_data_ms', 1_000),
    ('grpc.keepalive_time_ms', KEEPALIVE_INTERVAL_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
)
"""Options for the server that carries the Consensus service."""

Resolve = Callable[[str], str]
OpenChannel = Callable[[str], aio.Channel]


class Transport:
    """Sends envelopes to peers by name; it never waits for one."""

    __slots__ = ('_open_channel', '_peers', '_resolve', '_timing')

    def __init__(
        self,
        resolve: Resolve,
        open_channel: OpenChannel,
        timing: Timing,
    ) -> None:
        """Keep how to find and reach a peer."""
        self._resolve = resolve
        self._open_channel = open_channel
        self._timing = timing
        self._peers: dict[str, _Peer] = {}

    def send(self, envelope: Envelope) -> None:
        """Queue a message, or drop it where the queue is full."""
        name = envelope.recipient
        peer = self._peers.get(name)
        if peer is None:
            peer = _Peer(name, self._resolve, self._open_channel, self._timing)
            self._peers[name] = peer
        peer.put(envelope)

    def is_refused(self, name: str) -> bool:
        """Tell whether new connections to a peer are refused.

        A process that ended is refused at once. One that is frozen or cut
        off does not answer, which shows only in time.
        """
        peer = self._peers.get(name)
        return peer is not None and peer.refusals >= REFUSALS_OF_ENDED

    async def close(self) -> None:
        """Stop all tasks and close all channels."""
        for peer in self._peers.values():
            await peer.close()
        self._peers = {}


class _Peer:
    __slots__ = (
        '_address',
        '_channel',
        '_failures',
        '_filled',
        '_name',
        '_open_channel',
        '_queue',
        '_queued_bytes',
        '_resolve',
        '_task',
        '_timing',
        '_used_s',
        'refusals',
    )

    def __init__(
        self,
        name: str,
        resolve: Resolve,
        open_channel: OpenChannel,
        timing: Timing,
    ) -> None:
        self._name = name
        self._resolve = resolve
        self._open_channel = open_channel
        self._timing = timing
        self._queue: deque[Envelope] = deque()
        self._queued_bytes = 0
        self._filled = asyncio.Event()
        self._channel: aio.Channel | None = None
        self._address = ''
        self._used_s = 0.0
        self._failures = 0
        # Consecutive calls that were refused or reset.
        self.refusals = 0
        self._task = asyncio.create_task(self._run())

    def put(self, envelope: Envelope) -> None:
        size_bytes = envelope.ByteSize()
        if self._queue and self._queued_bytes + size_bytes > MAX_QUEUE_BYTES:
            return
        self._queue.append(envelope)
        self._queued_bytes += size_bytes
        self._filled.set()

    async def close(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._drop_channel()

    async def _run(self) -> None:
        while True:
            await self._filled.wait()
            try:
                await self._deliver(self._take())
            except Exception as error:
                # An address that can't be parsed must not end the task.
                self._log_first(error)
                self.refusals = self.refusals + 1 if _is_refusal(error) else 0
                await self._recover()
            else:
                self._log_regained()
                self._failures = 0
                self.refusals = 0

    async def _deliver(self, batch: Envelopes) -> None:
        address = self._resolve(self._name)
        if not batch.envelopes or not address:
            return
        loop = asyncio.get_running_loop()
        is_idle = loop.time() - self._used_s > IDLE_LIMIT_S
        if self._channel is None or is_idle or address != self._address:
            await self._drop_channel()
            self._channel = self._open_channel(address)
            self._address = address
        self._used_s = loop.time()
        call = ConsensusStub(self._channel).Deliver
        await call(batch, timeout=self._timing.election_timeout_s / 2)

    def _log_regained(self) -> None:
        if self._failures:
            log_event('peer_regained', peer=self._name, failures=self._failures)

    def _log_first(self, error: Exception) -> None:
        """Log that the peer is lost; more failures in a row say no more."""
        if not self._failures:
            log_event(
                'peer_lost',
                peer=self._name,
                address=self._address,
                **describe(error),
            )

    async def _recover(self) -> None:
        await self._drop_channel()
        self._failures += 1
        interval_s = self._timing.heartbeat_interval_s
        pause_s = min(
            interval_s * self._failures, self._timing.election_timeout_s / 2
        )
        await asyncio.sleep(pause_s)
        self._queue.clear()
        self._queued_bytes = 0
        self._filled.clear()

    async def _drop_channel(self) -> None:
        channel = self._channel
        self._channel = None
        if channel is not None:
            await channel.close()

    def _take(self) -> Envelopes:
        batch = Envelopes()
        size_bytes = 0
        while self._queue and size_bytes < MAX_BATCH_BYTES:
            envelope = self._queue.popleft()
            size_bytes += envelope.ByteSize()
            batch.envelopes.append(envelope)
        self._queued_bytes -= size_bytes
        if not self._queue:
            self._filled.clear()
        return batch


def _is_refusal(error: Exception) -> bool:
    return (
        isinstance(error, aio.AioRpcError)
        and error.code() is grpc.StatusCode.UNAVAILABLE
    )


def make_channel_opener(tls: PeerTlsSettings) -> OpenChannel:
    """Return how to open a channel, with TLS where its files are set."""
    if not tls.ca_file:
        return lambda address: aio.insecure_channel(
            address, options=_CHANNEL_OPTIONS
        )
    credentials = grpc.ssl_channel_credentials(
        root_certificates=Path(tls.ca_file).read_bytes(),
        private_key=_read_optional(tls.key_file),
        certificate_chain=_read_optional(tls.certificate_file),
    )
    return lambda address: aio.secure_channel(
        address, credentials, options=_CHANNEL_OPTIONS
    )


def _read_optional(path: str) -> bytes | None:
    return Path(path).read_bytes() if path else None
