"""Polls load reports and cache events of upstreams, and the host list."""

import asyncio
import itertools
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.view import ConfigurationView, UpstreamView
from snipebridge.logs import log_event
from snipebridge.policy.health import HealthSignal, UpstreamState
from snipebridge.policy.prefixes import CacheEvent, CacheEventKind
from snipebridge.policy.replica_selection import (
    LoadReport,
    ReplicaSelector,
    ReplicaView,
)
from snipebridge.supervision import Supervisor, make_supervisor
from snipebridge.upstreams.engine import Engine
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.hosts import HostDirectory

_POLL_INTERVAL_S = 0.5
# Cache events are delayed anyway, so they are polled less often.
_LOAD_POLLS_PER_CACHE_POLL = 4
_CLOSE_TIMEOUT_S = 1.0
_EVENT_KINDS = frozenset(kind.value for kind in CacheEventKind)


class LoadListener(Protocol):
    """Receives the load of each upstream of a pool."""

    def record_load(
        self, pool: str, upstream: str, waiting: int, slots: int
    ) -> None:
        """Record a load report."""


@dataclass(slots=True)
class StateChange:
    """A change of the state that an upstream reports."""

    upstream: str
    state: UpstreamState


class UpstreamMonitor:
    """Feeds the replica selector, with one polling task per upstream."""

    __slots__ = (
        '_clock',
        '_directory',
        '_engine',
        '_host_interval_s',
        '_limits',
        '_reported_states',
        '_selector',
        '_state_changes',
        '_supervisor',
        '_tasks',
    )

    def __init__(
        self,
        selector: ReplicaSelector,
        engine: Engine,
        directory: HostDirectory | None,
        clock: Clock,
        host_interval_s: float,
        limits: LoadListener,
        supervisor: Supervisor | None = None,
    ) -> None:
        """Start without upstreams."""
        self._supervisor = supervisor or make_supervisor()
        self._selector = selector
        self._engine = engine
        self._directory = directory
        self._clock = clock
        self._host_interval_s = host_interval_s
        self._limits = limits
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reported_states: dict[str, UpstreamState] = {}
        self._state_changes: list[StateChange] = []

    def set_view(self, view: ConfigurationView) -> None:
        """Poll exactly the upstreams of a configuration."""
        self._selector.set_replicas(
            [make_replica_view(upstream) for upstream in _all_upstreams(view)],
            self._clock.monotonic_s(),
        )
        configured = {
            f'{one.name} {one.url}': one for one in _all_upstreams(view)
        }
        for key in self._tasks.keys() - configured.keys():
            self._tasks.pop(key).cancel()
        for key, upstream in configured.items():
            if key not in self._tasks:
                polling = self._supervisor.keep_running(
                    'poll_upstream', partial(self._poll, upstream), key
                )
                self._tasks[key] = asyncio.create_task(polling)

    async def run(self) -> None:
        """Read the host list periodically until cancelled."""
        while True:
            if self._directory is not None:
                await self._read_hosts(self._directory)
            await asyncio.sleep(self._host_interval_s)

    async def close(self) -> None:
        """Stop polling."""
        for task in self._tasks.values():
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks.values(), timeout=_CLOSE_TIMEOUT_S)
        self._tasks.clear()

    def pop_state_changes(self) -> list[StateChange]:
        """Return and clear the state changes that upstreams reported."""
        changes = self._state_changes
        self._state_changes = []
        return changes

    def record_signal(self, signal: HealthSignal) -> None:
        """Record a health signal relayed by control."""
        self._selector.health.record_signal(signal, self._clock.monotonic_s())

    async def _read_hosts(self, directory: HostDirectory) -> None:
        try:
            hosts = await directory.read()
        except UpstreamError as error:
            log_event('host_list_missing', error=error.code)
            return
        states = {
            name: _parse_state(state) for name, state in hosts.states.items()
        }
        recognised = {name: state for name, state in states.items() if state}
        self._selector.health.record_host_list(hosts.sequence, recognised)

    async def _poll(self, upstream: UpstreamView) -> None:
        last_sequence = 0
        for count in itertools.count():
            polls_cache = count % _LOAD_POLLS_PER_CACHE_POLL == 0
            try:
                await self._poll_load(upstream)
                if polls_cache and upstream.kind == 'engine':
                    last_sequence = await self._poll_cache(
                        upstream, last_sequence
                    )
            except UpstreamError as error:
                # Health depends on request outcomes; a missing report only
                # makes the last one older.
                log_event(
                    'report_missing', upstream=upstream.name, error=error.code
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll_load(self, upstream: UpstreamView) -> None:
        load = await self._engine.load(upstream.url)
        now_s = self._clock.monotonic_s()
        report = LoadReport(load.running, load.waiting, load.slots, load.age_s)
        self._selector.record_report(upstream.name, report, now_s)
        self._limits.record_load(
            upstream.pool, upstream.name, load.waiting, load.slots
        )
        state = _parse_state(load.state)
        if state is not None:
            self._selector.health.record_own_state(
                upstream.name, state, now_s - load.age_s
            )
            self._record_state(upstream.name, state)

    def _record_state(self, name: str, state: UpstreamState) -> None:
        """Record a state change to report to entries that do not poll it."""
        previous = self._reported_states.get(name, UpstreamState.LIVE)
        self._reported_states[name] = state
        if state is not previous:
            self._state_changes.append(StateChange(name, state))

    async def _poll_cache(
        self, upstream: UpstreamView, last_sequence: int
    ) -> int:
        page = await self._engine.cache_events(upstream.url, last_sequence)
        events = [
            CacheEvent(event.sequence, CacheEventKind(event.kind), event.prefix)
            for event in page.events
            if event.kind in _EVENT_KINDS
        ]
        self._selector.prefixes.record_events(
            upstream.name,
            events,
            page.last_sequence,
            self._clock.monotonic_s(),
        )
        return page.last_sequence


def make_replica_view(upstream: UpstreamView) -> ReplicaView:
    """Return an upstream as input for the replica selector."""
    return ReplicaView(
        name=upstream.name,
        data_centre=upstream.data_centre,
        pool=upstream.pool,
        versions=frozenset(upstream.versions),
        slots=upstream.slots,
        state=UpstreamState(upstream.state),
    )


def _parse_state(text: str) -> UpstreamState | None:
    """Return the state, or None if it is not a known one."""
    try:
        return UpstreamState(text)
    except ValueError:
        return None


def _all_upstreams(view: ConfigurationView) -> list[UpstreamView]:
    return list(view.upstreams.values())
