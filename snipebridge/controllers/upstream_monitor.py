"""Watches the upstreams: load reports, cache events and the host list."""

import asyncio
import itertools
from dataclasses import dataclass
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
from snipebridge.upstreams.engine import Engine
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.hosts import HostDirectory

_POLL_INTERVAL_S = 0.5
# Cache events are late anyway, so they are asked for less often.
_POLLS_PER_CACHE_READ = 4
_STOP_WAIT_S = 1.0
_EVENT_KINDS = frozenset(kind.value for kind in CacheEventKind)


class PoolLoads(Protocol):
    """Takes the load of each upstream of a pool."""

    def record_load(
        self, pool: str, upstream: str, waiting: int, slots: int
    ) -> None:
        """Take one report."""


@dataclass(slots=True)
class OwnSign:
    """A state that an upstream newly reported of itself."""

    upstream: str
    state: UpstreamState


class UpstreamMonitor:
    """Keeps the replica book fed, one polling task for each upstream."""

    __slots__ = (
        '_book',
        '_clock',
        '_directory',
        '_engine',
        '_host_interval_s',
        '_limits',
        '_own_states',
        '_signs',
        '_tasks',
    )

    def __init__(
        self,
        book: ReplicaSelector,
        engine: Engine,
        directory: HostDirectory | None,
        clock: Clock,
        host_interval_s: float,
        limits: PoolLoads,
    ) -> None:
        """Start with nothing watched."""
        self._book = book
        self._engine = engine
        self._directory = directory
        self._clock = clock
        self._host_interval_s = host_interval_s
        self._limits = limits
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._own_states: dict[str, UpstreamState] = {}
        self._signs: list[OwnSign] = []

    def set_view(self, view: ConfigurationView) -> None:
        """Watch the upstreams of a configuration, and no others."""
        self._book.set_replicas(
            [make_replica_view(upstream) for upstream in _all(view)],
            self._clock.monotonic_s(),
        )
        wanted = {f'{one.name} {one.url}': one for one in _all(view)}
        for key in self._tasks.keys() - wanted.keys():
            self._tasks.pop(key).cancel()
        for key, upstream in wanted.items():
            if key not in self._tasks:
                self._tasks[key] = asyncio.create_task(self._poll(upstream))

    async def run(self) -> None:
        """Read the host list until cancelled."""
        while True:
            if self._directory is not None:
                await self._read_hosts(self._directory)
            await asyncio.sleep(self._host_interval_s)

    async def close(self) -> None:
        """Stop watching."""
        for task in self._tasks.values():
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks.values(), timeout=_STOP_WAIT_S)
        self._tasks.clear()

    def pop_state_changes(self) -> list[OwnSign]:
        """Return what upstreams newly said of themselves."""
        signs = self._signs
        self._signs = []
        return signs

    def record_signal(self, sign: HealthSignal) -> None:
        """Take a sign that control passes on."""
        self._book.health.record_signal(sign, self._clock.monotonic_s())

    async def _read_hosts(self, directory: HostDirectory) -> None:
        try:
            hosts = await directory.read()
        except UpstreamError as error:
            log_event('host_list_missing', error=error.code)
            return
        states = {
            name: _read_state(state) for name, state in hosts.states.items()
        }
        known = {name: state for name, state in states.items() if state}
        self._book.health.record_host_list(hosts.sequence, known)

    async def _poll(self, upstream: UpstreamView) -> None:
        last_sequence = 0
        for count in itertools.count():
            reads_cache = count % _POLLS_PER_CACHE_READ == 0
            try:
                await self._poll_load(upstream)
                if reads_cache and upstream.kind == 'engine':
                    last_sequence = await self._poll_cache(
                        upstream, last_sequence
                    )
            except UpstreamError as error:
                # Health is judged by requests; a missing report only ages.
                log_event(
                    'report_missing', upstream=upstream.name, error=error.code
                )
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll_load(self, upstream: UpstreamView) -> None:
        load = await self._engine.load(upstream.url)
        now_s = self._clock.monotonic_s()
        report = LoadReport(load.running, load.waiting, load.slots, load.age_s)
        self._book.record_report(upstream.name, report, now_s)
        self._limits.record_load(
            upstream.pool, upstream.name, load.waiting, load.slots
        )
        state = _read_state(load.state)
        if state is not None:
            self._book.health.record_own_state(
                upstream.name, state, now_s - load.age_s
            )
            self._note_sign(upstream.name, state)

    def _note_sign(self, name: str, state: UpstreamState) -> None:
        """Keep what changed, for the entries that do not watch it."""
        before = self._own_states.get(name, UpstreamState.LIVE)
        self._own_states[name] = state
        if state is not before:
            self._signs.append(OwnSign(name, state))

    async def _poll_cache(
        self, upstream: UpstreamView, last_sequence: int
    ) -> int:
        page = await self._engine.cache_events(upstream.url, last_sequence)
        events = [
            CacheEvent(event.sequence, CacheEventKind(event.kind), event.prefix)
            for event in page.events
        ]
        self._book.prefixes.record_events(
            upstream.name,
            events,
            page.last_sequence,
            self._clock.monotonic_s(),
        )
        return page.last_sequence


def make_replica_view(upstream: UpstreamView) -> ReplicaView:
    """Return an upstream as the replica book wants it."""
    return ReplicaView(
        name=upstream.name,
        data_centre=upstream.data_centre,
        pool=upstream.pool,
        versions=frozenset(upstream.versions),
        slots=upstream.slots,
        state=UpstreamState(upstream.state),
    )


def _read_state(text: str) -> UpstreamState | None:
    """Return the state, None for one that is not known."""
    try:
        return UpstreamState(text)
    except ValueError:
        return None


def _all(view: ConfigurationView) -> list[UpstreamView]:
    return list(view.upstreams.values())
