"""Control processes whose disks are full for some seconds."""

import asyncio
import errno
import itertools
import os

import orjson
import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPError

from fakes.platform_caller import DOCUMENT
from snipebridge.consensus import files
from snipebridge.control.serving import serve
from tests.control.test_cluster import NAMES, ControlCluster
from tests.running_control import KEY

FULL_S = 1.0
ATTEMPT_S = 1.0
# Within the bound on acknowledgements of the smallest deployment.
ACKNOWLEDGED_S = 4.0


class FullDisks:
    """Refuses writes to some folders, as a full disk does."""

    def __init__(self, monkeypatch):
        """Stand before the writes of all data folders."""
        self.full = set()
        self.refused = 0
        self._write = os.write
        monkeypatch.setattr(files.os, 'write', self._try_write)

    def _try_write(self, handle, content):
        path = os.readlink(f'/proc/self/fd/{handle}')
        if any(path.startswith(f'{folder}/') for folder in self.full):
            self.refused += 1
            raise OSError(errno.ENOSPC, 'No space left on device')
        return self._write(handle, content)


class Operator:
    """Puts one version after the other, at any process, until it is taken."""

    def __init__(self, cluster):
        """Start before the first version."""
        self._ports = [one.listener.port for one in cluster.settings.values()]
        self.version = 0

    async def put(self, limit_s=ACKNOWLEDGED_S):
        """Put the next version; raises `TimeoutError`."""
        self.version += 1
        body = orjson.dumps({**DOCUMENT, 'version': self.version})
        ports = itertools.cycle(self._ports)
        async with asyncio.timeout(limit_s):
            while not await self._try_put(next(ports), body):
                await asyncio.sleep(0.02)

    async def _try_put(self, port, body):
        try:
            await AsyncHTTPClient().fetch(
                f'http://127.0.0.1:{port}/admin/v1/routing',
                method='PUT',
                body=body,
                headers={'Authorization': f'Bearer {KEY}'},
                request_timeout=ATTEMPT_S,
            )
        except (HTTPError, OSError):
            return False
        return True


@pytest.fixture
def disks(monkeypatch):
    """Disks that a test can fill."""
    return FullDisks(monkeypatch)


def play(folder, scenario):
    """Run a scenario beside three served processes, none of which may end."""

    async def session():
        cluster = ControlCluster(folder)
        stop = asyncio.Event()
        serving = [
            asyncio.create_task(serve(settings, stop))
            for settings in cluster.settings.values()
        ]
        try:
            async with asyncio.timeout(60):
                operator = Operator(cluster)
                await operator.put(limit_s=20)
                await scenario(operator, folder)
                assert not any(task.done() for task in serving)
        finally:
            stop.set()
            ended = await asyncio.gather(*serving, return_exceptions=True)
        assert ended == [None for _ in NAMES]

    asyncio.run(session())


def test_changes_are_taken_while_disks_are_full_one_after_another(
    tmp_path, disks
):
    """Guards against processes that end, or stay of no use with room again.

    The bound on acknowledgements holds all the while: two of three disks have
    room.
    """

    async def scenario(operator, folder):
        for _ in range(2):
            for name in NAMES:
                disks.full = {folder / name}
                loop = asyncio.get_running_loop()
                until_s = loop.time() + FULL_S
                while loop.time() < until_s:
                    await operator.put()
        disks.full = set()
        for _ in range(5):
            await operator.put()
        assert disks.refused

    play(tmp_path, scenario)


def test_a_majority_of_full_disks_holds_changes_up_only_meanwhile(
    tmp_path, disks
):
    """Guards against changes that are refused for good after full disks."""

    async def scenario(operator, folder):
        disks.full = {folder / name for name in NAMES[1:]}
        with pytest.raises(TimeoutError):
            while True:
                await operator.put(limit_s=1.5)
        disks.full = set()
        operator.version -= 1
        await operator.put()

    play(tmp_path, scenario)


def test_disks_that_are_full_at_the_start_only_delay_it(tmp_path, disks):
    """Guards against a process that has to be started again for each try."""

    async def session():
        disks.full = {tmp_path / name for name in NAMES}
        cluster = ControlCluster(tmp_path)
        stop = asyncio.Event()
        serving = [
            asyncio.create_task(serve(settings, stop))
            for settings in cluster.settings.values()
        ]
        try:
            await asyncio.sleep(FULL_S)
            assert not any(task.done() for task in serving)
            disks.full = set()
            await Operator(cluster).put(limit_s=20)
        finally:
            stop.set()
            ended = await asyncio.gather(*serving, return_exceptions=True)
        assert ended == [None for _ in NAMES]

    asyncio.run(session())


def test_a_stop_ends_a_process_that_waits_for_its_disk(tmp_path, disks):
    """Guards against a process that has to be killed."""

    async def session():
        disks.full = {tmp_path / NAMES[0]}
        cluster = ControlCluster(tmp_path)
        stop = asyncio.Event()
        serving = asyncio.create_task(serve(cluster.settings[NAMES[0]], stop))
        await asyncio.sleep(FULL_S)
        stop.set()
        async with asyncio.timeout(1):
            await serving

    asyncio.run(session())
