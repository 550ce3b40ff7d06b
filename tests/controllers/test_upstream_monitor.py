"""States reported by upstreams and the host list affect replica selection."""

import asyncio
import random

import orjson

from snipebridge.controllers.upstream_monitor import UpstreamMonitor
from snipebridge.controllers.view import make_view
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
    """Reports a state that a test sets; refuses connections for None."""

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


class _IgnoredLoads:
    def record_load(self, pool, upstream, waiting, slots) -> None:
        """Ignore the load."""


async def _choose_after_polling(engine, hosts):
    clock = ManualClock()
    selector = make_replica_selector('dc-a', entry='entry-1')
    monitor = UpstreamMonitor(
        selector, engine, hosts, clock, 0.001, _IgnoredLoads()
    )
    running = asyncio.create_task(monitor.run())
    monitor.set_view(make_view(1, orjson.dumps(_CONFIGURATION)))
    await asyncio.sleep(0.02)
    running.cancel()
    await monitor.close()
    request = ReplicaRequest('small@1')
    return selector.choose(request, clock.now_s, random.Random(1))


def _choose(engine, hosts):
    return asyncio.run(_choose_after_polling(engine, hosts))


def test_live_upstream_is_chosen():
    """An unknown state does not exclude the upstream."""
    for state in ('live', 'warming'):
        engine = _Engine()
        engine.state = state
        assert _choose(engine, _Hosts()).name == 'engine-1'


def test_reported_leaving_state_overrides_host_list():
    """The host list lags behind the state that the upstream reports."""
    engine = _Engine()
    engine.state = 'leaving'
    assert isinstance(_choose(engine, _Hosts()), NoReplica)


def test_listed_leaving_state_excludes_silent_upstream():
    """The host list decides when an upstream does not report."""
    engine = _Engine()
    engine.state = None
    hosts = _Hosts()
    hosts.list = HostList(2, {'engine-1': 'leaving'})
    assert isinstance(_choose(engine, hosts), NoReplica)
