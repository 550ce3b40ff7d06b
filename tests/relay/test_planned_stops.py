"""A planned stop of an entry: each request taken gets an answer."""

import asyncio
import itertools
from types import SimpleNamespace

import orjson
import pytest

from fakes.platform_caller import read_answer, request_bytes
from fakes.platform_replica import PlatformReplica
from snipebridge.errors import Ran
from snipebridge.relay.errors import NotRunError
from snipebridge.relay.exchange import Progress
from snipebridge.relay.stopping import PlannedStop, StopFilter, StoppedError
from tests.clocks import ManualClock
from tests.relay.running_entry import RunningEntry

# Shorter than the timeouts of the routes.
GRACE_S = 0.9
# Longer than any grace period here.
NEVER_S = 60.0


async def stop(entry):
    """Stop the entry as a signal does; return how long it took."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await entry.process.drain()
    await entry.process.close()
    return loop.time() - started_s


def play(scenario, delay_s, grace_s=GRACE_S):
    """Run a scenario on one entry before a replica that takes its time."""

    async def session():
        replica = PlatformReplica('d1', 'desk', '127.0.0.1')
        replica.faults.delay_s = delay_s
        async with RunningEntry(replica) as entry:
            entry.process._settings.promises.grace_s = grace_s
            await scenario(entry, replica)

    asyncio.run(asyncio.wait_for(session(), 30))


@pytest.mark.parametrize(
    ('path', 'method'), [('/book/x', 'POST'), ('/look/x', 'GET')]
)
def test_running_request_is_told_at_the_end_of_the_grace(path, method):
    """Guards against a connection that is closed without an answer.

    The request may have run, so the answer must not say that it has not.
    """

    async def scenario(entry, replica):
        asked = asyncio.create_task(entry.request(path, method))
        await entry.wait_until(lambda: replica.runs)
        spent_s = await stop(entry)
        answer = await asked
        assert answer.status == 502
        assert orjson.loads(answer.body)['error']['ran'] == 'unknown'
        assert answer.headers['connection'] == 'close'
        assert spent_s < GRACE_S

    play(scenario, NEVER_S)


def test_request_that_can_not_be_over_in_time_is_refused_at_once():
    """Guards against late requests that are passed on and then cut off."""

    async def scenario(entry, replica):
        for _ in range(4):
            assert (await entry.request('/look/x')).status == 200
        stopping = asyncio.create_task(stop(entry))
        await asyncio.sleep(0.4)
        seen = len(replica.runs)
        answer = await entry.request('/look/x')
        assert answer.status == 503
        assert orjson.loads(answer.body)['error']['ran'] == 'no'
        assert len(replica.runs) == seen
        assert await stopping < GRACE_S

    play(scenario, 0.6)


def test_request_that_can_be_over_in_time_is_served():
    """Guards against refusals where there is time left."""

    async def scenario(entry, replica):
        for _ in range(4):
            assert (await entry.request('/look/x')).status == 200
        stopping = asyncio.create_task(stop(entry))
        await asyncio.sleep(0.2)
        assert (await entry.request('/look/x')).status == 200
        await stopping

    play(scenario, 0.1)


def test_request_that_waits_is_refused_as_not_run():
    """Guards against passing a request on when it can't be over any more."""

    async def session():
        stop = PlannedStop()
        clock = ManualClock(100.0)
        chain = StopFilter(stop, clock)
        finished = make_exchange()
        await chain.run(finished, lambda: pass_time(clock, 1.0))
        waiting = asyncio.create_task(
            chain.run(make_exchange(), asyncio.Event().wait)
        )
        running = make_exchange()
        running.progress.ran = Ran.UNKNOWN
        begun = asyncio.create_task(chain.run(running, asyncio.Event().wait))
        await asyncio.sleep(0)
        stop.begin(clock.monotonic_s() + 1.05)
        with pytest.raises(NotRunError):
            await asyncio.wait_for(waiting, 0.5)
        assert not begun.done()
        with pytest.raises(StoppedError):
            await begun

    asyncio.run(asyncio.wait_for(session(), 10))


async def pass_time(clock, passed_s):
    """Let a request take a time."""
    clock.now_s += passed_s


def make_exchange():
    """Return a request whose deadline is far away."""
    return SimpleNamespace(
        request=SimpleNamespace(received_s=100.0),
        route=SimpleNamespace(name='r'),
        deadline_s=1000.0,
        progress=Progress(),
    )


def numbered_request(number):
    """Return the id and the bytes of a request."""
    attempt_id = f'a{number}'
    headers = {'X-Attempt-Id': attempt_id}
    return attempt_id, request_bytes('/look/x', headers=headers)


def test_kept_connection_gets_an_answer_to_each_request_of_the_grace():
    """Guards against requests on open connections that end without one.

    A request that crosses the close of its connection has none; it may meet a
    reset then, and must not be passed on.
    """

    async def scenario(entry, replica):
        stopping = asyncio.create_task(stop(entry))
        statuses = []
        unanswered = set()
        requests = map(numbered_request, itertools.count())
        while not stopping.done():
            attempt_id, content = next(requests)
            unanswered.add(attempt_id)
            reader, writer = await entry.send_bytes(content)
            while not reader.at_eof():
                try:
                    answer = await read_answer(reader)
                except (asyncio.IncompleteReadError, ConnectionError) as error:
                    assert not getattr(error, 'partial', b'')
                    break
                statuses.append(answer.status)
                unanswered.discard(attempt_id)
                attempt_id, content = next(requests)
                unanswered.add(attempt_id)
                writer.write(content)
            writer.close()
            if entry.process._caller_server._stopped:
                break
        await stopping
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 3
        assert unanswered.isdisjoint(run.attempt_id for run in replica.runs)

    play(scenario, 0.02)


def test_short_grace_is_kept():
    """Guards against a process that takes requests until it is killed."""

    async def scenario(entry, replica):
        assert await stop(entry) < GRACE_S

    play(scenario, 0.0)
