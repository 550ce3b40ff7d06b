"""Clients that send bodies without end, or stop just short of their end."""

import asyncio
import copy
from pathlib import Path

import pytest

from bench.platform_system import (
    CONTROLS,
    MEMORY_MB,
    PlatformSystem,
    entry_hosts,
    fetch,
)
from fakes.platform_caller import DOCUMENT

ENTRIES = entry_hosts(1)
ANSWERED = 200
BODY_LIMIT_BYTES = 1_048_576
BYTES_PER_MB = 1_000_000
MEMORY_LIMIT_BYTES = MEMORY_MB * BYTES_PER_MB
# The memory of a host of control, and the body limit of its listener.
CONTROL_MEMORY_BYTES = 296 * BYTES_PER_MB
CONTROL_BODY_BYTES = 4_194_304
_PAGE_BYTES = 4096
_PIECE_BYTES = 65_536
_READING_S = 8.0
_HEAD = 'POST /book/x HTTP/1.1\r\nHost: a.example\r\n{}\r\n\r\n'
_CHUNKED = _HEAD.format('Transfer-Encoding: chunked').encode()


def almost_whole():
    """Return a body with a length, all but its last byte."""
    head = _HEAD.format(f'Content-Length: {BODY_LIMIT_BYTES}').encode()
    return head + b'x' * (BODY_LIMIT_BYTES - 1)


def almost_one_chunk():
    """Return a body of one chunk, all but its last byte."""
    size = f'{BODY_LIMIT_BYTES:x}\r\n'.encode()
    return _CHUNKED + size + b'x' * (BODY_LIMIT_BYTES - 1)


def beyond_the_limit():
    """Return chunks that go on far beyond the limit."""
    chunk = f'{_PIECE_BYTES:x}\r\n'.encode() + b'x' * _PIECE_BYTES + b'\r\n'
    return _CHUNKED + chunk * (3 * BODY_LIMIT_BYTES // _PIECE_BYTES)


def single_bytes():
    """Return a body in chunks of one byte, without its end."""
    return _CHUNKED + b'1\r\nx\r\n' * 131_072


CROWDS = {
    'almost_whole': (200, almost_whole),
    'almost_one_chunk': (200, almost_one_chunk),
    'beyond_the_limit': (200, beyond_the_limit),
    'single_bytes': (300, single_bytes),
}


class Crowd:
    """Connections that send the same bytes and stay open."""

    def __init__(self, address, size, content):
        """Choose how many there are and what each sends."""
        self.address = address
        self.size = size
        self.content = content
        self.open = []

    async def send(self):
        """Send until all is sent, or the other end has closed."""
        await asyncio.gather(*(self._send_one() for _ in range(self.size)))

    def close(self):
        """Leave."""
        for writer in self.open:
            writer.transport.abort()

    async def _send_one(self):
        try:
            _, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        self.open.append(writer)
        try:
            for start in range(0, len(self.content), _PIECE_BYTES):
                writer.write(self.content[start : start + _PIECE_BYTES])
                await writer.drain()
        except OSError:
            # It was refused or closed, which is allowed.
            writer.transport.abort()


def resident_bytes(pid):
    """Return the memory of a process."""
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES


async def watch_memory(pid, peaks):
    """Note the memory of a process until cancelled."""
    while True:
        peaks.append(resident_bytes(pid))
        await asyncio.sleep(0.02)


def run_beside(tmp_path, content, size):
    """Send a crowd; return the peak of memory and an ordinary answer."""
    outcome = {}

    async def scenario():
        system = PlatformSystem(tmp_path / 'system', (), ENTRIES)
        system.document = copy.deepcopy(DOCUMENT)
        system.document['limits'] = {'max_body_bytes': BODY_LIMIT_BYTES}
        async with asyncio.timeout(100), system:
            process = system.processes[ENTRIES[0]]
            peaks = []
            watching = asyncio.create_task(watch_memory(process.pid, peaks))
            crowd = Crowd((ENTRIES[0], system.callers), size, content)
            sending = asyncio.create_task(crowd.send())
            await asyncio.wait({sending}, timeout=20)
            # What has been sent may still wait to be read.
            await asyncio.sleep(_READING_S)
            answer = await system.ask('/look/x')
            crowd.close()
            watching.cancel()
            sending.cancel()
            outcome.update(
                alive=process.is_alive, peak=max(peaks), status=answer.status
            )

    asyncio.run(scenario())
    return outcome


@pytest.mark.parametrize('form', CROWDS)
def test_crowd_with_unfinished_bodies_leaves_room_for_others(tmp_path, form):
    """All of them together filled the memory of the entry."""
    size, make_content = CROWDS[form]
    outcome = run_beside(tmp_path, make_content(), size)
    assert outcome['alive']
    assert outcome['peak'] < MEMORY_LIMIT_BYTES
    assert outcome['status'] == ANSWERED


def test_unfinished_bodies_at_control_leave_room_for_operators(tmp_path):
    """Nothing limits what all of them hold together."""
    head = 'PUT /admin/v1/routing HTTP/1.1\r\nHost: a.example\r\n'
    head += f'Content-Length: {CONTROL_BODY_BYTES}\r\n\r\n'
    content = head.encode() + b'x' * (CONTROL_BODY_BYTES - 1)
    host = CONTROLS[0]

    async def scenario():
        system = PlatformSystem(tmp_path / 'system', (), ENTRIES)
        async with asyncio.timeout(100), system:
            process = system.processes[host]
            peaks = []
            watching = asyncio.create_task(watch_memory(process.pid, peaks))
            crowd = Crowd((host, system.control), 100, content)
            sending = asyncio.create_task(crowd.send())
            await asyncio.wait({sending}, timeout=20)
            await asyncio.sleep(_READING_S)
            status, _ = await fetch(f'http://{host}:{system.control}/healthz')
            crowd.close()
            watching.cancel()
            sending.cancel()
            assert process.is_alive
            assert max(peaks) < CONTROL_MEMORY_BYTES
            assert status == ANSWERED

    asyncio.run(scenario())
