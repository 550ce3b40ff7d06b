"""The programs of the deploy file on loopback, for the second review.

Three control and two entry processes are started with the commands of the
deploy file, on settings that the platform's templates give. Callers, replicas,
their list and the operator are the project's stand-ins. A script exits with 1
if its rule was broken, 0 if it held, and 2 if it could not run.
"""

import asyncio
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from bench.platform_system import CONTROLS, PlatformSystem
from bench.processes import BenchError, ChildProcess
from fakes.platform_list import render
from fakes.platform_replica import PlatformReplica

HELD = 0
BROKEN = 1
NOT_RUN = 2
_LIMIT_S = 100.0
_ROOT = Path(__file__).resolve().parents[1]
_SETTINGS = '--settings='


class ReviewSystem(PlatformSystem):
    """The small deployment of the project's tests, as it is deployed."""

    def __init__(
        self, folder: Path, record: Path, replicas: Sequence[PlatformReplica]
    ) -> None:
        """Begin a record."""
        super().__init__(folder, replicas)
        self._deploy = tomllib.loads((_ROOT / 'deploy/system.toml').read_text())
        self._record = record
        self._began_s = time.monotonic()
        record.write_text('', encoding='utf-8')

    def note(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        passed_s = time.monotonic() - self._began_s
        with self._record.open('a', encoding='utf-8') as lines:
            lines.write(f'{passed_s:7.3f} {text}\n')

    def start(self, host: str, *, bootstrap: bool = False) -> None:
        """Start a program with the command of its role."""
        name = 'control' if host in CONTROLS else 'entry'
        role = self._deploy['roles'][name]
        self.folder.mkdir(parents=True, exist_ok=True)
        settings = self.folder / f'{host}.toml'
        template = (_ROOT / role['template']).read_text()
        settings.write_text(render(template, self._fields(host, bootstrap)))
        # The words after `python3`; the platform puts the file in its place.
        words = [
            f'{_SETTINGS}{settings}' if word.startswith(_SETTINGS) else word
            for word in role['run'].split()[1:]
        ]
        process = ChildProcess(host, words, self.folder)
        self.processes[host] = process
        process.start()
        self.note(f'started {name} {host}')


Scenario = Callable[[ReviewSystem, bool], Awaitable[bool]]


def main(scenario: Scenario, replicas: Sequence[PlatformReplica]) -> None:
    """Play a scenario, which tells whether the rule held, and exit."""
    # The programs are ended also where the script is.
    signal.signal(signal.SIGTERM, _end)
    record = Path(sys.argv[0]).resolve().with_name('record.txt')
    sys.exit(asyncio.run(_play(scenario, record, replicas)))


async def _play(
    scenario: Scenario, record: Path, replicas: Sequence[PlatformReplica]
) -> int:
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        system = ReviewSystem(Path(folder) / 'system', record, replicas)
        try:
            async with asyncio.timeout(_LIMIT_S), system:
                holds = await scenario(system, is_troubled)
        except (BenchError, OSError, TimeoutError) as error:
            system.note(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            # Also where the start itself failed.
            for process in system.processes.values():
                process.kill()
    system.note('the rule held' if holds else 'the rule was broken')
    return HELD if holds else BROKEN


def _end(*_) -> None:
    sys.exit(NOT_RUN)
