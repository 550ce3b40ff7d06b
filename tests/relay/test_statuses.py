"""Answers of replicas whose status is none, as callers see them."""

import asyncio

import pytest

from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry
from tests.relay.scripted_replica import SIGNED, ScriptedReplica

RIGHT = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'Content-Length: 5\r\n\r\nright'
LENGTHS = (b'Content-Length: 5\r\n\r\nwrong', b'\r\n')


def answer(content):
    """Return a script that sends an answer and keeps the connection."""

    async def script(reader, writer):
        writer.write(content)
        await asyncio.sleep(5)

    return script


def ask(path, method, *replicas):
    """Return the answer to a request."""

    async def session():
        async with RunningEntry(*replicas) as entry:
            async with asyncio.timeout(0.9):
                return await entry.request(path, method)

    return asyncio.run(session())


@pytest.mark.parametrize('length', LENGTHS)
@pytest.mark.parametrize('after', [b'', RIGHT])
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_answer_without_a_status_is_not_passed_on(status, after, length):
    """Guards against callers that get it, or wait for it to their deadline."""
    head = b'HTTP/1.1 ' + status + b' X\r\n' + SIGNED
    replica = ScriptedReplica('desk', answer(head + length + after))
    got = ask('/book/x', 'POST', replica)
    assert got.status == 502
    assert b'wrong' not in got.body


def test_request_that_may_run_again_is_sent_elsewhere():
    """Guards against a caller that pays for a replica in trouble."""
    head = b'HTTP/1.1 000 X\r\n' + SIGNED + LENGTHS[0]
    replica = ScriptedReplica('desk', answer(head))
    sound = PlatformReplica('d2', 'desk', '127.0.0.1')
    statuses = [ask('/look/x', 'GET', replica, sound).status for _ in range(6)]
    assert set(statuses) == {200}
