"""Choice of the replica that answers a request soonest.

The expected wait of a replica follows from its lagged load report, corrected
by what this entry dispatched and saw end since the report was measured, and
from the prefill left after the prefix that the replica likely has cached.

Many entries see the same reports and must not all pick the same replica. So
a report counts less the older it is, own changes since then count for those
of the other entries too, and only a few random candidates are weighed.

>>> book = make_replica_selector('a', entry='entry-1')
>>> book.set_replicas(
...     [ReplicaView('engine-1', 'a', 'models', frozenset({'small@1'}), 8)],
...     now_s=0.0,
... )
>>> request = ReplicaRequest('small@1', prompt_tokens=100)
>>> book.choose(request, 0.0, random.Random(1)).name
'engine-1'
"""

import functools
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from snipebridge.policy.health import (
    HealthTracker,
    Outcome,
    UpstreamState,
    make_health_tracker,
)
from snipebridge.policy.prefixes import (
    PrefixCacheIndex,
    make_prefix_cache_index,
)
from snipebridge.policy.replica_loads import Dispatch, TrackedReplica
from snipebridge.policy.replica_types import (
    LoadReport,
    NoReplica,
    ReplicaDecision,
    ReplicaRequest,
    ReplicaView,
    WaitEstimate,
)
from snipebridge.policy.selection_strategies import (
    SelectionStrategy,
    make_selection_strategy,
)

SUBSET_REPLICAS = 16
REMOTE_COST_S = 0.004
OVERLOAD_PENALTY_S = 0.5
# A younger report says more about an overload than a sign does.
SIGN_AFTER_S = 2.0
PACE_SMOOTHING = 0.05
NO_REPLICA_RETRY_S = 1.0
LONGEST_RETRY_S = 30.0


@dataclass(slots=True)
class _Fitting:
    """The replicas for a version: those this entry uses, and the others."""

    subset: list[TrackedReplica] = field(default_factory=list)
    # Used only while none of the subset is available.
    others: list[TrackedReplica] = field(default_factory=list)


