"""Connections to replicas through another entry."""

import asyncio

import pytest

from snipebridge.upstreams import tunnels
from snipebridge.upstreams.connections import ReplicaConnection
from snipebridge.upstreams.errors import (
    ConnectError,
    HelperError,
    InvalidResponseError,
)
from snipebridge.upstreams.tunnels import TunnelServer, open_tunnel

REQUEST = b'GET / HTTP/1.1\r\n\r\n'


class Target:
    """What a helper knows, as a test sets it."""

    def __init__(self):
        """Know no replica; everybody is a peer."""
        self.addresses = {}
        self.knows_peer = True
        self.reaches = True

    def is_peer(self, host):
        """Tell what the test said."""
        return self.knows_peer

    def address_of(self, replica):
        """Return the address that the test set."""
        return self.addresses.get(replica, '')

    async def reaches_replicas(self):
        """Tell what the test said."""
        return self.reaches


def run(scenario, answer=b''):
    """Run a scenario with a helper and a replica that sends one answer."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def session():
        target = Target()
        replica = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = replica.sockets[0].getsockname()[1]
        target.addresses['r1'] = f'127.0.0.1:{port}'
        helper = TunnelServer(target)
        await helper.start('127.0.0.1', 0)
        try:
            async with asyncio.timeout(5):
                await scenario(target, helper)
        finally:
            helper.close()
            replica.close()

    asyncio.run(session())


def connect(helper, replica='r1'):
    """Ask a helper for a connection to a replica."""
    return open_tunnel(
        f'127.0.0.1:{helper.port}',
        replica,
        lambda: ReplicaConnection(replica, is_tunnelled=True),
        0.5,
    )


def test_whole_answer_passes_a_tunnel():
    """The connection is used like a direct one."""

    async def scenario(_, helper):
        connection = await connect(helper)
        connection.send(REQUEST, 'GET')
        assert await connection.wait_head(1.0) == 200
        assert await connection.read(1.0) == b'abc'
        connection.abort()
        while helper.open_tunnels:
            await asyncio.sleep(0.01)

    run(scenario, b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc')


@pytest.mark.parametrize('replica', ['r1', '実', 'a:b', 'a b', 'é%41', 'a/b'])
def test_tunnel_leads_to_a_replica_with_any_id(replica):
    """Guards against ids that the helper reads as others."""

    async def scenario(target, helper):
        target.addresses[replica] = target.addresses.pop('r1')
        connection = await connect(helper, replica)
        connection.send(REQUEST, 'GET')
        assert await connection.wait_head(1.0) == 200
        connection.abort()

    run(scenario, b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')


def test_end_of_a_tunnel_does_not_complete_an_unframed_answer():
    """The helper may have been ended in the middle of it."""

    async def scenario(_, helper):
        connection = await connect(helper)
        connection.send(REQUEST, 'GET')
        await connection.wait_head(1.0)
        with pytest.raises(InvalidResponseError):
            await connection.read(1.0)
            await connection.read(1.0)

    run(scenario, b'HTTP/1.1 200 OK\r\n\r\nabc')


def test_only_entries_reach_only_listed_replicas():
    """Whoever else connects learns nothing."""

    async def scenario(target, helper):
        with pytest.raises(ConnectError):
            await connect(helper, 'unlisted')
        target.knows_peer = False
        with pytest.raises(HelperError, match='403'):
            await connect(helper)

    run(scenario)


def test_helper_that_is_cut_off_itself_does_not_call_a_replica_gone():
    """Its own ways fail, so it can't tell."""

    async def scenario(target, helper):
        target.addresses['r1'] = '127.0.0.1:1'
        with pytest.raises(ConnectError) as error:
            await connect(helper)
        assert not isinstance(error.value, HelperError)
        target.reaches = False
        with pytest.raises(HelperError, match='503'):
            await connect(helper)

    run(scenario)


def test_helper_refuses_more_tunnels_than_it_has_room_for(monkeypatch):
    """The entry asks another one."""
    monkeypatch.setattr(tunnels, 'MAX_TUNNELS', 2)

    async def scenario(_, helper):
        held = [await connect(helper) for _ in range(2)]
        with pytest.raises(HelperError, match='503'):
            await connect(helper)
        held.pop().abort()
        await asyncio.sleep(0.05)
        held.append(await connect(helper))
        for connection in held:
            connection.abort()

    run(scenario)


@pytest.mark.parametrize(
    'head',
    [
        b'',
        b'\x00\xff' * 20,
        b'GET / HTTP/1.1\r\n\r\n',
        b'CONNECT ' + b'a' * 2000,
    ],
)
def test_bytes_that_ask_for_no_tunnel_end_the_connection(head):
    """A helper holds nothing for them."""

    async def scenario(_, helper):
        reader, writer = await asyncio.open_connection('127.0.0.1', helper.port)
        writer.write(head)
        try:
            assert not await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()

    run(scenario)
