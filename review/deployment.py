"""A small deployment for the review's scripts: programs and stand-ins.

The programs are started with the commands of the deploy file. The stand-ins
for replicas, their list, the operator and the callers are the project's own.
Every address is a loopback address, and the ports are drawn anew.
"""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from bench.platform_system import CONTROLS, ENTRIES, PlatformSystem, fetch
from bench.processes import BenchError, ChildProcess
from fakes.platform_list import render

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may run for 120 seconds.
_LIMIT_S = 110.0
_OK_STATUS = 200
# Between two rounds of an operator who got no clear answer.
_PAUSE_S = 0.2
_CONTROL_NET = '127.0.4.'

Scenario = Callable[['Deployment', bool], Awaitable[bool]]


class Deployment(PlatformSystem):
    """Three control and two entry processes, and a record of what is done."""

    def __init__(self, folder: Path, record: Path, replicas=()) -> None:
        """Write the record to a file, from its start."""
        super().__init__(folder, replicas)
        self._record = record.open('w')
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        passed_s = time.monotonic() - self._started_s
        self._record.write(f'{passed_s:7.2f} {text}\n')
        self._record.flush()

    def start(self, host: str, *, bootstrap: bool = False) -> None:
        """Start a program with the command of its role in the deploy file."""
        role = 'control' if host.startswith(_CONTROL_NET) else 'entry'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        template = (ROOT / deploy['roles'][role]['template']).read_text()
        settings = self.folder / f'{host}.toml'
        self.folder.mkdir(parents=True, exist_ok=True)
        settings.write_text(render(template, self._fields(host, bootstrap)))
        # The platform puts the file at the place that the command names.
        argv = [
            f'--settings={settings}' if word.startswith('--settings=') else word
            for word in deploy['roles'][role]['run'].split()[1:]
        ]
        process = self.processes.setdefault(
            host, ChildProcess(host, argv, self.folder)
        )
        process.start()
        self.note(f'{host}: started, bootstrap {bootstrap}')

    async def stop(self, host: str, limit_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.note(f'{host}: SIGTERM')
        self.processes[host].terminate()
        try:
            await self.processes[host].wait(limit_s)
        except BenchError:
            self.processes[host].kill()
        self.note(f'{host}: ended')

    def require(self, hosts) -> None:
        """Raise if a program that should run does not: the case is void."""
        for host in hosts:
            if not self.processes[host].is_alive:
                raise ChildProcessError(f'{host} does not run')

    def lose_disk(self, host: str) -> None:
        """Kill a control process and remove its data folder."""
        self.processes[host].kill()
        shutil.rmtree(self.folder / f'{host}.data', ignore_errors=True)
        self.note(f'{host}: killed, its disk is lost')

    async def begin(self) -> None:
        """Start the stand-ins, and all programs for the first time."""
        for replica in self.replicas:
            await replica.start()
        self.list.start()
        for host in CONTROLS:
            self.start(host, bootstrap=True)
        for host in self.entries:
            self.start(host)

    async def end(self) -> None:
        """End all programs and stand-ins; note what the replicas ran."""
        for replica in self.replicas:
            counts = Counter(
                (run.target, run.headers.get('x-tenant', 'no account'))
                for run in replica.runs
            )
            self.note(f'replica {replica.name} ran: {dict(counts)}')
        for process in self.processes.values():
            process.kill()
        self.list.stop()
        for replica in self.replicas:
            await replica.stop()
        self._record.close()

    async def operate(
        self, method: str, page: str, body: Any, hosts, limit_s: float
    ) -> dict | None:
        """Send an order to host after host; return the first 200, if any."""
        until_s = time.monotonic() + limit_s
        seen: dict[str, int] = {}
        while time.monotonic() < until_s:
            for host in hosts:
                url = f'http://{host}:{self.control}/admin/v1/{page}'
                status, answer = await fetch(url, method, body)
                if seen.get(host) != status:
                    self.note(f'operator {method} {page} at {host}: {status}')
                seen[host] = status
                if status == _OK_STATUS:
                    return answer
            await asyncio.sleep(_PAUSE_S)
        self.note(f'operator {method} {page}: no answer in {limit_s:.0f} s')
        return None

    async def served(self, path: str, count: int, **options) -> int:
        """Send requests in turn; return how many were answered with 200."""
        statuses = []
        for number in range(count):
            host = self.entries[number % len(self.entries)]
            try:
                answer = await self.ask(path, host, **options)
            except (OSError, asyncio.IncompleteReadError):
                statuses.append(0)
            else:
                statuses.append(answer.status)
        self.note(f'callers {path}: {statuses}')
        return statuses.count(_OK_STATUS)


async def _play(scenario: Scenario, record: Path, replicas) -> int:
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        system = Deployment(Path(folder) / 'system', record, replicas)
        try:
            async with asyncio.timeout(_LIMIT_S):
                holds = await scenario(system, trouble)
        except (OSError, TimeoutError) as error:
            system.note(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            await system.end()
    return HELD if holds else BROKEN


def main(scenario: Scenario, replicas=()) -> None:
    """Play a scenario that tells whether the rule held, and exit."""
    # The programs are ended also where the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Path(sys.argv[0]).resolve().parent / 'record.txt'
    sys.exit(asyncio.run(_play(scenario, record, replicas)))


__all__ = ('CONTROLS', 'ENTRIES', 'Deployment', 'main')
