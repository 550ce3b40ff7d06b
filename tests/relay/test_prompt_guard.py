"""A routed entry and prompt parts that crash replicas."""

import asyncio

from fakes.platform_caller import CHAT_HEADERS
from fakes.platform_replica import PlatformReplica
from snipebridge.rpc.control_pb2 import QuarantinedPart
from tests.relay.running_entry import RunningEntry


def run(scenario):
    """Run a scenario within ten seconds."""
    asyncio.run(asyncio.wait_for(scenario, 10))


def replicas(count=2):
    """Return replicas of models."""
    return [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1', events=40)
        for number in range(count)
    ]


async def chat(entry, prompt, attempt='a1'):
    """Request a stream with a prompt."""
    headers = {
        **CHAT_HEADERS,
        'X-Prefix-Hash': prompt,
        'X-Attempt-Id': attempt,
    }
    return await entry.request('/chat/x', 'POST', b'p', headers)


async def quarantine(entry, *parts):
    """Let control name the parts, and wait until the entry has them."""
    entry.control.reply.ClearField('quarantined_parts')
    entry.control.reply.quarantined_parts.extend(
        QuarantinedPart(service='models', part=part, valid_s=60.0)
        for part in parts
    )
    seen = len(entry.control.requests)
    await entry.wait_until(lambda: len(entry.control.requests) > seen + 2)


def test_quarantined_part_reaches_no_replica_and_others_do():
    """It is refused as not run; only shared parts of a prompt count."""

    async def scenario():
        async with RunningEntry(*replicas()) as entry:
            await quarantine(entry, 'bad1')
            refused = await chat(entry, '5c:800,bad1:100,91:10')
            assert refused.status == 503
            assert 50 < float(refused.headers['retry-after']) <= 60
            assert not any(one.runs for one in entry.replicas)
            assert (await chat(entry, '5c:800,bad1:10')).status == 200
            assert (await chat(entry, '5c:800,91:10')).status == 200
            await quarantine(entry)
            assert (await chat(entry, '5c:800,bad1:9,1:1')).status == 200

    run(scenario())


def test_dropped_draft_is_reported_when_its_replica_crashes():
    """The run looks answered, and another request finds the replica gone."""

    async def scenario():
        fragile, sound = replicas()
        for one in (fragile, sound):
            one.faults.confidence['small'] = 10
        fragile.faults.crashes_on = 'bad1'
        fragile.faults.restart_s = 9.0
        async with RunningEntry(fragile, sound) as entry:
            while not suspected(entry):
                await chat(entry, '5c:800,bad1:100,91:10')
            assert {one.replica for one in suspected(entry)} == {'m0'}
            assert 'bad1' in suspected(entry)[0].parts

    run(scenario())


def test_broken_answer_of_a_replica_that_listens_is_no_crash():
    """Whatever it sends, its prompts are not suspected."""

    async def scenario():
        async with RunningEntry(*replicas()) as entry:
            for one in entry.replicas:
                one.faults.breaks_after_events = 2
            await chat(entry, '5c:800,91:10')
            await asyncio.sleep(0.3)
            assert not suspected(entry)

    run(scenario())


def test_request_under_which_two_replicas_ended_is_not_sent_to_a_third():
    """The entry knows enough by its own attempts."""

    async def scenario():
        fragile = replicas(4)
        for one in fragile:
            one.faults.crashes_on_target = '/chat/x'
            one.faults.restart_s = 9.0
        async with RunningEntry(*fragile) as entry:
            answer = await chat(entry, '5c:800,91:10')
            assert not answer.is_whole
            assert sum(len(one.runs) for one in fragile) == 2

    run(scenario())


def test_entry_without_a_leader_holds_a_request_by_its_own_crashes():
    """The same rule, over what this entry has seen itself."""

    async def scenario():
        fragile = replicas(8)
        for one in fragile:
            one.faults.crashes_on_target = '/chat/x'
            one.faults.restart_s = 9.0
        async with RunningEntry(*fragile) as entry:
            entry.control.is_silent = True
            await asyncio.sleep(1.2)
            for number in range(2):
                await chat(entry, '5c:800,91:10', f'a{number}')
            await asyncio.sleep(1.5)
            arrived = sum(len(one.runs) for one in fragile)
            refused = await chat(entry, '5c:800,91:10')
            assert refused.status == 503
            assert sum(len(one.runs) for one in fragile) == arrived
            other = await entry.request(
                '/chat/y', 'POST', b'p', {**CHAT_HEADERS}
            )
            assert other.status == 200

    run(scenario())


def suspected(entry):
    """Return the runs that the entry reported last."""
    return list(entry.control.requests[-1].suspected_runs)
