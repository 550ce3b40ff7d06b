"""Ways to pick one of the replicas that may take a request.

The product picks by expected wait; the others are what it is measured
against.
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

MOST_ENTRIES = 64.0
ENTRIES_SMOOTHING = 0.05
FAR_CHOICES_RATIO = 2


class SelectionContext(Protocol):
    """What an entry knows beyond the load of the single replica."""

    own_data_centre: str
    prefixes: PrefixCacheIndex

    def weigh(
        self,
        track: TrackedReplica,
        request: ReplicaRequest,
        outstanding: float,
        now_s: float,
    ) -> WaitEstimate:
        """Return the expected time to the first token at a replica."""


class SelectionStrategy(Protocol):
    """A way to pick one of the replicas that may take a request."""

    def pick(
        self,
        book: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick one of the candidates, of which there is at least one."""


class RoundRobinStrategy:
    """Take the candidates in turn; the baseline without any knowledge."""

    __slots__ = ('_turn',)

    def __init__(self) -> None:
        """Start with the first candidate."""
        self._turn = 0

    def pick(
        self,
        book: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick the next candidate."""
        track = candidates[self._turn % len(candidates)]
        self._turn += 1
        name = track.view.name
        return ReplicaDecision(name, 'turn', (), request.prompt_tokens)


class LeastReportedLoadStrategy:
    """Take the least reported load as it stands; the herding baseline."""

    __slots__ = ()

    def pick(
        self,
        book: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick the least loaded candidate, at random among equals."""
        least = min(track.reported for track in candidates)
        equals = [track for track in candidates if track.reported == least]
        track = rng.choice(equals)
        name = track.view.name
        return ReplicaDecision(name, 'least_report', (), request.prompt_tokens)


class ExpectedWaitStrategy:
    """Weigh a few random candidates and the likely holder of the prefix.

    Candidates of the own data centre are weighed first. Those of others
    are weighed too, at the cost of the longer way.
    """

    __slots__ = ('_entries', '_random_choices')

    def __init__(self, random_choices: int) -> None:
        """Weigh so many random candidates near, and twice as many far."""
        self._random_choices = random_choices
        # Entries that are estimated to share each pool.
        self._entries: dict[str, float] = {}

    def pick(
        self,
        book: SelectionContext,
        candidates: Sequence[TrackedReplica],
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision:
        """Pick the weighed candidate with the least expected wait."""
        warm = [
            track
            for track in candidates
            if track.live_since_s + SLOW_START_S <= now_s
            or rng.random() < track.warmth(now_s)
        ]
        sampled = self._sample(book, warm or candidates, request, rng)
        load = self._load(candidates, now_s)
        weighed = [
            book.weigh(track, request, load.expected(track, now_s), now_s)
            for track in sampled
        ]
        best = min(weighed, key=_expected_wait_s)
        return ReplicaDecision(
            best.name,
            'expected_wait',
            tuple(weighed),
            best.prefill_tokens,
        )

    def _load(
        self,
        candidates: Sequence[TrackedReplica],
        now_s: float,
    ) -> PoolLoad:
        """Return the mean load, and follow how many entries share it."""
        slots = 0
        reported = 0
        correction = 0
        own = 0
        for track in candidates:
            if track.has_report(now_s):
                slots += track.slots
                reported += track.reported
                correction += track.correction
                own += len(track.in_flight)
        pool = candidates[0].view.pool
        entries = self._entries.get(pool, 1.0)
        if slots:
            sample = min(MOST_ENTRIES, reported / max(1, own))
            entries += ENTRIES_SMOOTHING * (sample - entries)
            self._entries[pool] = entries
        slots = max(1, slots)
        return PoolLoad(reported / slots, correction / slots, entries)

    def _sample(
        self,
        book: SelectionContext,
        tracks: Sequence[TrackedReplica],
        request: ReplicaRequest,
        rng: random.Random,
    ) -> list[TrackedReplica]:
        """Return near candidates, far ones, and the holder of the prefix."""
        near = []
        far = []
        for track in tracks:
            is_near = track.view.data_centre == book.own_data_centre
            (near if is_near else far).append(track)
        # A request of the first priority weighs one more near.
        count = self._random_choices + int(request.priority == 0)
        sampled = _some(near, count, rng)
        far_count = FAR_CHOICES_RATIO * self._random_choices
        sampled.extend(_some(far, far_count, rng))
        holder = book.prefixes.likely_holder(request.prefixes)
        if holder:
            sampled.extend(
                track
                for track in tracks
                if track.view.name == holder and track not in sampled
            )
        return sampled


def _some(
    tracks: Sequence[TrackedReplica],
    count: int,
    rng: random.Random,
) -> list[TrackedReplica]:
    """Return so many in random order, which decides between equals.

    For so few this takes a third of the time of `random.sample`.
    """
    rest = list(tracks)
    return [
        rest.pop(int(rng.random() * len(rest)))
        for _ in range(min(count, len(rest)))
    ]


def _expected_wait_s(weighed: WaitEstimate) -> float:
    return weighed.expected_wait_s


def make_selection_strategy(
    kind: str, random_choices: int
) -> SelectionStrategy:
    """Return the choice of that kind.

    Kinds are `expected_wait` and the baselines `round_robin` and
    `least_report`.
    """
    if kind == 'round_robin':
        return RoundRobinStrategy()
    if kind == 'least_report':
        return LeastReportedLoadStrategy()
    if kind == 'expected_wait':
        return ExpectedWaitStrategy(random_choices)
    raise ValueError(f'no replica choice of kind {kind!r}')
