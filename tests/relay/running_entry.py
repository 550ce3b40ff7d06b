"""Runs a routed entry with fake replicas and control inside a test."""

import asyncio
import random

import orjson

from fakes.platform_caller import (
    CHAT_HEADERS,
    DOCUMENT,
    Answer,
    read_answer,
    request_bytes,
)
from fakes.platform_replica import PlatformReplica
from snipebridge.clock import SystemClock
from snipebridge.relay.process import RelayProcess
from snipebridge.rpc import control_pb2_grpc
from snipebridge.rpc.channels import bind_server, make_server
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    ListedReplica,
    ReplicaList,
)
from snipebridge.settings.models import (
    ControlAddress,
    DataCentreSettings,
    HeaderSettings,
    ListenerSettings,
    ProcessSettings,
    Settings,
)

HEADERS = HeaderSettings(
    key='X-Key',
    attempt_id='X-Attempt-Id',
    deadline_ms='X-Deadline-Ms',
    session='Session',
    model='X-Model-Id',
    tokens='X-Token-Usage',
    prompt_parts='X-Prefix-Hash',
    length_hint='X-Length-Hint',
    account='X-Tenant',
    replica='X-Target-Instance',
    priority='X-Request-Priority',
    signature='X-Response-Signature',
    not_run='X-Not-Executed',
    load='X-Instance-Load',
    confidence='X-Confidence',
    rate_limit='Server-Limit',
    rejection_limit='Server-Brittle',
    leaving='Server-Leaving',
    reserved=['X-Pin-Ms', 'Kv-From'],
)


class FakeControl(control_pb2_grpc.ControlServicer):
    """Replies to heartbeats with a reply that the test sets."""

    def __init__(self) -> None:
        """Start as the leader, granting a lease only."""
        self.reply = HeartbeatReply(leader=True, lease_s=5.0)
        self.requests = []
        # No leader is in office.
        self.is_silent = False

    async def Heartbeat(self, request, context) -> HeartbeatReply:
        """Return the reply, without routes that the entry already has."""
        self.requests.append(request)
        reply = HeartbeatReply()
        if self.is_silent:
            return reply
        reply.CopyFrom(self.reply)
        reply.report_id = request.report_id
        if request.routing_version >= reply.routing_version:
            reply.routing = b''
        return reply

    def set_document(self, document) -> None:
        """Set the routing configuration."""
        self.reply.routing_version = document['version']
        self.reply.routing = orjson.dumps(document)

    def set_replicas(self, replicas) -> None:
        """Send a new edition of the replica list."""
        edition = self.reply.replicas.edition + 1
        listed = ReplicaList(edition=edition)
        for one in replicas:
            listed.replicas.append(
                ListedReplica(
                    id=one.name,
                    service=one.service,
                    address=f'{one.host}:{one.port}',
                    data_centre=one.zone,
                    software=one.software,
                    slots=one.slots,
                    draining=one.state == 'draining',
                )
            )
        self.reply.replicas.CopyFrom(listed)


class RunningEntry:
    """Replicas, control and one entry on the loopback interface."""

    def __init__(
        self,
        *replicas: PlatformReplica,
        document=None,
        retry_slack: float = 50.0,
        owns_replicas: bool = True,
        regions=(),
    ) -> None:
        """Take replicas, which another entry starts if this one does not."""
        self.owns_replicas = owns_replicas
        self.retry_slack = retry_slack
        # Data centres with their regions.
        self.regions = regions
        self.replicas = list(replicas)
        self.control = FakeControl()
        self.control.set_document(document or DOCUMENT)
        self._server = make_server()
        self.process: RelayProcess | None = None

    async def __aenter__(self):
        """Start everything and wait until the entry is ready."""
        for replica in self.replicas if self.owns_replicas else ():
            await replica.start()
        self.control.set_replicas(self.replicas)
        control_pb2_grpc.add_ControlServicer_to_server(
            self.control, self._server
        )
        address = bind_server(
            self._server, ListenerSettings(), Settings(None).peer_tls
        )
        await self._server.start()
        settings = Settings(
            ProcessSettings('e1', 'a'),
            controls=[ControlAddress('c1', address)],
            headers=HEADERS,
        )
        settings.entry.heartbeat_interval_s = 0.05
        settings.data_centres = [
            DataCentreSettings(name, region) for name, region in self.regions
        ]
        settings.promises.retry_ratio = 0.0
        settings.promises.retry_slack = self.retry_slack
        self.process = RelayProcess(settings, SystemClock(), random.Random(1))
        await self.process.start()
        await self.wait_until(self.process.is_ready)
        return self

    async def __aexit__(self, *exception):
        """Stop everything."""
        await self.process.close()
        await self._server.stop(0)
        for replica in self.replicas if self.owns_replicas else ():
            await replica.stop()

    async def wait_until(self, condition, limit_s=5.0) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def replace_list(self) -> None:
        """Send a new replica list and wait until the entry has it."""
        self.control.set_replicas(self.replicas)
        seen = len(self.control.requests)
        await self.wait_until(lambda: len(self.control.requests) > seen + 2)

    async def send_bytes(self, content: bytes):
        """Open a connection and send bytes; return reader and writer."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.http_port
        )
        writer.write(content)
        return reader, writer

    async def request(
        self, path, method='GET', body=b'', headers=None
    ) -> Answer:
        """Send one request and return its response."""
        content = request_bytes(path, method, body, headers)
        reader, writer = await self.send_bytes(content)
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def chat(self) -> Answer:
        """Request a stream."""
        return await self.request('/chat/x', 'POST', b'prompt', CHAT_HEADERS)
