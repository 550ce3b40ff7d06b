"""A routed entry before a replica that writes an earlier refusal again."""

import asyncio

import pytest

from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry


def run(scenario):
    """Run a scenario within ten seconds."""
    asyncio.run(asyncio.wait_for(scenario, 10))


async def send(entry, number, path, method):
    """Send a request with an id of its own, and return its status."""
    headers = {'X-Attempt-Id': f'a{number}'}
    return (await entry.request(path, method, headers=headers)).status


@pytest.mark.parametrize('without_id', [False, True])
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
def test_refusal_of_an_earlier_request_does_not_stand_for_a_later_one(
    without_id, delay_s
):
    """Callers were told "not run", or it ran at a second replica too."""

    async def scenario():
        replicas = [
            PlatformReplica(f'd{number}', 'desk', '127.0.0.1')
            for number in range(2)
        ]
        for one in replicas:
            one.faults.repeats_refusals = True
            one.faults.refuses_without_id = without_id
            one.faults.delay_s = delay_s
        statuses = {}
        async with RunningEntry(*replicas) as entry:
            for number in range(60):
                if not number % 3:
                    replicas[number % 2].faults.refuses_next = 1
                statuses[f'a{number}'] = await send(
                    entry, number, '/book/x', 'POST'
                )
        ran = [one.attempt_id for replica in replicas for one in replica.ran()]
        assert len(ran) == len(set(ran))
        for attempt_id in ran:
            assert statuses[attempt_id] not in {408, 421, 429, 503}

    run(scenario())


def test_refusals_of_a_full_replica_are_passed_on_as_not_run():
    """Also where they don't say which request they are for."""

    async def scenario():
        replica = PlatformReplica('d0', 'desk', '127.0.0.1')
        replica.faults.is_full = True
        replica.faults.refuses_without_id = True
        async with RunningEntry(replica) as entry:
            for number in range(5):
                assert await send(entry, number, '/book/x', 'POST') == 503

    run(scenario())
