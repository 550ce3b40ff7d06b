"""A stream that broke off, and replicas that answer its next part otherwise."""

import asyncio

import pytest

from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry

SIGNED = b'X-Attempt-Id: ID\r\nX-Response-Signature: s\r\n'
EVENTS = b'Content-Type: text/event-stream\r\n'
TEXT = b'id: 3\ndata: error\n\n'
LENGTH = b'Content-Length: %d\r\n' % len(TEXT)
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'%x\r\n%s\r\n0\r\n\r\n' % (len(TEXT), TEXT)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 500 X\r\n' + SIGNED + LENGTH + b'\r\n' + TEXT,
        b'HTTP/1.1 500 X\r\n' + SIGNED + CHUNKED + b'\r\n' + CHUNKS,
        b'HTTP/1.1 500 X\r\n' + SIGNED + b'\r\n' + TEXT,
        b'HTTP/1.1 500 X\r\n' + SIGNED + EVENTS + LENGTH + b'\r\n' + TEXT,
        b'HTTP/1.1 404 X\r\n' + SIGNED + EVENTS + CHUNKED + b'\r\n' + CHUNKS,
        b'HTTP/1.1 503 X\r\n' + SIGNED + LENGTH + b'\r\n' + TEXT,
        b'HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n' + LENGTH + b'\r\n' + TEXT,
        b'HTTP/1.1 200 X\r\n' + SIGNED + LENGTH + b'\r\n' + TEXT,
        b'HTTP/1.1 200 X\r\n' + EVENTS + CHUNKED + b'\r\n' + CHUNKS,
        b'HTTP/1.1 200 X\r\n' + SIGNED + EVENTS + LENGTH + b'\r\nid: 3\nda',
        b'HTTP/1.1 204 X\r\n' + SIGNED + b'\r\n',
        TEXT,
    ],
)
def test_error_after_a_broken_stream_is_neither_in_it_nor_its_end(answer):
    """Callers found the error, or even its head, in their stream."""

    async def scenario():
        replicas = [
            PlatformReplica(f'm{number}', 'models', '127.0.0.1')
            for number in range(3)
        ]
        for one in replicas:
            one.faults.breaks_after_events = 2
            one.faults.answers_resumed = answer
        async with RunningEntry(*replicas) as entry:
            got = await entry.chat()
        assert got.status == 200
        assert not got.is_whole
        assert b'error' not in got.body
        assert b'HTTP' not in got.body
        assert got.body.count(b'data: a1') == 2

    asyncio.run(asyncio.wait_for(scenario(), 10))
