"""Adaptive limits on the concurrent requests of an entry to each pool.

A limit starts at the entry's share of the pool's slots and adapts to the
queues of the upstreams. Requests wait in admission, so that the entry decides
their order and not the queue of an upstream.
"""

import asyncio
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.view import ConfigurationView
from snipebridge.policy.concurrency import (
    ConcurrencyLimit,
    make_concurrency_limit,
)

# Factor above the number of slots, so that upstreams can always fill a batch.
POOL_HEADROOM = 1.25

_UPDATE_INTERVAL_S = 0.1


class PoolGate(Protocol):
    """Applies the limits and counts running requests."""

    def set_limits(self, limits: dict[str, int]) -> None:
        """Set the concurrency limit of each pool."""

    def running(self, pool: str) -> int:
        """Return how many admitted requests of a pool are running."""


class _Pool:
    """Slots and waiting requests by upstream, and the limit of a pool."""

    __slots__ = ('limit', 'loads', 'slots')

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.slots: dict[str, int] = {}
        self.loads: dict[str, int] = {}
        self.limit = limit


class PoolLimits:
    """Maintains the concurrency limits of all pools at one entry."""

    __slots__ = ('_clock', '_entry_count', '_gate', '_name', '_pools')

    def __init__(self, name: str, gate: PoolGate, clock: Clock) -> None:
        """Start with a single entry and without pools."""
        self._name = name
        self._gate = gate
        self._clock = clock
        self._entry_count = 1
        self._pools: dict[str, _Pool] = {}

    def set_view(self, view: ConfigurationView) -> None:
        """Apply the pools of a configuration."""
        slots: dict[str, dict[str, int]] = {}
        for upstream in view.upstreams.values():
            members = slots.setdefault(upstream.pool, {})
            members[upstream.name] = upstream.slots
        for removed in self._pools.keys() - slots.keys():
            self._pools.pop(removed)
        for name, members in slots.items():
            self._set_pool(name, members)
        self._apply()

    def set_entry_count(self, count: int) -> None:
        """Reset the limits to the share of one among that many entries."""
        if count == self._entry_count:
            return
        self._entry_count = count
        for pool in self._pools.values():
            pool.limit = self._make_limit(pool.slots)
        self._apply()

    def record_load(
        self, pool: str, upstream: str, waiting: int, slots: int
    ) -> None:
        """Record the load that an upstream reported."""
        state = self._pools.get(pool)
        if state is None or upstream not in state.slots:
            return
        state.loads[upstream] = waiting
        state.slots[upstream] = slots
        state.limit.record_load(
            sum(state.loads.values()),
            sum(state.slots.values()),
            self._clock.monotonic_s(),
        )

    async def run(self) -> None:
        """Update the limits periodically until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    def update(self) -> None:
        """Adapt the limits to the reported load."""
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
        return make_concurrency_limit(slots / self._entry_count, self._name)

    def _apply(self) -> None:
        self._gate.set_limits(
            {name: pool.limit.limit for name, pool in self._pools.items()},
        )


def make_pool_limits(name: str, gate: PoolGate, clock: Clock) -> PoolLimits:
    """Return limits without pools."""
    return PoolLimits(name, gate, clock)
