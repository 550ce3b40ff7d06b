"""Places requests on replicas by cost, from delayed reports and dispatches.

The workload: prompts of very different lengths that share parts, many
entries that read the same delayed reports, and replicas that fail at times.
The cost of a replica approximates the time to first token: the prefill work
queued there, the part of this prompt that is not cached there, and the
slowdown by running requests. Prompts with a shared part are directed to the
same few replicas by rendezvous hashing, which all entries compute alike, so
each part is computed and cached on few replicas without coordination.

Besides these, only a few random replicas are considered. Entries read the
same reports, which are some tenths of a second old: if every entry took the
cheapest of all replicas, all would take the same one until the next report.

A prompt that is read also pauses the streams that run at its replica. Where the
operators ask for it, the sum of these pauses counts by a weight in the choice, so
that long prompts go where few streams run, and short prompts and streams are held
up less, without replicas set aside for either.

>>> low = ReplicaLoad('r1', running=2)
>>> high = ReplicaLoad('r2', running=9)
>>> choose([low, high], PromptShape(), PrefillSpeed(), random.Random(1)).replica
'r1'
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

# Delay of the first token by each request that runs on the same replica.
DELAY_PER_RUNNING_MS = 4.0
# Prefill takes engine time from all other requests on the replica, so an
# uncached token costs more than the wait of its own caller.
PREFILL_WEIGHT = 2.0
# Cost of a failure to the caller: another attempt on a different replica.
FAILURE_PENALTY_MS = 600.0
# Round trip to another data centre, including the cost of its traffic.
REMOTE_PENALTY_MS = 6.0
# The same where near replicas are preferred: about what a prompt of middle size
# takes to read, so that load still outweighs distance.
_PREFERRED_REMOTE_PENALTY_MS = 30.0
# A replica is slower for some seconds after its start.
WARMUP_PENALTY_MS = 60.0
# Expected cached share of a prompt's shared parts on the first and second
# replica of its hash order, before this entry has seen them cached there.
_EXPECTED_CACHED_SHARES = (0.85, 0.4)
# Random replicas considered besides those of the hash order. In the engine
# model (docs/design/engine-model.md), 83 entries with 30 replicas do best with
# two to four; few entries with few replicas do as well with any number.
RANDOM_CANDIDATES = 3
# How many of these are near ones where near replicas are preferred.
_NEAR_CANDIDATES = 2
# Cost differences below this are noise; such ties are broken at random, so
# that entries with the same reports do not all choose the same replica.
_TIE_MARGIN_MS = 5.0


@dataclass(slots=True)
class ReplicaLoad:
    """Load of one replica as known to this entry."""

    replica: str
    # Running and waiting requests: reported, and dispatched since then.
    running: float = 0.0
    slots: int = 0
    # Queued prefill work.
    backlog_ms: float = 0.0
    # Tokens of this prompt known to be cached on the replica.
    cached_tokens: int = 0
    failure_share: float = 0.0
    is_remote: bool = False
    is_warming: bool = False
    # How long work takes there, relative to the usual.
    pace: float = 1.0


@dataclass(slots=True, frozen=True)
class PromptShape:
    """Size of a prompt and of the part it shares with other prompts."""

    tokens: int = 0
    shared_tokens: int = 0
    # Identity of the longest shared prefix, empty if there is none.
    shared_key: str = ''


@dataclass(slots=True, frozen=True)
class PrefillSpeed:
    """Prefill time of a model as estimated by this entry."""

    ms_per_token: float = 0.02


@dataclass(slots=True, frozen=True)
class PlacementWeights:
    """What operators let count beside the wait of the request itself."""

    # Cost of a millisecond by which the prompt pauses one stream that runs at
    # a replica, relative to one of its own wait.
    pause: float = 0.0
    # Near replicas are preferred where at least so many are; 0: nowhere.
    near_replicas: int = 0

    def prefers_near(self, loads: Sequence[ReplicaLoad]) -> bool:
        """Tell whether enough replicas are in the same data centre.

        Each data centre then keeps its own copy of a shared part, for which
        the caches of a few replicas have no room.
        """
        near = sum(not load.is_remote for load in loads)
        return 0 < self.near_replicas <= near


_NO_WEIGHTS = PlacementWeights()


@dataclass(slots=True, frozen=True)
class Placement:
    """The chosen replica and its cost."""

    replica: str
    cost_ms: float
    uncached_tokens: int
    # By how much the prompt pauses the streams that run there, summed up.
    caused_pause_ms: float = 0.0


def choose(
    loads: Sequence[ReplicaLoad],
    shape: PromptShape,
    speed: PrefillSpeed,
    rng: random.Random,
    weights: PlacementWeights = _NO_WEIGHTS,
) -> Placement | None:
    """Return the cheapest candidate; ties are broken at random.

    The cost that is returned leaves out the pauses of others and the preference
    for near replicas, as they are no part of the caller's own wait.
    """
    if not loads:
        return None
    prefers_near = weights.prefers_near(loads)
    ranks = _hash_ranks(loads, shape.shared_key)
    if prefers_near:
        ranks = _near_ranks(loads, ranks, shape.shared_key)
    near_count = _NEAR_CANDIDATES if prefers_near else 0
    candidates = _candidates(loads, ranks, rng, near_count)
    placements = [_evaluate(load, shape, speed, ranks) for load in candidates]
    costs_ms = [
        placement.cost_ms + weights.pause * placement.caused_pause_ms
        for placement in placements
    ]
    if prefers_near:
        extra_ms = _PREFERRED_REMOTE_PENALTY_MS - REMOTE_PENALTY_MS
        costs_ms = [
            cost_ms + extra_ms * load.is_remote
            for load, cost_ms in zip(candidates, costs_ms, strict=True)
        ]
    least_ms = min(costs_ms)
    ties = [
        placement
        for placement, cost_ms in zip(placements, costs_ms, strict=True)
        if cost_ms <= least_ms + _TIE_MARGIN_MS
    ]
    return rng.choice(ties)


def _candidates(
    loads: Sequence[ReplicaLoad],
    ranks: Mapping[str, int],
    rng: random.Random,
    near_count: int = 0,
) -> list[ReplicaLoad]:
    """Return the replicas of the hash order and a few random ones.

    At least `near_count` of these are near, where there are so many.
    """
    chosen = [load for load in loads if load.replica in ranks]
    others = [load for load in loads if load.replica not in ranks]
    if near_count:
        near = [load for load in others if not load.is_remote]
        drawn = rng.sample(near, min(near_count, len(near)))
        chosen += drawn
        others = [load for load in others if load not in drawn]
    count = min(RANDOM_CANDIDATES - near_count, len(others))
    return chosen + rng.sample(others, count)


def _near_ranks(
    loads: Sequence[ReplicaLoad], ranks: Mapping[str, int], key: str
) -> dict[str, int]:
    """Return the first replica in the hash order, and the first near one.

    The first one has the part cached for all; the near one for its data centre.
    """
    first = [name for name, rank in ranks.items() if not rank]
    near = [load for load in loads if not load.is_remote]
    nearest = [
        name for name, rank in _hash_ranks(near, key).items() if not rank
    ]
    names = dict.fromkeys(first + nearest)
    return {name: place for place, name in enumerate(names)}


def _hash_ranks(loads: Sequence[ReplicaLoad], key: str) -> dict[str, int]:
    """Return the first replicas in the hash order of a key, by rank."""
    if not key:
        return {}
    ordered = sorted(
        loads,
        key=lambda load: xxhash.xxh3_64_intdigest(
            f'{key}/{load.replica}'.encode()
        ),
    )
    named = ordered[: len(_EXPECTED_CACHED_SHARES)]
    return {load.replica: rank for rank, load in enumerate(named)}


def _evaluate(
    load: ReplicaLoad,
    shape: PromptShape,
    speed: PrefillSpeed,
    ranks: dict[str, int],
) -> Placement:
    cached = float(load.cached_tokens)
    rank = ranks.get(load.replica)
    if rank is not None:
        cached = max(
            cached, _EXPECTED_CACHED_SHARES[rank] * shape.shared_tokens
        )
    uncached = max(0, shape.tokens - int(cached))
    work_ms = (
        PREFILL_WEIGHT * uncached * speed.ms_per_token
        + load.backlog_ms
        + _batch_delay_ms(load)
    )
    cost_ms = load.pace * work_ms + load.failure_share * FAILURE_PENALTY_MS
    if load.is_remote:
        cost_ms += REMOTE_PENALTY_MS
    if load.is_warming:
        cost_ms += WARMUP_PENALTY_MS
    pause_ms = load.pace * uncached * speed.ms_per_token
    return Placement(load.replica, cost_ms, uncached, load.running * pause_ms)


def _batch_delay_ms(load: ReplicaLoad) -> float:
    cost_ms = load.running * DELAY_PER_RUNNING_MS
    if load.slots and load.running >= load.slots:
        # All slots are taken: the request waits for a running one to end.
        cost_ms += (load.running - load.slots + 1) * DELAY_PER_RUNNING_MS * 10
    return cost_ms
