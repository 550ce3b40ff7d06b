"""Reuse of connections to replicas that violate HTTP or close early."""

import asyncio
import contextlib
import socket
import struct
import threading
import time

import pytest

from snipebridge.upstreams.connections import ConnectionPool
from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Script:
    """A server that sends the given bytes for each request in turn."""

    def __init__(self, *responses: bytes | None) -> None:
        """Keep the responses; None closes the connection."""
        self.responses = list(responses)
        self.connections = 0
        self.address = ''

    async def serve(self, reader, writer) -> None:
        """Respond to the requests of one connection."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while self.responses:
                await reader.readuntil(b'\r\n\r\n')
                response = self.responses.pop(0)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        writer.close()


def run(script, scenario):
    """Run a scenario with a scripted server and an empty pool."""

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


async def fetch(pool, script):
    """Return the body of a request and whether the connection was reused."""
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


def test_connection_is_reused():
    """A second request reuses the connection."""
    script = Script(RESPONSE, RESPONSE)

    async def scenario(pool):
        assert await fetch(pool, script) == (b'ok', False)
        assert await fetch(pool, script) == (b'ok', True)
        assert script.connections == 1

    run(script, scenario)


@pytest.mark.parametrize(
    'response',
    [
        RESPONSE.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'),
        RESPONSE.replace(b'\r\n\r\n', b'\r\nKeep-Alive: timeout=1\r\n\r\n'),
        RESPONSE + b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
        RESPONSE + b'stray',
    ],
    ids=['close', 'short', 'second', 'stray'],
)
def test_connection_is_not_reused(response):
    """Close and keep-alive headers or excess bytes prevent the reuse."""
    script = Script(response, RESPONSE)

    async def scenario(pool):
        assert (await fetch(pool, script))[0] == b'ok'
        assert await fetch(pool, script) == (b'ok', False)

    run(script, scenario)


def test_bytes_on_an_idle_connection_close_it():
    """A late response is not passed to the next request."""
    script = Script(RESPONSE, RESPONSE)

    async def late(reader, writer):
        script.connections += 1
        await reader.readuntil(b'\r\n\r\n')
        writer.write(RESPONSE)
        await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError):
            writer.write(RESPONSE)
            await writer.drain()
        await asyncio.sleep(1)

    async def scenario(pool):
        assert (await fetch(pool, script))[0] == b'ok'
        await asyncio.sleep(0.15)
        assert await fetch(pool, script) == (b'ok', False)

    script.serve = late
    run(script, scenario)


@pytest.mark.parametrize(
    ('response', 'error'),
    [
        (RESPONSE[:-1], ResponseTimeoutError),
        (b'not http at all\r\n\r\n', InvalidResponseError),
        (None, InvalidResponseError),
        (b'HTTP/1.1 200 OK\r\nX: ' + b'y' * 70_000 + b'\r\n\r\n', Exception),
    ],
    ids=['half', 'garbage', 'closed', 'head'],
)
def test_invalid_responses(response, error):
    """An invalid response is an error; the next request reconnects."""
    script = Script(response, RESPONSE)

    async def scenario(pool):
        with pytest.raises(error):
            await fetch(pool, script)
        assert await fetch(pool, script) == (b'ok', False)

    run(script, scenario)


def test_close_completes_response_without_length():
    """A regular close completes a response without a length."""
    script = Script(b'HTTP/1.1 200 OK\r\n\r\nall of it')

    async def scenario(pool):
        assert (await fetch(pool, script))[0] == b'all of it'

    run(script, scenario)


def test_reset_does_not_complete_response():
    """A connection reset does not complete a response without a length."""
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
            await fetch(pool, script)

    script.serve = reset
    run(script, scenario)


def test_refused_connection():
    """A refused connection raises `ConnectError`."""
    script = Script()

    async def scenario(pool):
        with pytest.raises(ConnectError):
            await pool.acquire('r', '127.0.0.1:1')

    run(script, scenario)


def test_silence_of_two_seconds_ends_no_connection():
    """As on Linux the user timeout decides, whatever the probes count."""

    async def scenario(pool):
        connection = await pool.acquire('r', script.address)
        sock = connection._transport.get_extra_info('socket')
        tcp = socket.IPPROTO_TCP
        gives_up_s = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000
        first_probe_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        assert 2.0 + first_probe_s <= gives_up_s <= 4.0
        connection.abort()

    script = Script()
    run(script, scenario)


def reset_after_end(listener):
    """Send an answer without a length, end it in order, then reset."""
    accepted, _ = listener.accept()
    accepted.recv(65_536)
    accepted.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
    accepted.shutdown(socket.SHUT_WR)
    time.sleep(0.1)
    accepted.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    accepted.close()


def test_reset_that_is_read_together_with_the_end_is_not_complete():
    """Guards against a reset that goes unnoticed in a pause of the loop."""

    async def session():
        with socket.create_server(('127.0.0.1', 0)) as listener:
            replica = threading.Thread(target=reset_after_end, args=[listener])
            replica.start()
            port = listener.getsockname()[1]
            connection = await ConnectionPool().connect(f'127.0.0.1:{port}')
            connection.send(REQUEST, 'GET')
            # The loop stands still until both have arrived.
            replica.join()
        with pytest.raises(InvalidResponseError):
            await connection.wait_head(1.0)
            while await connection.read(1.0):
                assert not connection.is_complete
        connection.abort()

    asyncio.run(asyncio.wait_for(session(), 10))
