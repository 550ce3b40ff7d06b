"""Processes of the build before beside those of this one.

The build before is the commit that `production` names in deploy/system.toml,
taken from the history of this repository. Machines are replaced one after the
other, so any mixture of builds may serve for minutes.
"""

import asyncio
import io
import subprocess
import sys
import tarfile
import tomllib
from collections import Counter

import pytest

from bench.platform_system import CONTROLS, ENTRIES, ROOT, PlatformSystem
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import Command, EvacuationCommand
from snipebridge.settings.models import ControlSettings

LIMIT_S = 150
# Lets the build in the working folder read a snapshot, apply a command that it
# may not know, and write a snapshot.
READ_AND_WRITE = """
import sys
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import Command
from snipebridge.settings.models import ControlSettings
machine = make_control_state_machine(ControlSettings())
snapshot, _, command = sys.stdin.buffer.read().partition(b'COMMAND')
machine.restore(snapshot)
machine.apply(machine.applied_index + 1, Command.FromString(command))
sys.stdout.buffer.write(machine.snapshot())
"""


@pytest.fixture(scope='session')
def build_before(tmp_path_factory):
    """Return a folder with the sources of the build before."""
    deployment = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    commit = deployment['production']
    archive = subprocess.run(
        ['git', 'archive', commit, 'snipebridge', 'platform'],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        pytest.skip(f'commit {commit} is not in the history of this checkout')
    folder = tmp_path_factory.mktemp('build-before')
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as sources:
        sources.extractall(folder, filter='data')
    return folder


class Callers:
    """Keeps asking all entries, and counts what was not answered."""

    def __init__(self, system):
        """Start without a request."""
        self._system = system
        # An entry that is being replaced gets no requests.
        self.left_out = set()
        self.answered = 0
        self.failed = []

    async def run(self):
        """Ask until cancelled."""
        number = 0
        while True:
            number += 1
            for host in ENTRIES:
                if host in self.left_out:
                    continue
                await self._ask(host, f'session {number % 7}')
            await asyncio.sleep(0.05)

    async def _ask(self, host, session):
        answer = await self._system.ask('/look/x', host)
        stream = await self._system.chat(host, Session=session)
        for one in (answer, stream):
            if one.status == 200 and one.is_whole:
                self.answered += 1
            else:
                self.failed.append((host, one.status, one.body[:200]))


async def replace(system, callers, host, source):
    """Stop a process and start it with the sources of another build."""
    callers.left_out.add(host)
    await asyncio.sleep(0.3)
    system.processes[host].kill()
    system.sources[host] = source
    system.start(host)
    if host in ENTRIES:
        await system.until_ready(host)
    else:
        await system.until_control_ready(host)
    callers.left_out.discard(host)


def play(folder, first_source, scenario):
    """Run a scenario on a system that starts with one build, under load."""

    async def session():
        system = PlatformSystem(folder / 'system')
        for host in (*CONTROLS, *ENTRIES):
            system.sources[host] = first_source
        async with asyncio.timeout(LIMIT_S), system:
            callers = Callers(system)
            load = asyncio.create_task(callers.run())
            try:
                await scenario(system, callers)
                await asyncio.sleep(0.5)
            finally:
                load.cancel()
            assert not callers.failed
            assert callers.answered > 20
            for host in (*CONTROLS, *ENTRIES):
                assert system.processes[host].is_alive, host

    asyncio.run(session())


def test_upgrade_one_host_after_the_other(tmp_path, build_before):
    """All is served meanwhile, and what was acknowledged stays."""

    async def scenario(system, callers):
        order = (CONTROLS[0], ENTRIES[0], CONTROLS[1], CONTROLS[2], ENTRIES[1])
        for version, host in enumerate(order, 2):
            await replace(system, callers, host, ROOT)
            system.document['version'] = version
            await system.put(system.document)
        assert (await system.read())['version'] == len(order) + 1
        await system.evacuate('elsewhere')
        await system.evacuate('elsewhere', ends=True)

    play(tmp_path, build_before, scenario)


def test_downgrade_in_mid_way(tmp_path, build_before):
    """A command that the build before does not know ends no process of it.

    It can't obey the evacuation, so the entries keep what they were told, and
    the order is in force again under the next leader that knows it.
    """

    async def scenario(system, callers):
        await system.evacuate('elsewhere')
        for host in (CONTROLS[0], ENTRIES[1], CONTROLS[1]):
            await replace(system, callers, host, build_before)
        system.document['version'] = 2
        await system.put(system.document)
        for host in (CONTROLS[0], CONTROLS[1], ENTRIES[1]):
            await replace(system, callers, host, ROOT)
        assert (await system.read())['version'] == 2

    play(tmp_path, ROOT, scenario)


def test_accounts_have_the_same_name_at_entries_of_both_builds(
    tmp_path, build_before
):
    """Guards against an account that changes its name in an upgrade."""
    names = ('Télé', 'Straße', 'Ærø')

    async def scenario(system, callers):
        await replace(system, callers, ENTRIES[0], ROOT)
        system.document['version'] = 2
        system.document['accounts'].extend(
            {'name': name, 'keys': [f'key-{number}']}
            for number, name in enumerate(names)
        )
        await system.put(system.document)
        await asyncio.sleep(1.5)
        for one in system.replicas:
            one.runs.clear()
        for number, _ in enumerate(names):
            key = {'X-Key': f'key-{number}'}
            for host in ENTRIES:
                answer = await system.ask('/look/x', host, headers=key)
                assert answer.status == 200
        told = Counter(
            run.headers['x-tenant']
            for one in system.replicas
            for run in one.runs
            if run.headers['x-tenant'] != 'studio'
        )
        assert told == {name: len(ENTRIES) for name in names}

    play(tmp_path, build_before, scenario)


def test_snapshots_are_read_by_the_other_build(build_before):
    """Each build leaves out what it does not know, and keeps the rest."""
    machine = make_control_state_machine(ControlSettings())
    command = Command(evacuation=EvacuationCommand(data_centre='a'))
    machine.apply(1, command)
    read = subprocess.run(
        [sys.executable, '-c', READ_AND_WRITE],
        cwd=build_before,
        input=machine.snapshot() + b'COMMAND' + command.SerializeToString(),
        capture_output=True,
        check=True,
    )
    restored = make_control_state_machine(ControlSettings())
    restored.restore(read.stdout)
    assert restored.applied_index == 2
    assert not restored.evacuations.in_force
    assert machine.evacuations.in_force == ['a']
