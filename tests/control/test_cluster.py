"""Three control processes with logs on disk, in this process, on loopback."""

import asyncio
import itertools

import grpc
import orjson
from tornado.httpclient import AsyncHTTPClient

from bench.processes import free_ports
from snipebridge.clock import SystemClock
from snipebridge.consensus.replica import make_replica
from snipebridge.control.process import make_control
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.channels import make_channel
from snipebridge.rpc.control_pb2 import HeartbeatRequest, SubmitRequest
from snipebridge.rpc.control_pb2_grpc import ControlStub
from snipebridge.settings.models import ControlAddress, PeerTlsSettings
from tests.controllers.commands import DOCUMENT, DUPLICATE, OK, bill, command
from tests.running_control import KEY, make_settings

NAMES = ('c1', 'c2', 'c3')
PAUSE_S = 0.02


class ControlCluster:
    """Three control processes that can be stopped and started again."""

    def __init__(self, folder):
        """Give each its ports and its data folder."""
        ports = iter(free_ports(2 * len(NAMES)))
        self.settings = {name: make_settings(name) for name in NAMES}
        self.running = {}
        for name, settings in self.settings.items():
            settings.process.data_folder = str(folder / name)
            settings.listener.port = next(ports)
            settings.rpc_listener.port = next(ports)
        addresses = [
            ControlAddress(name, f'127.0.0.1:{one.rpc_listener.port}')
            for name, one in self.settings.items()
        ]
        for settings in self.settings.values():
            settings.controls = addresses

    async def __aenter__(self):
        """Start all and wait for a leader."""
        for name in NAMES:
            await self.start(name)
        return self

    async def __aexit__(self, *exception):
        """Stop all."""
        for name in tuple(self.running):
            await self.stop(name)

    async def start(self, name):
        """Start one from its data folder."""
        settings = self.settings[name]
        machine = make_control_state_machine(settings.control)
        replica = make_replica(settings, machine)
        process = make_control(settings, machine, replica)
        await process.start()
        self.running[name] = process

    async def stop(self, name):
        """Stop one as TERM does."""
        await self.running.pop(name).stop()

    async def leader(self):
        """Wait for a leader that is in office; return its name."""
        while True:
            for name, process in self.running.items():
                if process.leadership.is_in_office():
                    return name
            await asyncio.sleep(PAUSE_S)

    async def call(self, name, path, method='GET', body=None, **headers):
        """Ask one process until it has an answer."""
        while True:
            response = await AsyncHTTPClient().fetch(
                f'http://127.0.0.1:{self.settings[name].listener.port}{path}',
                method=method,
                body=body,
                headers={'Authorization': f'Bearer {KEY}', **headers},
                raise_error=False,
            )
            if response.code != 503:
                return response.code, orjson.loads(response.body)
            await asyncio.sleep(PAUSE_S)

    async def patch(self, name, change, number, key):
        """Submit a patch to one process."""
        headers = {'If-Match': f'"{number}"', 'Idempotency-Key': key}
        return await self.call(
            name,
            '/admin/v1/config',
            'PATCH',
            orjson.dumps(change),
            **headers,
        )

    async def ask(self, method, request):
        """Ask all processes in turn until the leader answers."""
        for name in itertools.cycle(NAMES):
            address = f'127.0.0.1:{self.settings[name].rpc_listener.port}'
            async with make_channel(address, PeerTlsSettings()) as channel:
                call = getattr(ControlStub(channel), method)
                try:
                    reply = await call(request, timeout=1.0)
                except grpc.aio.AioRpcError:
                    await asyncio.sleep(PAUSE_S)
                    continue
            if reply.leader:
                return reply
            await asyncio.sleep(PAUSE_S)


def test_answers_and_numbers_survive_leaders_and_restarts(tmp_path):
    """Patches raced and resent, bills and entries across two leaders."""

    async def run():
        async with ControlCluster(tmp_path) as cluster:
            first = await cluster.leader()
            answers = await asyncio.gather(
                *(cluster.patch(name, DOCUMENT, 0, name) for name in NAMES)
            )
            assert sorted(code for code, _ in answers) == [200, 412, 412]
            beat = HeartbeatRequest(entry='e1', incarnation=1)
            assert (await cluster.ask('Heartbeat', beat)).number == 1
            made = command(bill=bill('r', SystemClock().wall_ms()))
            billed = await cluster.ask('Submit', SubmitRequest(commands=[made]))
            assert billed.results[0].code == OK
            await cluster.stop(first)
            second = await cluster.leader()
            assert second != first
            again = await asyncio.gather(
                *(cluster.patch(second, DOCUMENT, 0, name) for name in NAMES)
            )
            assert again == answers
            code, answer = await cluster.patch(second, {}, 1, 'next')
            assert (code, answer['number']) == (200, 2)
            await cluster.start(first)
            await cluster.stop(second)
            third = await cluster.leader()
            code, page = await cluster.call(third, '/admin/v1/config')
            assert (page['number'], page['body']) == (2, DOCUMENT)
            beat.number = 1
            billed = await cluster.ask('Submit', SubmitRequest(commands=[made]))
            assert billed.results[0].code == DUPLICATE
            reply = await cluster.ask('Heartbeat', beat)
            assert reply.number == 2
            assert orjson.loads(reply.configuration) == DOCUMENT

    asyncio.run(run())
