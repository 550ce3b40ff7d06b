"""Which replica runs a request, from lagged reports and own dispatches.

The load: prompts of very different length that share parts, many entries
that read the same late reports, and replicas that fail now and then. The
cost of a replica is the time to the first token as far as it is known: the
prompts that wait there, the part of this prompt that is not cached there, and
what running requests slow down. Prompts that share a part are drawn to the
same few replicas by a hash that all entries compute alike, so each part is
read and kept in few places although no entry asks another.

Beside these, only a few replicas that chance draws are weighed. Entries read
the same reports, some tenths of a second old: if each of many took the
cheapest of all, they would all take the same one until the next report.

>>> near = ReplicaLoad('r1', running=2)
>>> busy = ReplicaLoad('r2', running=9)
>>> choose([near, busy], PromptShape(), PrefillSpeed(), random.Random(1)).replica
'r1'
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

# Milliseconds by which one request that runs beside delays the first token.
RUNNING_MS = 4.0
# Reading a part again takes engine time from all others that run there, so a
# token that is not cached counts for more than the wait of its own caller.
READ_WEIGHT = 2.0
# What a failure costs the caller: another attempt elsewhere.
FAILURE_MS = 600.0
# A hop to another data centre and back, and its price in bytes.
FAR_MS = 6.0
# A replica right after its start works slower for some seconds.
WARMING_MS = 60.0
# The share of a prompt's shared parts that is likely cached at the first and
# the second replica that its hash names, before this entry has seen it there.
_LIKELY_CACHED = (0.85, 0.4)
# Replicas that are weighed beside those of the hash. On the model of engines
# (docs/design/engine-model.md) 83 entries before 30 replicas do best with two
# to four, and few entries before few replicas do as well with any number.
DRAWN_REPLICAS = 3
# Differences below this are noise; among such replicas chance decides, so
# that entries which read the same reports do not all choose the same one.
_EQUAL_MS = 5.0


@dataclass(slots=True)
class ReplicaLoad:
    """What this entry knows of one replica when it chooses."""

    replica: str
    # Requests that run or wait there: reported, and sent since by this entry.
    running: float = 0.0
    slots: int = 0
    # Prompt work ahead, in milliseconds.
    backlog_ms: float = 0.0
    # Tokens of this prompt that this entry knows to be cached there.
    cached_tokens: int = 0
    failure_share: float = 0.0
    is_remote: bool = False
    is_warming: bool = False


@dataclass(slots=True, frozen=True)
class PromptShape:
    """The size of a prompt, and the part that it shares with others."""

    tokens: int = 0
    shared_tokens: int = 0
    # Identity of the longest shared beginning, empty where there is none.
    shared_key: str = ''


@dataclass(slots=True, frozen=True)
class PrefillSpeed:
    """How fast a model reads prompts, as this entry has learned it."""

    ms_per_token: float = 0.02


@dataclass(slots=True, frozen=True)
class Placement:
    """The chosen replica and its cost."""

    replica: str
    cost_ms: float
    uncached_tokens: int


def choose(
    loads: Sequence[ReplicaLoad],
    shape: PromptShape,
    pace: PrefillSpeed,
    rng: random.Random,
) -> Placement | None:
    """Return the cheapest of some replicas, by chance among equal ones."""
    if not loads:
        return None
    ranks = _ranks(loads, shape.shared_key)
    weighed = _draw(loads, ranks, rng)
    placements = [_cost(load, shape, pace, ranks) for load in weighed]
    least_ms = min(one.cost_ms for one in placements)
    equal = [one for one in placements if one.cost_ms <= least_ms + _EQUAL_MS]
    return rng.choice(equal)


def _draw(
    loads: Sequence[ReplicaLoad], ranks: Mapping[str, int], rng: random.Random
) -> list[ReplicaLoad]:
    """Return the replicas that the hash names, and a few by chance."""
    named = [load for load in loads if load.replica in ranks]
    others = [load for load in loads if load.replica not in ranks]
    count = min(DRAWN_REPLICAS, len(others))
    return named + rng.sample(others, count)


def _ranks(loads: Sequence[ReplicaLoad], key: str) -> dict[str, int]:
    """Return the replicas that the hash of a shared part names, by rank."""
    if not key:
        return {}
    ordered = sorted(
        loads,
        key=lambda load: xxhash.xxh3_64_intdigest(
            f'{key}/{load.replica}'.encode()
        ),
    )
    named = ordered[: len(_LIKELY_CACHED)]
    return {load.replica: rank for rank, load in enumerate(named)}


def _cost(
    load: ReplicaLoad,
    shape: PromptShape,
    pace: PrefillSpeed,
    ranks: dict[str, int],
) -> Placement:
    cached = float(load.cached_tokens)
    rank = ranks.get(load.replica)
    if rank is not None:
        cached = max(cached, _LIKELY_CACHED[rank] * shape.shared_tokens)
    uncached = max(0, shape.tokens - int(cached))
    cost_ms = (
        READ_WEIGHT * uncached * pace.ms_per_token
        + load.backlog_ms
        + _running_ms(load)
        + load.failure_share * FAILURE_MS
    )
    if load.is_remote:
        cost_ms += FAR_MS
    if load.is_warming:
        cost_ms += WARMING_MS
    return Placement(load.replica, cost_ms, uncached)


def _running_ms(load: ReplicaLoad) -> float:
    cost_ms = load.running * RUNNING_MS
    if load.slots and load.running >= load.slots:
        # It waits for one of the running ones to end.
        cost_ms += (load.running - load.slots + 1) * RUNNING_MS * 10
    return cost_ms
