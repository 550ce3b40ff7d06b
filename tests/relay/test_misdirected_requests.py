"""Replicas that answer 421, for a request or since they are others now."""

import asyncio
import copy

import pytest

from fakes.platform_caller import CHAT_HEADERS, DOCUMENT
from fakes.platform_replica import PlatformReplica
from snipebridge.relay import replicas as replica_rules
from tests.relay.running_entry import RunningEntry

MODELS = frozenset(('small', 'large'))


class ModelReplica(PlatformReplica):
    """Answers 421 to a request for a model that it does not have."""

    def __init__(self, name):
        """Serve the models of the configuration."""
        super().__init__(name, 'models', '127.0.0.1')
        self.misdirected = 0

    def _refuses(self, run, writer):
        if run.headers.get('x-model-id', '') in MODELS:
            return super()._refuses(run, writer)
        self.misdirected += 1
        writer.write(
            'HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n'
            f'X-Attempt-Id: {run.attempt_id}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        return True


async def ask(entry, model, path='/chat/x'):
    """Ask for a model; return the status."""
    headers = {**CHAT_HEADERS, 'X-Model-Id': model}
    return (await entry.request(path, 'POST', b'prompt', headers)).status


def play(scenario, *replicas, document=None):
    """Run a scenario on one entry."""

    async def session():
        async with RunningEntry(*replicas, document=document) as entry:
            await scenario(entry)

    asyncio.run(asyncio.wait_for(session(), 20))


def without_tiers():
    """Return the document with a route where callers name the model."""
    document = copy.deepcopy(DOCUMENT)
    document['routes'][2].pop('tiers')
    return document


def test_model_that_the_route_lacks_is_refused_here():
    """Guards against a request that each replica has to refuse."""
    replicas = [ModelReplica(f'm{number}') for number in range(3)]

    async def scenario(entry):
        assert await ask(entry, 'small-2') == 421
        assert not any(one.runs for one in replicas)
        for model in ('*', 'small', 'large'):
            assert await ask(entry, model) == 200

    play(scenario, *replicas)


@pytest.mark.parametrize('count', [1, 3])
@pytest.mark.parametrize('is_served_before', [False, True])
def test_one_caller_takes_no_replica_away_from_others(count, is_served_before):
    """Guards against a service that one wrong request ends for all."""
    replicas = [ModelReplica(f'm{number}') for number in range(count)]

    async def scenario(entry):
        if is_served_before:
            assert await ask(entry, 'small') == 200
        for _ in range(5):
            assert await ask(entry, 'small-2') == 503
            assert await ask(entry, 'small') == 200
        assert any(one.misdirected for one in replicas)

    play(scenario, *replicas, document=without_tiers())


def test_replica_that_is_another_one_now_is_left_alone(monkeypatch):
    """Guards against requests that keep going to a successor's address.

    The replica is tried again after a pause: only the list tells for good
    whether it is gone.
    """
    monkeypatch.setattr(replica_rules, 'MISDIRECTED_PAUSE_S', 0.5)
    replicas = [PlatformReplica(f'd{one}', 'desk', '127.0.0.1') for one in '12']
    first = replicas[0]

    async def refusals(entry, requests):
        first.runs.clear()
        for _ in range(requests):
            assert (await entry.request('/look/x')).status == 200
        return len(first.runs) - len(first.ran())

    async def scenario(entry):
        first.name = 'successor'
        assert await refusals(entry, 20) == 1
        await asyncio.sleep(0.6)
        assert await refusals(entry, 20) == 1
        first.name = 'd1'
        await asyncio.sleep(0.6)
        assert not await refusals(entry, 20)
        assert first.ran()

    play(scenario, *replicas)
