"""A response whose head is cut off is never taken for a whole one."""

import asyncio

import pytest

from snipebridge.upstreams.connections import ReplicaConnection
from snipebridge.upstreams.errors import InvalidResponseError

INTERIM = ('', 'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 103 Hints\r\n\r\n')
FRAMINGS = ('', 'Content-Length: 12\r\n', 'Transfer-Encoding: chunked\r\n')
HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n{}X-Last: 1\r\n\r\n'


class Transport:
    """Takes what is written; a parser needs no network."""

    def write(self, content):
        """Drop it."""

    def is_closing(self):
        """It stays open."""
        return False

    def abort(self):
        """There is nothing to close."""


def receive(content, *, is_tunnelled, is_reset, earlier=b''):
    """Return a connection that got a part of a response, and then its end."""
    connection = ReplicaConnection('a:1', is_tunnelled=is_tunnelled)
    connection._transport = Transport()
    if earlier:
        connection.send(b'', 'GET')
        connection.data_received(earlier)
        assert connection.is_reusable()
    connection.send(b'', 'GET')
    connection.data_received(content)
    if is_reset:
        connection.connection_lost(ConnectionResetError())
    else:
        connection.eof_received()
        connection.connection_lost(None)
    return connection


def parts(content, shortest=1):
    """Return each part of bytes that lacks some of their end."""
    return [content[:length] for length in range(shortest, len(content))]


@pytest.mark.parametrize('is_tunnelled', [False, True])
@pytest.mark.parametrize('interim', INTERIM)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('is_reused', [False, True])
def test_head_cut_at_any_byte_is_an_error(
    is_tunnelled, interim, framing, is_reused
):
    """Guards against a 200 with an empty body for a replica that stopped."""
    head = (interim + HEAD.format(framing)).encode()
    earlier = b''
    if is_reused:
        earlier = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'

    async def scenario():
        for cut in parts(head):
            for is_reset in (False, True):
                connection = receive(
                    cut,
                    is_tunnelled=is_tunnelled,
                    is_reset=is_reset,
                    earlier=earlier,
                )
                assert not connection.is_complete, cut
                assert not connection.is_reusable()
                with pytest.raises(InvalidResponseError):
                    await connection.wait_head(1.0)

    asyncio.run(scenario())


@pytest.mark.parametrize('is_reset', [False, True])
def test_trailers_cut_at_any_byte_are_an_error(is_reset):
    """Guards against a body that looks whole before its last line."""
    content = (
        HEAD.format('Transfer-Encoding: chunked\r\n')
        + '3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n'
    ).encode()
    body_at = content.index(b'\r\n\r\n') + 4

    async def scenario():
        for cut in parts(content, body_at):
            connection = receive(cut, is_tunnelled=False, is_reset=is_reset)
            assert not connection.is_complete, cut
            with pytest.raises(InvalidResponseError):
                # What came of the body, and then the error.
                assert await connection.read(1.0) in b'abc'
                await connection.read(1.0)

    asyncio.run(scenario())
