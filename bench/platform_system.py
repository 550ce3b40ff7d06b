"""The whole system on stand-ins of the users' platform, as processes.

Each process has a loopback address of its own, so that the settings are
those which the platform's templates give.
"""

import asyncio
import copy
import json
import os
import signal
from collections.abc import Sequence
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPError

from bench.processes import ChildProcess, free_ports
from fakes.platform_list import PlatformList, render
from fakes.platform_replica import PlatformReplica
from fakes.platform_caller import (
    CHAT_HEADERS,
    DOCUMENT,
    read_answer,
    request_bytes,
)

ROOT = Path(__file__).resolve().parents[1]
CONTROLS = tuple(f'127.0.4.{number}' for number in (1, 2, 3))


def entry_hosts(count: int) -> tuple[str, ...]:
    """Return the addresses of so many entries."""
    return tuple(f'127.0.5.{number + 1}' for number in range(count))


ENTRIES = entry_hosts(2)
# The memory of the smallest host of an entry.
MEMORY_MB = 160
THRESHOLDS = {
    'revocation_ms': 5000,
    'drain_ms': 3000,
    'convergence_ms': 2000,
    'grace_period_s': 8,
    'retry_budget_ratio': 0.9,
    'retry_window_s': 10,
    'budget_slack': 50,
    'canary_share': 0.15,
    'session_s': 5,
    'retry_after_s': 8.5,
}


