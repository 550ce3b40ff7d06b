"""How many requests an entry keeps at the upstreams of each pool at once.

A limit starts at the entry's part of the pool's slots and adapts to what
queues at the upstreams. Admission does the waiting, so that the order in
which requests go on is the entry's and not that of an upstream's queue.
"""

import asyncio
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.view import ConfigurationView
from snipebridge.policy.concurrency import (
    ConcurrencyLimit,
    make_concurrency_limit,
)

# Room above the slots, so that upstreams always have work to batch.
POOL_HEADROOM = 1.25

_UPDATE_INTERVAL_S = 0.1


class PoolGate(Protocol):
    """Where the limits are applied."""

    def set_limits(self, limits: dict[str, int]) -> None:
        """Set the concurrency limit of each pool."""

    def running(self, pool: str) -> int:
        """Return the admitted requests of a pool that are not over."""


class _Pool:
    """One pool: its slots by upstream, its load and its limit."""

    __slots__ = ('limit', 'loads', 'slots')

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.slots: dict[str, int] = {}
        self.loads: dict[str, int] = {}
        self.limit = limit


class PoolLimits:
    """The limits of all pools at one entry."""

    __slots__ = ('_clock', '_entries', '_gate', '_name', '_pools')

    def __init__(self, name: str, gate: PoolGate, clock: Clock) -> None:
        """Start alone and without pools."""
        self._name = name
        self._gate = gate
        self._clock = clock
        self._entries = 1
        self._pools: dict[str, _Pool] = {}

    def set_view(self, view: ConfigurationView) -> None:
        """Take the pools of a configuration."""
        slots: dict[str, dict[str, int]] = {}
        for upstream in view.upstreams.values():
            members = slots.setdefault(upstream.pool, {})
            members[upstream.name] = upstream.slots
        for gone in self._pools.keys() - slots.keys():
            self._pools.pop(gone)
        for name, members in slots.items():
            self._set_pool(name, members)
        self._apply()

    def set_entry_count(self, count: int) -> None:
        """Start anew from the part that is due among that many entries."""
        if count == self._entries:
            return
        self._entries = count
        for pool in self._pools.values():
            pool.limit = self._make_limit(pool.slots)
        self._apply()

    def record_load(
        self, pool: str, upstream: str, waiting: int, slots: int
    ) -> None:
        """Take the load that one upstream reported."""
        known = self._pools.get(pool)
        if known is None or upstream not in known.slots:
            return
        known.loads[upstream] = waiting
        known.slots[upstream] = slots
        known.limit.record_load(
            sum(known.loads.values()),
            sum(known.slots.values()),
            self._clock.monotonic_s(),
        )

    async def run(self) -> None:
        """Adapt the limits until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    def update(self) -> None:
        """Adapt the limits to what was reported."""
        now_s = self._clock.monotonic_s()
        for name, pool in self._pools.items():
            pool.limit.update(self._gate.running(name), now_s)
        self._apply()

    def _set_pool(self, name: str, members: dict[str, int]) -> None:
        pool = self._pools.get(name)
        if pool is None or pool.slots.keys() != members.keys():
            pool = _Pool(self._make_limit(members))
            pool.slots = members
            self._pools[name] = pool

    def _make_limit(self, members: dict[str, int]) -> ConcurrencyLimit:
        slots = sum(members.values()) * POOL_HEADROOM
        return make_concurrency_limit(slots / self._entries, self._name)

    def _apply(self) -> None:
        self._gate.set_limits(
            {name: pool.limit.limit for name, pool in self._pools.items()},
        )


def make_pool_limits(name: str, gate: PoolGate, clock: Clock) -> PoolLimits:
    """Return limits without pools."""
    return PoolLimits(name, gate, clock)
