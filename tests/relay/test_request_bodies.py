"""The memory of request bodies, over all connections."""

import asyncio

from fakes.platform_caller import read_answer
from fakes.platform_replica import PlatformReplica
from snipebridge.relay.request_bodies import BodyBudget
from tests.relay.running_entry import RunningEntry

LIMIT_BYTES = 100


class Connection:
    """Notes whether it was ended."""

    def __init__(self, budget):
        """Open a body."""
        self.was_dropped = False
        self.body = budget.open(self._drop)

    def add(self, size):
        """Receive so many bytes."""
        self.body.add(b'x' * size, LIMIT_BYTES)

    def _drop(self):
        self.was_dropped = True


def connections(count, total_limit_bytes=100):
    """Return a budget and some connections that share it."""
    budget = BodyBudget(total_limit_bytes)
    return budget, [Connection(budget) for _ in range(count)]


def test_body_that_got_nothing_for_longest_goes_first():
    """The caller that comes next was refused instead."""
    budget, (first, second, third) = connections(3)
    first.add(40)
    second.add(40)
    first.add(1)
    third.add(30)
    dropped = [one.was_dropped for one in (first, second, third)]
    assert dropped == [False, True, False]
    assert budget.used_bytes == 71


def test_body_of_a_request_that_runs_is_not_dropped():
    """A replica may have it already."""
    budget, (running, other) = connections(2)
    running.add(80)
    assert running.body.finish() == b'x' * 80
    other.add(30)
    assert not running.was_dropped
    assert other.body.is_refused
    running.body.release()
    assert budget.used_bytes == 0


def test_body_beyond_its_limit_keeps_nothing():
    """It is read on so that its caller gets the answer."""
    budget, (body,) = connections(1, total_limit_bytes=1000)
    for _ in range(5):
        body.add(60)
    assert body.body.is_too_large
    assert budget.used_bytes == 0


def test_dropped_body_is_never_taken_for_a_whole_one():
    """Bytes that were read before the end of its connection may follow."""
    _, (stalled, other) = connections(2)
    stalled.add(60)
    other.add(60)
    stalled.add(10)
    assert stalled.body.is_refused
    assert stalled.body.finish() == b''


def test_memory_is_free_after_answers_and_after_callers_who_left():
    """Else the entry would refuse bodies for good."""
    replica = PlatformReplica('d1', 'desk', '127.0.0.1')

    async def scenario():
        async with RunningEntry(replica) as entry:
            budget = entry.process._server_dependencies.bodies
            port = entry.process.http_port
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            head = 'POST /book/x HTTP/1.1\r\nHost: a.example\r\n'
            head += 'X-Attempt-Id: a1\r\nX-Key: k1\r\nContent-Length: 5\r\n\r\n'
            writer.write(head.encode() + b'whole')
            assert (await read_answer(reader)).status == 200
            await entry.wait_until(lambda: not budget.used_bytes)
            writer.write(head.encode() + b'cut')
            await entry.wait_until(lambda: budget.used_bytes == 3)
            writer.close()
            await entry.wait_until(lambda: not budget.used_bytes)

    asyncio.run(asyncio.wait_for(scenario(), 20))
