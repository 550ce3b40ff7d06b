"""Replicas that send bytes without end neither fill memory nor hold callers."""

import asyncio
from pathlib import Path

import pytest

from fakes.endless_replica import FORMS, EndlessReplica
from tests.relay.running_entry import RunningEntry

CALLERS = 50
# An entry has 200 MB, of which it uses some 30 at rest. In this process the
# stand-in and the callers use memory as well.
MEMORY_LIMIT_BYTES = 150_000_000
_PAGE_BYTES = 4096
STREAM_FORMS = ('event', 'first_event')


def resident_bytes() -> int:
    """Return the memory of this process."""
    return int(Path('/proc/self/statm').read_text().split()[1]) * _PAGE_BYTES


async def watch_memory(peaks) -> None:
    """Note the memory until cancelled."""
    while True:
        peaks.append(resident_bytes())
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('form', FORMS)
def test_endless_bytes_are_bounded(form):
    """Each caller gets an answer in time, and each connection is closed."""
    is_stream = form in STREAM_FORMS
    replica = EndlessReplica(form, 'models' if is_stream else 'desk')

    async def scenario():
        async with RunningEntry(replica) as entry:
            peaks = []
            watching = asyncio.create_task(watch_memory(peaks))
            before = resident_bytes()
            async with asyncio.timeout(12):
                answers = await asyncio.gather(
                    *(
                        entry.chat() if is_stream else entry.request('/look/x')
                        for _ in range(CALLERS)
                    )
                )
            watching.cancel()
            assert max(peaks) - before < MEMORY_LIMIT_BYTES
            if form == 'beyond_length':
                # The answer itself was whole; what follows belongs to nobody.
                assert {answer.body for answer in answers} == {b'x'}
            elif form == 'event':
                assert not any(answer.is_whole for answer in answers)
            else:
                assert {answer.status for answer in answers} <= {502, 503, 504}
            await entry.wait_until(lambda: not replica.open_connections)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_single_bytes_do_not_keep_a_stream():
    """A stalled stream that sends a byte now and then is resumed elsewhere."""

    class Dripping(EndlessReplica):
        async def _serve(self, reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._once)
            for _ in range(200):
                writer.write(b'1\r\nx\r\n')
                await asyncio.sleep(0.05)

    replicas = [Dripping('event', 'models') for _ in range(2)]
    replicas[1].name = 'other'

    async def scenario():
        async with RunningEntry(*replicas) as entry:
            answer = await entry.chat()
            assert b'id: 1' in answer.body
            resumed = entry.process._metrics.attempts.get(
                {'service': 'models', 'outcome': 'upstream_silent'}
            )
            assert resumed >= 1

    asyncio.run(asyncio.wait_for(scenario(), 30))
