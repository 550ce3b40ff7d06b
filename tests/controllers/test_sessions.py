"""Tests that a session keeps its version when entries fail or race."""

import asyncio

import grpc
import pytest

from snipebridge.controllers.sessions import SessionDirectory
from snipebridge.rpc.channels import (
    bind_server,
    make_channel_pool,
    make_server,
)
from snipebridge.rpc.control_pb2 import EntryMember
from snipebridge.rpc.control_pb2_grpc import add_PeerServicer_to_server
from snipebridge.settings.models import ListenerSettings, PeerTlsSettings
from tests.clocks import ManualClock


class _Entries:
    """Session directories of several entries on the loopback interface."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.clock = ManualClock()
        self.directories: list[SessionDirectory] = []
        self.servers: list[grpc.aio.Server] = []
        self.pools = []
        self.members: list[EntryMember] = []

    async def __aenter__(self):
        for number in range(self.count):
            await self._start(number)
        for directory in self.directories:
            directory.set_members(self.members)
        return self

    async def __aexit__(self, *_) -> None:
        for pool in self.pools:
            await pool.close()
        for server in self.servers:
            await server.stop(0)

    async def kill(self, number: int) -> None:
        """Stop the listener of an entry without telling the others."""
        await self.servers[number].stop(0)

    async def _start(self, number: int) -> None:
        pool = make_channel_pool(PeerTlsSettings())
        directory = SessionDirectory(f'entry-{number}', self.clock, pool)
        server = make_server()
        add_PeerServicer_to_server(directory, server)
        address = bind_server(server, ListenerSettings(), PeerTlsSettings())
        await server.start()
        self.pools.append(pool)
        self.servers.append(server)
        self.directories.append(directory)
        self.members.append(
            EntryMember(
                name=f'entry-{number}',
                data_centre=f'dc-{number % 3}',
                address=address,
            ),
        )


def test_any_entry_finds_a_binding():
    """A session bound at one entry resolves at all others."""

    async def scenario():
        async with _Entries(5) as entries:
            first, *others = entries.directories
            assert await first.find('a', 's') == ''
            assert await first.bind('a', 's', 'small@1') == 'small@1'
            for other in others:
                assert await other.find('a', 's') == 'small@1'

    asyncio.run(scenario())


@pytest.mark.parametrize('killed', range(5))
def test_binding_survives_loss_of_any_entry(killed):
    """The killed entry may be an owner, the binding entry or neither."""

    async def scenario():
        async with _Entries(5) as entries:
            await entries.directories[0].bind('a', 's', 'small@1')
            await entries.kill(killed)
            for number, directory in enumerate(entries.directories):
                if number != killed:
                    assert await directory.find('a', 's') == 'small@1'

    asyncio.run(scenario())


def test_concurrent_bindings_converge():
    """The earliest binding wins in whatever order bindings arrive."""

    async def scenario():
        async with _Entries(3) as entries:
            one, two, three = entries.directories
            one.set_members([])
            await one.bind('a', 's', 'large@1')
            one.set_members(entries.members)
            entries.clock.now_s += 1
            await two.bind('a', 's', 'small@1')
            await one.hand_over()
            assert await three.find('a', 's') == 'large@1'
            assert await two.bind('a', 's', 'small@1') == 'large@1'

    asyncio.run(scenario())


def test_withdrawn_binding_never_wins():
    """An owner that missed a withdrawal must not restore the version."""

    async def scenario():
        async with _Entries(3) as entries:
            one, two, _ = entries.directories
            await one.bind('a', 's', 'small@1')
            two.set_withdrawn_versions(frozenset(('small@1',)))
            assert await two.find('a', 's') == ''
            entries.clock.now_s += 1
            assert await two.bind('a', 's', 'large@1') == 'large@1'

    asyncio.run(scenario())
