"""Congestion of a pool, from what all entries have under way there.

The workload: long prompts for the strongest model, sent by many entries that
each send little. A prompt that is read pauses the streams of its replica, so
the pool is congested once the queued prefill work comes near the pause that
its streams may make, long before first tokens come late. An entry learns of
the work of all entries with each heartbeat and adds its own at once, so it
needs no samples of its own.

>>> calm = [PoolMember(backlog_ms=40.0, running=3, slots=48)] * 8
>>> crowded = [PoolMember(backlog_ms=1500.0, running=30, slots=48)] * 8
>>> pool_price(calm, pause_objective_s=1.0)
0.0
>>> pool_price(crowded, pause_objective_s=1.0) > 1.0
True
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Share of the pause objective that the mean queued prefill work may take before
# engine time has a price. A pool that keeps up with long prompts has a good part
# of it queued at any time.
TARGET_SHARE = 0.75
# Price for each further pause objective of queued work. At two of them it
# exceeds the weight of every request, so that only drafts run.
_PRICE_PER_OBJECTIVE = 3.0
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class PoolMember:
    """What is under way at one replica."""

    backlog_ms: float = 0.0
    running: float = 0.0
    slots: int = 0


@dataclass(slots=True, frozen=True)
class PoolLoad:
    """Means over the replicas of a pool."""

    backlog_ms: float = 0.0
    # Running requests by slots.
    used_share: float = 0.0


def mean_load(members: Sequence[PoolMember]) -> PoolLoad:
    """Return the means, zero for a pool without replicas.

    >>> mean_load([PoolMember(100.0, 6, 12), PoolMember(300.0, 0, 12)])
    PoolLoad(backlog_ms=200.0, used_share=0.25)
    """
    if not members:
        return PoolLoad()
    slots = sum(member.slots for member in members)
    running = sum(member.running for member in members)
    return PoolLoad(
        sum(member.backlog_ms for member in members) / len(members),
        running / slots if slots else 0.0,
    )


def pool_price(
    members: Sequence[PoolMember], pause_objective_s: float
) -> float:
    """Return the price of engine time, 0 while the streams are not slowed."""
    if pause_objective_s <= 0:
        return 0.0
    load = mean_load(members)
    share = load.backlog_ms / (pause_objective_s * _MS_PER_S)
    return _PRICE_PER_OBJECTIVE * max(0.0, share - TARGET_SHARE)
