"""A small deployment for the cases from 11 on, as the platform runs it.

Three control processes and three entries, one of each in a zone, are started
with the commands of the deploy file, on loopback addresses. Around them are
replicas of plain services, the list of replicas (`fakes/platform_list.py`),
callers, and an operator who goes from node to node as the pages say. A process
that ends is started again after a short delay.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path

from fakes.platform_caller import Answer, read_answer, request_bytes
from fakes.platform_list import PlatformList, render

ROOT = Path(__file__).resolve().parents[1]
ZONES = ('tunis-a', 'tunis-b', 'tunis-c')
# Of the site utdf-veille.
THRESHOLDS = {
    'connectivity_ms': 3000,
    'ack_timeout_ms': 4000,
    'revocation_ms': 5000,
    'drain_ms': 3000,
    'convergence_ms': 2000,
    'grace_period_s': 8,
    'retry_budget_ratio': 0.9,
    'retry_window_s': 10,
    'budget_slack': 52,
    'canary_share': 0.15,
    'canary_tolerance': 30,
    'session_s': 5,
}
KEY = 'n2ctnfzs989anu6wsjnb'
HOST = 'ficu95.example'
# An operator moves on to another node after a second without a response.
_OPERATOR_WAIT_S = 1.0
_OPERATOR_PAUSE_S = 0.1
_CALLER_WAIT_S = 5.0
_RESTART_S = 0.3
_POLL_S = 0.05
_START_LIMIT_S = 30.0
_RUN_LIMIT_S = 110.0
_CANNOT_RUN = 2


class Replica:
    """A replica of a plain service: it answers after a time."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        software: str = 'v1',
        work_s: float = 0.02,
    ) -> None:
        """Prepare; `start` listens."""
        self.name = name
        self.service = service
        self.zone = zone
        self.software = software
        self.work_s = work_s
        self.port = 0
        # When each request arrived that it ran, by its id.
        self.runs: dict[str, float] = {}
        self._running = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict:
        """Return the entry of the platform's list."""
        return {
            'id': self.name,
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'data_centre': self.zone,
            'version': self.software,
            'slots': 16,
            'state': 'ready',
            'warm_up_left_ms': 0,
        }

    def status(self) -> str:
        """Return the status of the next answer."""
        return '200 OK'

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                await self._serve_one(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
        except asyncio.CancelledError:
            # The case is over.
            writer.close()

    async def _serve_one(self, reader, writer) -> None:
        headers = _read_headers(await reader.readuntil(b'\r\n\r\n'))
        await reader.readexactly(int(headers.get('content-length', '0')))
        if headers.get('x-target-instance', self.name) != self.name:
            writer.write(_head('421 Misdirected Request', {}))
            return
        attempt_id = headers['x-attempt-id']
        self.runs[attempt_id] = time.monotonic()
        self._running += 1
        await asyncio.sleep(self.work_s)
        self._running -= 1
        named = {
            'X-Attempt-Id': attempt_id,
            'X-Response-Signature': f'{self.name}.s',
            'X-Instance-Load': f'{self._running},0,16',
        }
        body = f'{self.service} {self.software}'.encode()
        writer.write(_head(self.status(), named, len(body)) + body)
        await writer.drain()


class Program:
    """One process of the project, started by its line of the deploy file."""

    def __init__(self, role: str, name: str, settings: Path) -> None:
        """Prepare; `start` runs it."""
        roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        line = roles['roles'][role]['run']
        self.name = name
        # How often it ended by itself.
        self.ends = 0
        self._settings = settings
        self._argv = [
            f'--settings={settings}' if word.startswith('--settings') else word
            for word in line.split()
        ]
        self._process: subprocess.Popen | None = None

    @property
    def has_ended(self) -> bool:
        """Tell whether it was started and runs no longer."""
        return self._process is not None and self._process.poll() is not None

    def start(self) -> None:
        """Start it in the environment that the pages give."""
        kept = ('PATH', 'HOME', 'LANG')
        with self._settings.with_suffix('.log').open('ab') as log:
            self._process = subprocess.Popen(
                self._argv,
                cwd=ROOT,
                env={
                    **{one: os.environ.get(one, '') for one in kept},
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'SNIPEBRIDGE_BOOT': str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """End it at once."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def log_text(self) -> str:
        """Return all that it has written."""
        return self._settings.with_suffix('.log').read_text(errors='replace')


class Record:
    """What happened, with times, for `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Begin anew."""
        self.start_s = time.monotonic()
        self._path = path
        self._path.write_text('')

    def add(self, text: str) -> None:
        """Write a line and show it."""
        passed_s = time.monotonic() - self.start_s
        line = f'{passed_s:8.3f} s  {text}\n'
        with self._path.open('a') as output:
            output.write(line)
        print(line, end='', flush=True)


class System:
    """The processes and what is around them."""

    def __init__(
        self, folder: Path, record: Record, replicas: list[Replica]
    ) -> None:
        """Choose ports that are free on all addresses."""
        ports = _free_ports(5)
        self.record = record
        self.replicas = list(replicas)
        self.controls = [f'127.0.6.{place + 1}' for place in range(len(ZONES))]
        self.entries = [f'127.0.7.{place + 1}' for place in range(len(ZONES))]
        self.programs: dict[str, Program] = {}
        self.callers, self._ready, self._control, self._rpc, self._pages = ports
        self._folder = folder
        self._list = PlatformList(replicas)
        self._watch: asyncio.Task | None = None
        self._is_down = False

    async def start(self, document: dict) -> None:
        """Start everything and wait until all entries are ready."""
        for replica in self.replicas:
            await replica.start()
        self._list.start()
        for place, zone in enumerate(ZONES):
            self._add('control', self.controls[place], zone)
            self._add('entry', self.entries[place], zone)
        for program in self.programs.values():
            program.start()
        self._watch = asyncio.create_task(self._keep_running())
        await self.put(document)
        async with asyncio.timeout(_START_LIMIT_S):
            for host in self.entries:
                while not await self.is_ready(host):
                    await asyncio.sleep(_POLL_S)
        # Later starts find the control processes in place.
        for host in self.controls:
            self._write_settings('control', host, bootstrap=False)
        self.record.add('all entries are ready')

    def stop(self) -> None:
        """End all processes."""
        if self._watch is not None:
            self._watch.cancel()
        for program in self.programs.values():
            program.kill()
        self._list.stop()
        for replica in self.replicas:
            replica.stop()

    async def kill_all(self, down_s: float) -> None:
        """Kill all processes at once, and start them again."""
        self._is_down = True
        for program in self.programs.values():
            program.kill()
        await asyncio.sleep(down_s)
        for program in self.programs.values():
            program.start()
        self._is_down = False

    async def add(self, replica: Replica) -> None:
        """Start a replica and list it."""
        await replica.start()
        self.replicas.append(replica)
        self._list.replicas.append(replica)

    async def put(self, document: dict) -> None:
        """Put a configuration until it is acknowledged."""
        version = document['version']
        async with asyncio.timeout(_START_LIMIT_S):
            while await self.operate('PUT', 'routing', document) is None:
                await asyncio.sleep(_OPERATOR_PAUSE_S)
        self.record.add(f'configuration {version} is acknowledged')

    async def operate(
        self, method: str, page: str, document: dict | None = None
    ) -> Answer | None:
        """Ask one node after the other, each once; return a clear answer."""
        for host in self.controls:
            answer = await self.ask_control(host, method, page, document)
            if (
                answer is not None
                and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
            ):
                return answer
        return None

    async def ask_control(
        self, host: str, method: str, page: str, document: dict | None = None
    ) -> Answer | None:
        """Send one call of the operator to a node."""
        body = json.dumps(document).encode() if document else b''
        content = request_bytes(f'/admin/v1/{page}', method, body)
        return await _exchange(host, self._control, content, _OPERATOR_WAIT_S)

    async def call(
        self,
        host: str,
        path: str,
        attempt_id: str,
        headers: dict[str, str] | None = None,
    ) -> Answer | None:
        """Send one request of a caller to an entry."""
        named = {
            'Host': HOST,
            'X-Attempt-Id': attempt_id,
            'X-Key': KEY,
            'X-Deadline-Ms': '600',
            **(headers or {}),
        }
        content = request_bytes(path, headers=named)
        return await _exchange(host, self.callers, content, _CALLER_WAIT_S)

    async def is_ready(self, host: str) -> bool:
        """Tell whether an entry answers the platform that it is ready."""
        content = request_bytes('/readyz')
        answer = await _exchange(host, self._ready, content, _OPERATOR_WAIT_S)
        return answer is not None and answer.status == HTTPStatus.OK

    async def _keep_running(self) -> None:
        """Start what has ended again, as the platform does."""
        while True:
            await asyncio.sleep(_RESTART_S)
            for program in self.programs.values():
                if program.has_ended and not self._is_down:
                    program.ends += 1
                    self.record.add(f'{program.name} has ended by itself')
                    program.start()

    def _add(self, role: str, host: str, zone: str) -> None:
        self._write_settings(role, host, bootstrap=True)
        settings = self._folder / f'{host}.toml'
        self.programs[host] = Program(role, f'{role} {zone}', settings)

    def _write_settings(self, role: str, host: str, *, bootstrap: bool) -> None:
        template = (ROOT / f'platform/{role}.toml').read_text()
        text = render(template, self._fields(host, bootstrap=bootstrap))
        (self._folder / f'{host}.toml').write_text(text)

    def _fields(self, host: str, *, bootstrap: bool) -> dict:
        place = int(host.rpartition('.')[2]) - 1
        return {
            'node_name': host,
            'data_centre': ZONES[place],
            'zones': dict.fromkeys(ZONES, 'tunis'),
            'ip_address': host,
            'listen_addresses': {
                'frontend': f'{host}:{self.callers}',
                'ready': f'{host}:{self._ready}',
                'control_plane': f'{host}:{self._control}',
            },
            'internal_ports': [self._rpc, self._pages],
            'seed_nodes': [f'{one}:{self._control}' for one in self.controls],
            'bootstrap': bootstrap,
            'limits': {'memory_mb': 300},
            'data_directory': str(self._folder / f'{host}.data'),
            'fault_tolerance': {'node_failures': 1},
            'thresholds': THRESHOLDS,
            'cloud_api': {'address': f'127.0.0.1:{self._list.port}'},
        }


def play(
    case: Callable[[System, bool], Awaitable[bool]],
    replicas: list[Replica],
    document: dict,
) -> int:
    """Play a case; return the exit status of its script."""
    record = Record(Path(os.environ['CASE_FOLDER']) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'with the disruption: {has_trouble}')
    # The processes are ended also where the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_CANNOT_RUN))
    try:
        is_broken = asyncio.run(_play(case, record, replicas, document))
    except Exception as error:
        record.add(f'the case could not run: {error!r}')
        return _CANNOT_RUN
    record.add('the rule was broken' if is_broken else 'the rule held')
    return int(is_broken)


async def _play(case, record, replicas, document) -> bool:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder), record, replicas)
        try:
            async with asyncio.timeout(_RUN_LIMIT_S):
                await system.start(document)
                return await case(system, has_trouble)
        finally:
            system.stop()


async def _exchange(
    host: str, port: int, content: bytes, limit_s: float
) -> Answer | None:
    """Send a request on a new connection; None without a whole answer."""
    errors = (OSError, TimeoutError, asyncio.IncompleteReadError)
    with contextlib.suppress(*errors):
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            with contextlib.closing(writer):
                writer.write(content)
                answer = await read_answer(reader)
                return answer if answer.is_whole else None
    return None


def _read_headers(head: bytes) -> dict[str, str]:
    lines = head.decode('latin1').split('\r\n')[1:]
    fields = (line.partition(':') for line in lines if line)
    return {name.lower(): text.strip() for name, _, text in fields}


def _head(status: str, headers: dict[str, str], length: int = 0) -> bytes:
    named = {**headers, 'Content-Length': str(length)}
    lines = [f'HTTP/1.1 {status}']
    lines.extend(f'{name}: {text}' for name, text in named.items())
    return '\r\n'.join((*lines, '', '')).encode()


def _free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(('127.0.0.1', 0))
        return [one.getsockname()[1] for one in sockets]
