"""Bytes that read like an answer, at the place of the next one."""

import asyncio
from weakref import WeakSet

import pytest

from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry

# Promises that a request has not run, and a failure that promises nothing.
STATUSES = (408, 421, 429, 500, 503)


class StrayReplica(PlatformReplica):
    """Sends a stray answer before each fourth of its own."""

    def __init__(self, name, stray, *, is_first=False):
        """Send the bytes also where they are the first of a connection."""
        super().__init__(name, 'desk', '127.0.0.1')
        self._stray = stray
        self._is_first = is_first
        self._used = WeakSet()
        self.strays = 0

    async def _run(self, run, writer):
        is_used = writer in self._used
        self._used.add(writer)
        if self._is_first or (is_used and not len(self.runs) % 4):
            self.strays += 1
            writer.write(self._stray)
            await writer.drain()
        return await super()._run(run, writer)


def stray_answer(status, *, is_refusal):
    """Return an answer that names no request."""
    refusal = 'X-Not-Executed: 1\r\n' if is_refusal else ''
    head = f'HTTP/1.1 {status} X\r\n{refusal}Content-Length: 0\r\n\r\n'
    return head.encode()


async def book(entry, number):
    """Send a request that may run once, and return its status."""
    headers = {'X-Attempt-Id': f'a{number}'}
    return (await entry.request('/book/x', 'POST', b'b', headers)).status


@pytest.mark.parametrize('is_refusal', [False, True])
@pytest.mark.parametrize('status', STATUSES)
def test_stray_answer_on_an_open_connection_says_nothing(status, is_refusal):
    """Guards against "not run" for a request that runs, and a second run."""

    async def session():
        stray = stray_answer(status, is_refusal=is_refusal)
        replicas = [StrayReplica(f'd{number}', stray) for number in range(2)]
        answered = {}
        async with RunningEntry(*replicas) as entry:
            for number in range(40):
                answered[f'a{number}'] = await book(entry, number)
        assert all(one.strays for one in replicas)
        ran = [run.attempt_id for one in replicas for run in one.ran()]
        assert len(ran) == len(set(ran))
        assert set(answered.values()) == {200, 502}
        assert {answered[attempt_id] for attempt_id in ran} == {200, 502}

    asyncio.run(asyncio.wait_for(session(), 20))


def test_stray_answer_as_the_first_one_is_no_promise():
    """Guards against a 503 that the replica never gave."""

    async def session():
        stray = stray_answer(503, is_refusal=False)
        replica = StrayReplica('d0', stray, is_first=True)
        async with RunningEntry(replica) as entry:
            assert await book(entry, 0) == 502

    asyncio.run(asyncio.wait_for(session(), 20))
