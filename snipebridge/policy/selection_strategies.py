"""Strategies that pick one of the available replicas for a request.

Production uses the expected wait; the other strategies are baselines for
benchmarks.
"""

import random
from collections.abc import Sequence
from typing import Protocol

from snipebridge.policy.prefixes import PrefixCacheIndex
from snipebridge.policy.replica_loads import (
    SLOW_START_S,
    PoolLoad,
    TrackedReplica,
)
from snipebridge.policy.replica_types import (
    ReplicaDecision,
    ReplicaRequest,
    WaitEstimate,
)

MAX_ESTIMATED_ENTRIES = 64.0
ENTRIES_SMOOTHING = 0.05
REMOTE_CHOICES_RATIO = 2


class SelectionContext(Protocol):
    """What a strategy knows beyond the load of a single replica."""

    own_data_centre: str
    prefixes: PrefixCacheIndex

    def estimate_wait(
        self,
        replica: TrackedReplica,
        request: ReplicaRequest,
        outstanding: float,
        now_s: float,
    ) -> WaitEstimate:
        """Return the expected time to first token at a replica."""


class SelectionStrategy(Protocol):
    """Picks one of the replicas that may serve a request."""

    def pick(
        self,
        context: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick one of the candidates, which are never empty."""


class RoundRobinStrategy:
    """Picks the candidates in turn; a baseline that ignores load."""

    __slots__ = ('_next_index',)

    def __init__(self) -> None:
        """Start with the first candidate."""
        self._next_index = 0

    def pick(
        self,
        context: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick the next candidate."""
        replica = candidates[self._next_index % len(candidates)]
        self._next_index += 1
        name = replica.view.name
        return ReplicaDecision(name, 'turn', (), request.prompt_tokens)


class LeastReportedLoadStrategy:
    """Picks the least reported load as is; a baseline prone to herding."""

    __slots__ = ()

    def pick(
        self,
        context: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick the least loaded candidate; ties are broken at random."""
        least = min(replica.reported for replica in candidates)
        equals = [
            replica for replica in candidates if replica.reported == least
        ]
        replica = rng.choice(equals)
        name = replica.view.name
        return ReplicaDecision(name, 'least_report', (), request.prompt_tokens)


class ExpectedWaitStrategy:
    """Compares random candidates and the likely holder of the prefix.

    Candidates are sampled from the local data centre first and from remote
    ones too, which pay a penalty for the network latency.
    """

    __slots__ = ('_entries', '_random_choices')

    def __init__(self, random_choices: int) -> None:
        """Compare that many local candidates and twice as many remote."""
        self._random_choices = random_choices
        # Estimated number of entries that share each pool.
        self._entries: dict[str, float] = {}

    def pick(
        self,
        context: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick the sampled candidate with the shortest expected wait."""
        warm = [
            replica
            for replica in candidates
            if replica.live_since_s + SLOW_START_S <= now_s
            or rng.random() < replica.slow_start_share(now_s)
        ]
        sampled = self._sample_candidates(
            context, warm or candidates, request, rng
        )
        load = self._update_load(candidates, now_s)
        estimates = [
            context.estimate_wait(
                replica, request, load.expected(replica, now_s), now_s
            )
            for replica in sampled
        ]
        best = min(estimates, key=_expected_wait_s)
        return ReplicaDecision(
            best.name,
            'expected_wait',
            tuple(estimates),
            best.prefill_tokens,
        )

    def _update_load(
        self,
        candidates: Sequence[TrackedReplica],
        now_s: float,
    ) -> PoolLoad:
        """Return the mean load and update the estimated entry count."""
        slots = 0
        reported = 0
        correction = 0
        own_in_flight = 0
        for replica in candidates:
            if replica.has_report(now_s):
                slots += replica.slots
                reported += replica.reported
                correction += replica.correction
                own_in_flight += len(replica.in_flight)
        pool = candidates[0].view.pool
        entries = self._entries.get(pool, 1.0)
        if slots:
            sample = min(
                MAX_ESTIMATED_ENTRIES, reported / max(1, own_in_flight)
            )
            entries += ENTRIES_SMOOTHING * (sample - entries)
            self._entries[pool] = entries
        slots = max(1, slots)
        return PoolLoad(reported / slots, correction / slots, entries)

    def _sample_candidates(
        self,
        context: SelectionContext,
        replicas: Sequence[TrackedReplica],
        request: ReplicaRequest,
        rng: random.Random,
    ) -> list[TrackedReplica]:
        """Return local and remote candidates and the prefix holder."""
        local = []
        remote = []
        for replica in replicas:
            is_local = replica.view.data_centre == context.own_data_centre
            (local if is_local else remote).append(replica)
        # A request of the highest priority compares one more local replica.
        count = self._random_choices + int(request.priority == 0)
        sampled = _random_sample(local, count, rng)
        remote_count = REMOTE_CHOICES_RATIO * self._random_choices
        sampled.extend(_random_sample(remote, remote_count, rng))
        holder = context.prefixes.likely_holder(request.prefixes)
        if holder:
            sampled.extend(
                replica
                for replica in replicas
                if replica.view.name == holder and replica not in sampled
            )
        return sampled


def _random_sample(
    replicas: Sequence[TrackedReplica],
    count: int,
    rng: random.Random,
) -> list[TrackedReplica]:
    """Return up to `count` replicas in random order, which breaks ties.

    For such small counts this takes a third of the time of `random.sample`.
    """
    rest = list(replicas)
    return [
        rest.pop(int(rng.random() * len(rest)))
        for _ in range(min(count, len(rest)))
    ]


def _expected_wait_s(estimate: WaitEstimate) -> float:
    return estimate.expected_wait_s


def make_selection_strategy(
    kind: str, random_choices: int
) -> SelectionStrategy:
    """Return the strategy of a kind.

    Kinds are `expected_wait` and the baselines `round_robin` and
    `least_report`.
    """
    if kind == 'round_robin':
        return RoundRobinStrategy()
    if kind == 'least_report':
        return LeastReportedLoadStrategy()
    if kind == 'expected_wait':
        return ExpectedWaitStrategy(random_choices)
    raise ValueError(f'unknown replica selection strategy: {kind!r}')
