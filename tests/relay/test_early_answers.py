"""Answers without a length whose connection ends during the upload."""

import asyncio

import pytest

from fakes.platform_caller import CHAT_HEADERS
from tests.relay.running_entry import RunningEntry
from tests.relay.scripted_replica import SIGNED, ScriptedReplica

HEAD = b'HTTP/1.1 200 OK\r\n' + SIGNED
STREAM_HEAD = HEAD + b'Content-Type: text/event-stream\r\n'
EVENT = b'id: 1\ndata: x\n\n'
# Fit into the buffers of the sockets in part, and not at all.
BODIES_BYTES = (1_000_000, 4_000_000)


def answer_early(content):
    """Return a script that answers, ends its side, then closes."""

    async def script(reader, writer):
        writer.write(content)
        writer.write_eof()
        await asyncio.sleep(0.1)

    return script


def ask(service, path, script, body, headers=None):
    """Return the answer to a request with a body."""

    async def session():
        replica = ScriptedReplica(service, script)
        async with RunningEntry(replica) as entry:
            return await entry.request(path, 'POST', body, headers)

    return asyncio.run(asyncio.wait_for(session(), 20))


@pytest.mark.parametrize('size_bytes', BODIES_BYTES)
@pytest.mark.parametrize('connection', [b'', b'Connection: close\r\n'])
@pytest.mark.parametrize('path', ['/look/x', '/book/x'])
def test_end_during_the_upload_does_not_complete_an_answer(
    path, connection, size_bytes
):
    """Guards against a part of an answer that is passed on as all of it."""
    script = answer_early(HEAD + connection + b'\r\npart')
    answer = ask('desk', path, script, b'x' * size_bytes)
    assert answer.status == 502


@pytest.mark.parametrize('size_bytes', BODIES_BYTES)
def test_end_during_the_upload_does_not_complete_a_stream(size_bytes):
    """Guards against a stream that looks whole after its first events."""
    script = answer_early(STREAM_HEAD + b'\r\n' + EVENT)
    answer = ask('models', '/chat/x', script, b'x' * size_bytes, CHAT_HEADERS)
    assert not (answer.status == 200 and answer.is_whole)


def test_end_after_the_upload_completes_an_answer():
    """Guards against an answer that is lost since it has no length."""

    async def script(reader, writer):
        left_bytes = BODIES_BYTES[0]
        while left_bytes:
            left_bytes -= len(await reader.read(65_536))
        writer.write(HEAD + b'\r\nwhole')
        writer.write_eof()
        await asyncio.sleep(0.1)

    answer = ask('desk', '/book/x', script, b'x' * BODIES_BYTES[0])
    assert (answer.status, answer.body) == (200, b'whole')
