"""A control process that runs inside a test, and its clients."""

import asyncio

import orjson
from grpc import aio
from tornado.httpclient import AsyncHTTPClient

from snipebridge.control.process import make_control
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.keys import make_key_hash
from snipebridge.rpc.control_pb2 import HeartbeatRequest, SubmitRequest
from snipebridge.rpc.control_pb2_grpc import ControlStub
from snipebridge.settings.models import ProcessSettings, Settings
from tests.clocks import ManualClock
from tests.memory_replica import MemoryReplica

KEY = 'operator.secret'


def make_settings(name='c1'):
    """Return settings with the operators' key."""
    settings = Settings(ProcessSettings(name, 'd1'))
    settings.admin_key_hash = make_key_hash(KEY, b'salt')
    return settings


class Answer:
    """An HTTP answer with its JSON read."""

    def __init__(self, response):
        """Read the body where it is JSON."""
        self.status = response.code
        self.headers = response.headers
        self.text = response.body.decode()
        kind = response.headers.get('Content-Type', '')
        is_json = kind.startswith('application/json;') or kind.endswith('/json')
        self.body = orjson.loads(response.body) if is_json else None

    @property
    def error(self):
        """Return the error object."""
        return self.body['error']


class RunningControl:
    """Starts and drains a control process; its clock stands still."""

    def __init__(self, planners=None, name='c1', leads=True):
        """Build it around a log of one member in memory."""
        settings = make_settings(name)
        self.clock = ManualClock()
        self.machine = make_control_state_machine(settings.control)
        self.replica = MemoryReplica(self.machine, name)
        self.replica.leads = leads
        self.process = make_control(
            settings, self.machine, self.replica, self.clock, planners
        )

    async def __aenter__(self):
        """Start it and wait until it is in office, where it leads."""
        await self.process.start()
        self.channel = aio.insecure_channel(self.process.rpc_address)
        self.stub = ControlStub(self.channel)
        while self.replica.leads and not self.process.is_ready():
            await asyncio.sleep(0)
        return self

    async def __aexit__(self, *exception):
        """Drain it."""
        await self.channel.close()
        await self.process.stop()

    async def call(self, path, method='GET', body=None, key=KEY, **headers):
        """Send one request to the operators' listener."""
        named = {name.replace('_', '-'): one for name, one in headers.items()}
        response = await AsyncHTTPClient().fetch(
            f'http://127.0.0.1:{self.process.http_port}{path}',
            method=method,
            body=body,
            headers={'Authorization': f'Bearer {key}', **named},
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        return Answer(response)

    async def patch(self, change, number, key='k1'):
        """Submit a patch."""
        return await self.call(
            '/admin/v1/config',
            'PATCH',
            orjson.dumps(change),
            If_Match=f'"{number}"',
            Idempotency_Key=key,
        )

    async def beat(self, entry='e1', incarnation=1, **fields):
        """Send a heartbeat of an entry."""
        return await self.stub.Heartbeat(
            HeartbeatRequest(entry=entry, incarnation=incarnation, **fields)
        )

    async def submit(self, *commands):
        """Submit commands of an entry."""
        return await self.stub.Submit(SubmitRequest(commands=commands))


def run_with_control(scenario, planners=None):
    """Run a scenario against a fresh control process."""

    async def run():
        async with RunningControl(planners) as control:
            await scenario(control)

    asyncio.run(run())