class PlatformSystem:
    """Three control processes, two entries, and the platform around them."""

    def __init__(
        self,
        folder: Path,
        replicas: Sequence[PlatformReplica] = (),
        entries: Sequence[str] = ENTRIES,
    ) -> None:
        """Choose ports that are free on all addresses."""
        self.folder = folder
        self.entries = entries
        ports = free_ports(5)
        self.callers, self.ready, self.control, self.rpc, self.pages = ports
        self.document = copy.deepcopy(DOCUMENT)
        self.replicas = list(replicas) or _few_replicas()
        self.list = PlatformList(self.replicas)
        self.processes: dict[str, ChildProcess] = {}
        # The sources of hosts that run another build than this one.
        self.sources: dict[str, Path] = {}
        self.attempts = 0

    async def __aenter__(self):
        """Start all, put the first configuration, wait for readiness."""
        for replica in self.replicas:
            await replica.start()
        self.list.start()
        for host in CONTROLS:
            self.start(host, bootstrap=True)
        for host in self.entries:
            self.start(host)
        await self.put(self.document)
        for host in self.entries:
            await self.until_ready(host)
        return self

    async def __aexit__(self, *exception):
        """Stop all."""
        for process in self.processes.values():
            process.kill()
        self.list.stop()
        for replica in self.replicas:
            await replica.stop()

    def start(self, host: str, *, bootstrap: bool = False) -> None:
        """Start a process on the settings that its template gives."""
        role = 'control' if host in CONTROLS else 'entry'
        source = self.sources.get(host, ROOT)
        template = (source / 'platform' / f'{role}.toml').read_text()
        settings = self.folder / f'{host}.toml'
        self.folder.mkdir(parents=True, exist_ok=True)
        settings.write_text(render(template, self._fields(host, bootstrap)))
        argv = ['-m', 'snipebridge', role, f'--settings={settings}']
        process = self.processes.setdefault(
            host, ChildProcess(host, argv, self.folder)
        )
        process.source = source
        process.start()

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to one process that this test started."""
        os.kill(self.processes[host].pid, number)

    async def put(self, document, host: str = '') -> dict:
        """Put a configuration, as an operator who tries host after host."""
        return await self._operate('PUT', 'routing', document, host)

    async def read(self, host: str = '') -> dict:
        """Read the configuration back."""
        return await self._operate('GET', 'routing', None, host)

    async def order(self, target: str, duration_s: float) -> dict:
        """Order a roll-out of the models' software."""
        body = {
            'service': 'models',
            'target': target,
            'deadline_s': duration_s,
        }
        return await self._operate('POST', 'software-rollouts', body)

    async def rollout(self) -> dict:
        """Read the state of the roll-out."""
        return await self._operate('GET', 'software-rollouts/models')

    async def evacuate(self, data_centre: str, *, ends: bool = False) -> dict:
        """Order an evacuation, or end one."""
        method = 'DELETE' if ends else 'POST'
        return await self._operate(method, f'evacuations/{data_centre}')

    async def until_ready(self, host: str, *, ready: bool = True) -> None:
        """Wait until the balancer would use an entry, or would not."""
        while True:
            status, _ = await fetch(f'http://{host}:{self.ready}/readyz')
            if (status == 200) is ready:
                return
            await asyncio.sleep(0.05)

    async def until_control_ready(self, host: str) -> None:
        """Wait until a control process takes part again."""
        status = 0
        while status != 200:
            status, _ = await fetch(f'http://{host}:{self.control}/readyz')
            await asyncio.sleep(0.05)

    async def ask(self, path: str, host: str = '', **options):
        """Send one request of a caller and read its answer."""
        self.attempts += 1
        headers = {
            'X-Attempt-Id': f'a{self.attempts}',
            **options.pop('headers', {}),
        }
        reader, writer = await asyncio.open_connection(
            host or ENTRIES[0], self.callers
        )
        writer.write(request_bytes(path, headers=headers, **options))
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def chat(self, host: str = '', **headers):
        """Ask for a stream."""
        named = {**CHAT_HEADERS, **headers}
        return await self.ask(
            '/chat/x', host, method='POST', body=b'prompt', headers=named
        )

    def log_lines(self, host: str, kind: str) -> list[dict]:
        """Return the log lines of one kind that a process has written."""
        text = self.processes[host].stdout_path.read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        return [line for line in lines if line.get('message_type') == kind]

    async def _operate(self, method, page, body=None, host='') -> dict:
        hosts = [host] if host else list(CONTROLS)
        for attempt in range(200):
            target = hosts[attempt % len(hosts)]
            url = f'http://{target}:{self.control}/admin/v1/{page}'
            status, answer = await fetch(url, method, body)
            if 200 <= status < 500:
                return answer
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{method} {page}: no clear answer')

    def _fields(self, host: str, bootstrap: bool) -> dict:
        return {
            'node_name': host,
            'data_centre': 'a',
            'ip_address': host,
            'listen_addresses': {
                'frontend': f'{host}:{self.callers}',
                'ready': f'{host}:{self.ready}',
                'control_plane': f'{host}:{self.control}',
            },
            'internal_ports': [self.rpc, self.pages],
            'seed_nodes': [f'{one}:{self.control}' for one in CONTROLS],
            'bootstrap': bootstrap,
            'limits': {'memory_mb': MEMORY_MB},
            'data_directory': str(self.folder / f'{host}.data'),
            'fault_tolerance': {'node_failures': 1},
            'thresholds': THRESHOLDS,
            'cloud_api': {'address': f'127.0.0.1:{self.list.port}'},
        }


def _few_replicas() -> list[PlatformReplica]:
    return [
        PlatformReplica(f'd{number}', 'desk', '127.0.0.1')
        for number in range(2)
    ] + [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1')
        for number in range(3)
    ]


async def fetch(url, method='GET', body=None):
    """Return status and JSON body; 599 where there is no answer."""
    try:
        response = await AsyncHTTPClient().fetch(
            url,
            method=method,
            body=json.dumps(body) if body is not None else None,
            raise_error=False,
            request_timeout=2.0,
            # An order without a body.
            allow_nonstandard_methods=True,
        )
    except (OSError, HTTPError):
        return 599, {}
    try:
        return response.code, json.loads(response.body or b'{}')
    except ValueError:
        return response.code, {}


def run(folder, scenario, replicas=()):
    """Run a scenario on a started system."""

    async def session():
        async with asyncio.timeout(100):
            async with PlatformSystem(folder / 'system', replicas) as system:
                await scenario(system)

    asyncio.run(session())