class ReplicaSelector:
    """The replicas as one entry sees them, and its choice among them."""

    __slots__ = (
        '_choice',
        '_entry',
        '_fittings',
        '_subset_size',
        '_tracks',
        'health',
        'own_data_centre',
        'prefixes',
    )

    def __init__(
        self,
        own_data_centre: str,
        entry: str,
        choice: SelectionStrategy,
        health: HealthTracker,
        prefixes: PrefixCacheIndex,
        subset_size: int,
    ) -> None:
        """Start without replicas; see `make_replica_selector`."""
        self.own_data_centre = own_data_centre
        self.health = health
        self.prefixes = prefixes
        self._entry = entry
        self._choice = choice
        self._subset_size = subset_size
        self._tracks: dict[str, TrackedReplica] = {}
        self._fittings: dict[tuple[str, str], _Fitting] = {}

    def track(self, name: str) -> TrackedReplica:
        """Return what is known of a replica."""
        return self._tracks[name]

    def set_replicas(self, views: Iterable[ReplicaView], now_s: float) -> None:
        """Replace the configured replicas; new ones start slowly.

        Replicas of the first call are taken to be warm: after a restart of
        the entry there is no better replica to send their work to.
        """
        old = self._tracks
        self._tracks = {}
        for view in views:
            track = old.get(view.name)
            if track is None:
                track = TrackedReplica(view, max(1, view.slots))
                if old:
                    track.live_since_s = now_s
                    self._take_pace(track, old.values())
            elif _returns(track.view, view):
                track.live_since_s = now_s
            track.view = view
            self._tracks[view.name] = track
        for name in old.keys() - self._tracks.keys():
            self.prefixes.forget(name)
        self._fittings.clear()
        pools = {name: track.view.pool for name, track in self._tracks.items()}
        self.health.set_members(pools)

    def record_report(
        self,
        name: str,
        report: LoadReport,
        now_s: float,
    ) -> None:
        """Take in a load report; an older one than known is dropped."""
        track = self._tracks.get(name)
        if track is not None:
            track.take_report(report, now_s)

    def record_dispatch(
        self,
        name: str,
        request_id: str,
        prefill_tokens: int,
        expected_tokens: int,
        now_s: float,
    ) -> None:
        """Count a request that is being sent to the replica."""
        self.health.record_dispatch(name)
        track = self._tracks.get(name)
        if track is None:
            return
        was_idle = track.outstanding(now_s) < track.slots
        track.in_flight[request_id] = Dispatch(
            now_s,
            prefill_tokens,
            expected_tokens,
            was_idle,
        )
        track.correction += 1

    def record_first_token(
        self,
        name: str,
        request_id: str,
        now_s: float,
    ) -> None:
        """Learn the prefill pace from the first token of a request."""
        track = self._tracks.get(name)
        dispatch = track.in_flight.get(request_id) if track else None
        if dispatch is None or dispatch.first_token_s is not None:
            return
        dispatch.first_token_s = now_s
        if dispatch.was_idle and dispatch.prefill_tokens > 0:
            pace = (now_s - dispatch.at_s) / dispatch.prefill_tokens
            change = pace - track.prefill_s_per_token
            track.prefill_s_per_token += PACE_SMOOTHING * change

    def record_end(
        self,
        name: str,
        request_id: str,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        """Count the end of a request, for load, pace and health."""
        returned = self.health.record_outcome(name, outcome, now_s)
        track = self._tracks.get(name)
        dispatch = track.in_flight.pop(request_id, None) if track else None
        if dispatch is None:
            return
        if returned:
            track.live_since_s = now_s
        track.correction -= 1
        track.ends.append((dispatch.at_s, now_s))
        if outcome is Outcome.ANSWERED and dispatch.was_idle:
            change = now_s - dispatch.at_s - track.hold_s
            track.hold_s += PACE_SMOOTHING * change

    def choose(
        self,
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision | NoReplica:
        """Choose the replica for a request, or tell when to try again."""
        fitting = self._fitting(request.version, request.pool)
        for group in (fitting.subset, fitting.others):
            candidates = [
                track
                for track in group
                if track.view.name not in request.excluded
                and self.health.is_available(track.view.name, now_s)
            ]
            if candidates:
                return self._choice.pick(self, candidates, request, now_s, rng)
        return self._refuse(fitting, request, now_s)

    def weigh(
        self,
        track: TrackedReplica,
        request: ReplicaRequest,
        outstanding: float,
        now_s: float,
    ) -> WaitEstimate:
        """Return the expected time to the first token at a replica."""
        name = track.view.name
        wait_s = 0.0
        if outstanding + 1 > track.slots:
            excess = outstanding + 1 - track.slots
            wait_s = excess * track.hold_s / track.slots
        cached = self.prefixes.cached_tokens(name, request.prefixes, now_s)
        left_tokens = max(0, request.prompt_tokens - int(cached))
        prefill_s = left_tokens * track.prefill_s_per_token
        # Batches that fill up slow each other down even before they queue.
        wait_s += prefill_s * (1 + outstanding / track.slots)
        if track.view.data_centre != self.own_data_centre:
            wait_s += REMOTE_COST_S
        is_blind = now_s - track.measured_s > SIGN_AFTER_S
        if is_blind and self.health.is_overloaded(name, now_s):
            wait_s += OVERLOAD_PENALTY_S
        return WaitEstimate(name, wait_s, left_tokens)

    def _fitting(self, version: str, pool: str) -> '_Fitting':
        """Return the replicas that the configuration gives a version."""
        key = (version, pool)
        fitting = self._fittings.get(key)
        if fitting is None:
            tracks = [
                track
                for track in self._tracks.values()
                if _fits(track.view, version, pool)
            ]
            fitting = _rendezvous(tracks, self._entry, self._subset_size)
            self._fittings[key] = fitting
        return fitting

    def _refuse(
        self,
        fitting: _Fitting,
        request: ReplicaRequest,
        now_s: float,
    ) -> NoReplica:
        """Tell why there is none, and when there may be one again."""
        names = [track.view.name for track in fitting.subset + fitting.others]
        if not names:
            return NoReplica('not_served', LONGEST_RETRY_S)
        untried = [name for name in names if name not in request.excluded]
        if not untried:
            return NoReplica('all_tried', NO_REPLICA_RETRY_S)
        return_s = self.health.next_return_s(untried, now_s)
        if return_s > LONGEST_RETRY_S:
            return NoReplica('none_live', LONGEST_RETRY_S)
        return NoReplica('all_ejected', max(NO_REPLICA_RETRY_S, return_s))

    def _take_pace(
        self,
        track: TrackedReplica,
        others: Iterable[TrackedReplica],
    ) -> None:
        """Let a new replica start with the mean pace of its pool."""
        pool = [other for other in others if other.view.pool == track.view.pool]
        if pool:
            hold_s = sum(other.hold_s for other in pool)
            prefill_s = sum(other.prefill_s_per_token for other in pool)
            track.hold_s = hold_s / len(pool)
            track.prefill_s_per_token = prefill_s / len(pool)


def _returns(old: ReplicaView, new: ReplicaView) -> bool:
    is_live = new.state is UpstreamState.LIVE
    return is_live and old.state is not UpstreamState.LIVE


def _fits(view: ReplicaView, version: str, pool: str) -> bool:
    """Tell whether the configuration lets the replica serve a request."""
    if view.state is not UpstreamState.LIVE:
        return False
    if pool and view.pool != pool:
        return False
    return not version or version in view.versions


def _rendezvous(
    tracks: Sequence[TrackedReplica],
    entry: str,
    limit: int,
) -> _Fitting:
    """Return a bounded subset that covers all data centres evenly.

    Highest random weight by entry: a replica that comes or goes changes
    the subset by that one replica only.
    """
    by_data_centre: dict[str, list[TrackedReplica]] = {}
    for track in tracks:
        members = by_data_centre.setdefault(track.view.data_centre, [])
        members.append(track)
    rank = functools.partial(_rendezvous_weight, entry)
    fitting = _Fitting()
    for members in by_data_centre.values():
        members.sort(key=rank)
        share = -(-limit // len(by_data_centre))
        fitting.subset.extend(members[:share])
        fitting.others.extend(members[share:])
    return fitting


def _rendezvous_weight(entry: str, track: TrackedReplica) -> int:
    key = f'{entry}\0{track.view.name}'
    return xxhash.xxh64_intdigest(key.encode())


def make_replica_selector(
    own_data_centre: str,
    entry: str = '',
    kind: str = 'expected_wait',
    *,
    random_choices: int = 2,
    subset_size: int = SUBSET_REPLICAS,
    health: HealthTracker | None = None,
    prefixes: PrefixCacheIndex | None = None,
) -> ReplicaSelector:
    """Return an empty book for an entry of the data centre."""
    return ReplicaSelector(
        own_data_centre,
        entry,
        make_selection_strategy(kind, random_choices),
        health or make_health_tracker(),
        prefixes or make_prefix_cache_index(),
        subset_size,
    )
