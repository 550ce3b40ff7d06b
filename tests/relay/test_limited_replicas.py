"""A routed entry before replicas that name a rate limit."""

import asyncio

from fakes.platform_replica import PlatformReplica
from snipebridge.rpc.control_pb2 import ReplicaRateLimit
from tests.relay.running_entry import RunningEntry


def run(scenario):
    """Run a scenario within ten seconds."""
    asyncio.run(asyncio.wait_for(scenario, 10))


def replicas(count=2):
    """Return replicas of models, the first of which names a limit."""
    found = [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1')
        for number in range(count)
    ]
    found[0].faults.rate_limit = '0.5'
    return found


async def chat_until_limited(entry):
    """Request streams until the first replica has named its limit."""
    while not entry.replicas[0].runs:
        assert (await entry.chat()).status == 200


async def grant(entry):
    """Let control grant a request in each of some replies."""
    entry.control.reply.rate_limits.append(
        ReplicaRateLimit(
            replica='m0', named=True, per_s=0.5, age_s=9, granted=1
        )
    )
    seen = len(entry.control.requests)
    await entry.wait_until(lambda: len(entry.control.requests) > seen + 1)
    entry.control.reply.ClearField('rate_limits')


def test_limited_replica_gets_only_what_the_leader_grants():
    """The other replica takes the rest, and nobody is refused."""

    async def scenario():
        async with RunningEntry(*replicas()) as entry:
            await chat_until_limited(entry)
            limited = entry.replicas[0]
            for _ in range(20):
                assert (await entry.chat()).status == 200
            assert len(limited.runs) == 1
            reported = entry.control.requests[-1].rate_limits
            assert [one.replica for one in reported] == ['m0']
            await grant(entry)
            assert (await entry.chat()).status == 200
            assert len(limited.runs) >= 2

    run(scenario())


def test_request_is_refused_at_once_where_all_replicas_are_limited():
    """It has not run, and the caller is told when to come back."""

    async def scenario():
        async with RunningEntry(*replicas(1)) as entry:
            await chat_until_limited(entry)
            refused = await entry.chat()
            assert refused.status == 503
            assert float(refused.headers['retry-after']) > 0
            assert len(entry.replicas[0].runs) == 1

    run(scenario())


def test_limit_ends_with_an_answer_that_names_none():
    """The answer of a request that the leader granted tells it."""

    async def scenario():
        async with RunningEntry(*replicas(1)) as entry:
            await chat_until_limited(entry)
            entry.replicas[0].faults.rate_limit = ''
            await grant(entry)
            statuses = [(await entry.chat()).status for _ in range(4)]
            assert statuses[-1] == 200
            assert len(entry.replicas[0].runs) >= 3

    run(scenario())
