"""What upstreams say of themselves reaches the choice of replicas."""

import asyncio
import random

import orjson

from snipebridge.controllers.view import make_view
from snipebridge.controllers.upstream_monitor import UpstreamMonitor
from snipebridge.policy.replica_selection import (
    NoReplica,
    ReplicaRequest,
    make_replica_selector,
)
from snipebridge.upstreams.engine import EngineCacheEvents, EngineLoad
from snipebridge.upstreams.errors import ConnectError
from snipebridge.upstreams.hosts import HostList
from tests.clocks import ManualClock

_CONFIGURATION = {
    'versions': {'small@1': {}},
    'upstreams': {
        'engine-1': {'url': 'http://127.0.0.1:1', 'versions': ['small@1']},
    },
}


class _Engine:
    """Reports a state that a test sets; None stands for no answer."""

    def __init__(self) -> None:
        self.state = 'live'

    async def load(self, url: str) -> EngineLoad:
        if self.state is None:
            raise ConnectError('refused')
        return EngineLoad(0, 0, 8, 0.1, self.state)

    async def cache_events(self, url: str, after: int) -> EngineCacheEvents:
        return EngineCacheEvents()


class _Hosts:
    def __init__(self) -> None:
        self.list = HostList(1, {'engine-1': 'live'})

    async def read(self) -> HostList:
        return self.list


class _Loads:
    def record_load(self, pool, upstream, waiting, slots) -> None:
        """Take no notice."""


async def _watched(engine, hosts):
    clock = ManualClock()
    book = make_replica_selector('dc-a', entry='entry-1')
    watch = UpstreamMonitor(book, engine, hosts, clock, 0.001, _Loads())
    running = asyncio.create_task(watch.run())
    watch.set_view(make_view(1, orjson.dumps(_CONFIGURATION)))
    await asyncio.sleep(0.02)
    running.cancel()
    await watch.close()
    request = ReplicaRequest('small@1')
    return book.choose(request, clock.now_s, random.Random(1))


def _choose(engine, hosts):
    return asyncio.run(_watched(engine, hosts))


def test_live_upstream_is_chosen():
    """A state that is not known says nothing."""
    for state in ('live', 'warming'):
        engine = _Engine()
        engine.state = state
        assert _choose(engine, _Hosts()).name == 'engine-1'


def test_own_leaving_sign_goes_before_the_list():
    """The list lags; what the upstream says itself is newer."""
    engine = _Engine()
    engine.state = 'leaving'
    assert isinstance(_choose(engine, _Hosts()), NoReplica)


def test_listed_as_leaving_is_enough():
    """An upstream that does not report is left by the list."""
    engine = _Engine()
    engine.state = None
    hosts = _Hosts()
    hosts.list = HostList(2, {'engine-1': 'leaving'})
    assert isinstance(_choose(engine, hosts), NoReplica)
