"""A routed entry before replicas that ask for a pause, or that are leaving."""

import asyncio

import pytest

from fakes.platform_caller import CHAT_HEADERS
from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry

# Requests that may reach a replica while it wants none, and how long after its
# answer others may still be on their way.
TOLERATED = 2
ON_THE_WAY_S = 0.5
INTERVAL_S = 0.02


def run(scenario):
    """Run a scenario within twenty seconds."""
    asyncio.run(asyncio.wait_for(scenario, 20))


def desks(count=3, service='desk'):
    """Return replicas of a service, the desk unless named."""
    return [
        PlatformReplica(f'd{number}', service, '127.0.0.1')
        for number in range(count)
    ]


async def press(entry, path, count, method='GET'):
    """Send requests one after the other, each without waiting."""
    tasks = []
    for number in range(count):
        headers = {'X-Attempt-Id': f'a{number}'}
        if path.startswith('/chat/'):
            headers |= CHAT_HEADERS
        request = entry.request(path, method, headers=headers)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


def most_during_back_off(replica, back_off_s):
    """Return the most requests that reached it while it wanted none."""
    refused = [
        one.arrived_s for one in replica.runs if one.outcome == 'refused'
    ]
    return max(
        (
            sum(
                asked_s + ON_THE_WAY_S < one.arrived_s < asked_s + back_off_s
                for one in replica.runs
            )
            for asked_s in refused
        ),
        default=0,
    )


@pytest.mark.parametrize(
    ('path', 'method', 'service'),
    [
        ('/look/x', 'GET', 'desk'),
        ('/book/x', 'POST', 'desk'),
        ('/chat/x', 'POST', 'models'),
    ],
)
@pytest.mark.parametrize('asking', [1, 3])
def test_replica_that_asks_for_a_pause_is_not_pressed(
    path, method, service, asking
):
    """Repeats would pile up at a replica that wants none."""

    async def scenario():
        replicas = desks(service=service)
        for one in replicas[:asking]:
            one.faults.back_off_s = '1.5'
            one.faults.back_off_share = 0.3
        async with RunningEntry(*replicas) as entry:
            answers = await press(entry, path, 150, method)
        for one in replicas[:asking]:
            assert one.runs
            assert most_during_back_off(one, 1.5) <= TOLERATED
        if asking < len(replicas):
            served = [one for one in answers if one.status == 200]
            assert len(served) >= 0.95 * len(answers)

    run(scenario())


def test_request_is_refused_at_once_while_all_replicas_pause():
    """The caller is told when the first of them takes requests again."""

    async def scenario():
        replicas = desks(2)
        for one in replicas:
            one.faults.back_off_s = '2.5'
        async with RunningEntry(*replicas) as entry:
            await entry.request('/look/x')
            before = sum(len(one.runs) for one in replicas)
            began_s = asyncio.get_running_loop().time()
            refused = await entry.request('/look/y')
            assert asyncio.get_running_loop().time() - began_s < 0.2
            assert refused.status == 503
            assert 1.5 < float(refused.headers['retry-after']) <= 2.5
            assert sum(len(one.runs) for one in replicas) == before

    run(scenario())


@pytest.mark.parametrize(
    'text', ['', 'soon', '-3', 'nan', '0', 'Wed, 21 Oct 2026 07:28:00 GMT']
)
def test_pause_that_can_not_be_read_leaves_the_replica_in_use(text):
    """It is full for this request only."""

    async def scenario():
        replica = desks(1)[0]
        async with RunningEntry(replica) as entry:
            replica.faults.back_off_s = text
            replica.faults.is_full = True
            assert (await entry.request('/look/x')).status == 503
            replica.faults.back_off_s = ''
            replica.faults.is_full = False
            assert (await entry.request('/look/x')).status == 200

    run(scenario())


def test_longest_of_several_pauses_counts():
    """Answers to requests sent at once may name shorter ones later."""

    async def scenario():
        replica = desks(1)[0]
        async with RunningEntry(replica) as entry:
            replica.faults.back_off_s = '1.2'
            first = asyncio.create_task(entry.request('/look/x'))
            second = asyncio.create_task(entry.request('/look/y'))
            await first
            replica.faults.back_off_s = '0.1'
            await second
            await asyncio.sleep(0.3)
            replica.faults.back_off_s = ''
            assert (await entry.request('/look/z')).status == 503
            await asyncio.sleep(1.0)
            assert (await entry.request('/look/z')).status == 200

    run(scenario())


def test_leaving_replica_gets_nothing_new_whatever_the_list_says():
    """The list that shows it as leaving comes seconds later."""

    async def scenario():
        replicas = desks(2)
        async with RunningEntry(*replicas) as entry:
            replicas[0].faults.is_leaving = True
            await press(entry, '/look/x', 30)
            before = len(replicas[0].runs)
            assert before
            await entry.replace_list()
            answers = await press(entry, '/look/x', 30)
            assert {one.status for one in answers} == {200}
            assert len(replicas[0].runs) == before

    run(scenario())


def test_replica_that_starts_again_after_leaving_is_used():
    """It may have the name and the address that it had."""

    async def scenario():
        replicas = desks(2)
        async with RunningEntry(*replicas) as entry:
            leaving = replicas[0]
            leaving.faults.is_leaving = True
            await press(entry, '/look/x', 20)
            entry.replicas = replicas[1:]
            await entry.replace_list()
            leaving.faults.is_leaving = False
            before = len(leaving.runs)
            entry.replicas = replicas
            await entry.replace_list()
            await press(entry, '/look/x', 20)
            assert len(leaving.runs) > before

    run(scenario())
