"""Kept connections to replicas that misbehave."""

import asyncio
import contextlib
import socket
import struct

import pytest

from snipebridge.upstreams.connections import ConnectionPool
from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Script:
    """A server that sends scripted bytes for each request in turn."""

    def __init__(self, *answers: bytes | None) -> None:
        """Take the answers; none closes the connection."""
        self.answers = list(answers)
        self.connections = 0
        self.address = ''

    async def serve(self, reader, writer) -> None:
        """Answer request after request."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while self.answers:
                await reader.readuntil(b'\r\n\r\n')
                answer = self.answers.pop(0)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()


def run(script, scenario):
    """Run a scenario against a scripted server and an empty pool."""

    async def session():
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        script.address = f'127.0.0.1:{port}'
        pool = ConnectionPool()
        try:
            await asyncio.wait_for(scenario(pool), 10)
        finally:
            pool.close()
            server.close()

    asyncio.run(session())


async def ask(pool, script):
    """Make one request; return its body and whether it came on a kept one."""
    connection = await pool.acquire('r', script.address)
    try:
        connection.send(REQUEST, 'GET')
        await connection.wait_head(1.0)
        body = b''
        while chunk := await connection.read(0.3):
            body += chunk
        return body, connection.is_reused
    finally:
        pool.release('r', connection)


def test_connection_is_kept():
    """A second request needs no handshake."""
    script = Script(WHOLE, WHOLE)

    async def scenario(pool):
        assert await ask(pool, script) == (b'ok', False)
        assert await ask(pool, script) == (b'ok', True)
        assert script.connections == 1

    run(script, scenario)


@pytest.mark.parametrize(
    'answer',
    [
        WHOLE.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'),
        WHOLE.replace(b'\r\n\r\n', b'\r\nKeep-Alive: timeout=1\r\n\r\n'),
        WHOLE + b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        WHOLE + b'stray',
    ],
    ids=['close', 'short', 'second', 'stray'],
)
def test_connection_is_not_kept(answer):
    """What the replica says, and what it sends too much, ends it."""
    script = Script(answer, WHOLE)

    async def scenario(pool):
        assert (await ask(pool, script))[0] == b'ok'
        assert await ask(pool, script) == (b'ok', False)

    run(script, scenario)


def test_bytes_on_an_idle_connection_end_it():
    """A late answer is nobody's."""
    script = Script(WHOLE, WHOLE)

    async def late(reader, writer):
        script.connections += 1
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WHOLE)
        await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError):
            writer.write(WHOLE)
            await writer.drain()
        await asyncio.sleep(1)

    async def scenario(pool):
        assert (await ask(pool, script))[0] == b'ok'
        await asyncio.sleep(0.15)
        assert await ask(pool, script) == (b'ok', False)

    script.serve = late
    run(script, scenario)


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        (WHOLE[:-1], ResponseTimeoutError),
        (b'not http at all\r\n\r\n', InvalidResponseError),
        (None, InvalidResponseError),
        (b'HTTP/1.1 200 OK\r\nX: ' + b'y' * 70_000 + b'\r\n\r\n', Exception),
    ],
    ids=['half', 'garbage', 'closed', 'head'],
)
def test_spoiled_answers(answer, error):
    """Each is an error of its kind, and the next request opens anew."""
    script = Script(answer, WHOLE)

    async def scenario(pool):
        with pytest.raises(error):
            await ask(pool, script)
        assert await ask(pool, script) == (b'ok', False)

    run(script, scenario)


def test_answer_without_length_ends_with_its_connection():
    """Whole where the connection ends in order."""
    script = Script(b'HTTP/1.1 200 OK\r\n\r\nall of it')

    async def scenario(pool):
        assert (await ask(pool, script))[0] == b'all of it'

    run(script, scenario)


def test_answer_without_length_that_is_reset_is_not_whole():
    """A reset on the way is told apart from an end."""
    script = Script()

    async def reset(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.transport.get_extra_info('socket')
        no_linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        writer.transport.abort()

    async def scenario(pool):
        with pytest.raises(InvalidResponseError):
            await ask(pool, script)

    script.serve = reset
    run(script, scenario)


def test_nobody_listens():
    """Nothing was sent, so the request did not run."""
    script = Script()

    async def scenario(pool):
        with pytest.raises(ConnectError):
            await pool.acquire('r', '127.0.0.1:1')

    run(script, scenario)
