"""Selects the replica with the shortest expected time to first token.

The expected wait at a replica is computed from its delayed load report,
corrected by the requests that this entry has dispatched and completed since
the report was measured, and from the prefill work that remains after the
prefix that the replica has likely cached.

Many entries read the same reports and must not all select the same replica.
Therefore a report loses weight with age, this entry's changes since the
report are extrapolated to the other entries, and only a few random candidates
are compared.

>>> selector = make_replica_selector('a', entry='entry-1')
>>> selector.set_replicas(
...     [ReplicaView('engine-1', 'a', 'models', frozenset({'small@1'}), 8)],
...     now_s=0.0,
... )
>>> request = ReplicaRequest('small@1', prompt_tokens=100)
>>> selector.choose(request, 0.0, random.Random(1)).name
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
REMOTE_PENALTY_S = 0.004
OVERLOAD_PENALTY_S = 0.5
# A report younger than this outweighs an overload signal.
REPORT_FRESH_S = 2.0
ESTIMATE_SMOOTHING = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class _EligibleReplicas:
    """Live replicas of a version: this entry's subset and the others."""

    subset: list[TrackedReplica] = field(default_factory=list)
    # Used only while no replica of the subset is available.
    others: list[TrackedReplica] = field(default_factory=list)


class ReplicaSelector:
    """Tracks the replicas known to one entry and selects among them."""

    __slots__ = (
        '_strategy',
        '_entry',
        '_eligible_cache',
        '_subset_size',
        '_replicas',
        'health',
        'own_data_centre',
        'prefixes',
    )

    def __init__(
        self,
        own_data_centre: str,
        entry: str,
        strategy: SelectionStrategy,
        health: HealthTracker,
        prefixes: PrefixCacheIndex,
        subset_size: int,
    ) -> None:
        """Start without replicas; see `make_replica_selector`."""
        self.own_data_centre = own_data_centre
        self.health = health
        self.prefixes = prefixes
        self._entry = entry
        self._strategy = strategy
        self._subset_size = subset_size
        self._replicas: dict[str, TrackedReplica] = {}
        self._eligible_cache: dict[tuple[str, str], _EligibleReplicas] = {}

    def replica(self, name: str) -> TrackedReplica:
        """Return the tracked state of a replica."""
        return self._replicas[name]

    def set_replicas(self, views: Iterable[ReplicaView], now_s: float) -> None:
        """Replace the configured replicas; new ones get a slow start.

        Replicas of the first call skip the slow start: after a restart of
        the entry there is no better replica to send their work to.
        """
        old = self._replicas
        self._replicas = {}
        for view in views:
            replica = old.get(view.name)
            if replica is None:
                replica = TrackedReplica(view, max(1, view.slots))
                if old:
                    replica.live_since_s = now_s
                    self._inherit_pool_means(replica, old.values())
            elif _became_live(replica.view, view):
                replica.live_since_s = now_s
            replica.view = view
            self._replicas[view.name] = replica
        for name in old.keys() - self._replicas.keys():
            self.prefixes.remove_replica(name)
        self._eligible_cache.clear()
        pools = {
            name: replica.view.pool for name, replica in self._replicas.items()
        }
        self.health.set_members(pools)

    def record_report(
        self,
        name: str,
        report: LoadReport,
        now_s: float,
    ) -> None:
        """Apply a load report unless a newer one is already known."""
        replica = self._replicas.get(name)
        if replica is not None:
            replica.apply_report(report, now_s)

    def record_dispatch(
        self,
        name: str,
        request_id: str,
        prefill_tokens: int,
        expected_tokens: int,
        now_s: float,
    ) -> None:
        """Count a request that is being dispatched to the replica."""
        self.health.record_dispatch(name)
        replica = self._replicas.get(name)
        if replica is None:
            return
        was_idle = replica.outstanding(now_s) < replica.slots
        replica.in_flight[request_id] = Dispatch(
            now_s,
            prefill_tokens,
            expected_tokens,
            was_idle,
        )
        replica.correction += 1

    def record_first_token(
        self,
        name: str,
        request_id: str,
        now_s: float,
    ) -> None:
        """Update the prefill speed from the first token of a request."""
        replica = self._replicas.get(name)
        dispatch = replica.in_flight.get(request_id) if replica else None
        if dispatch is None or dispatch.first_token_s is not None:
            return
        dispatch.first_token_s = now_s
        if dispatch.was_idle and dispatch.prefill_tokens > 0:
            s_per_token = (
                now_s - dispatch.dispatched_s
            ) / dispatch.prefill_tokens
            change = s_per_token - replica.prefill_s_per_token
            replica.prefill_s_per_token += ESTIMATE_SMOOTHING * change

    def record_end(
        self,
        name: str,
        request_id: str,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        """Update load, service time and health at the end of a request."""
        recovered = self.health.record_outcome(name, outcome, now_s)
        replica = self._replicas.get(name)
        dispatch = replica.in_flight.pop(request_id, None) if replica else None
        if dispatch is None:
            return
        if recovered:
            replica.live_since_s = now_s
        replica.correction -= 1
        replica.completed.append((dispatch.dispatched_s, now_s))
        if outcome is Outcome.ANSWERED and dispatch.was_idle:
            change = now_s - dispatch.dispatched_s - replica.service_time_s
            replica.service_time_s += ESTIMATE_SMOOTHING * change

    def choose(
        self,
        request: ReplicaRequest,
        now_s: float,
        rng: random.Random,
    ) -> ReplicaDecision | NoReplica:
        """Return the replica for a request, or when to retry."""
        eligible = self._eligible_replicas(request.version, request.pool)
        for group in (eligible.subset, eligible.others):
            candidates = [
                replica
                for replica in group
                if replica.view.name not in request.excluded
                and self.health.is_available(replica.view.name, now_s)
            ]
            if candidates:
                return self._strategy.pick(
                    self, candidates, request, now_s, rng
                )
        return self._refusal(eligible, request, now_s)

    def estimate_wait(
        self,
        replica: TrackedReplica,
        request: ReplicaRequest,
        outstanding: float,
        now_s: float,
    ) -> WaitEstimate:
        """Return the expected time to first token at a replica."""
        name = replica.view.name
        wait_s = 0.0
        if outstanding + 1 > replica.slots:
            excess = outstanding + 1 - replica.slots
            wait_s = excess * replica.service_time_s / replica.slots
        cached = self.prefixes.cached_tokens(name, request.prefixes, now_s)
        left_tokens = max(0, request.prompt_tokens - int(cached))
        prefill_s = left_tokens * replica.prefill_s_per_token
        # A fuller batch slows each request even before requests queue.
        wait_s += prefill_s * (1 + outstanding / replica.slots)
        if replica.view.data_centre != self.own_data_centre:
            wait_s += REMOTE_PENALTY_S
        is_report_stale = now_s - replica.measured_s > REPORT_FRESH_S
        if is_report_stale and self.health.is_overloaded(name, now_s):
            wait_s += OVERLOAD_PENALTY_S
        return WaitEstimate(name, wait_s, left_tokens)

    def _eligible_replicas(
        self, version: str, pool: str
    ) -> '_EligibleReplicas':
        """Return the replicas that the configuration allows for a version."""
        key = (version, pool)
        eligible = self._eligible_cache.get(key)
        if eligible is None:
            replicas = [
                replica
                for replica in self._replicas.values()
                if _is_eligible(replica.view, version, pool)
            ]
            eligible = _rendezvous_subset(
                replicas, self._entry, self._subset_size
            )
            self._eligible_cache[key] = eligible
        return eligible

    def _refusal(
        self,
        eligible: _EligibleReplicas,
        request: ReplicaRequest,
        now_s: float,
    ) -> NoReplica:
        """Return why no replica is available, and when to retry."""
        names = [
            replica.view.name for replica in eligible.subset + eligible.others
        ]
        if not names:
            return NoReplica('not_served', MAX_RETRY_AFTER_S)
        untried = [name for name in names if name not in request.excluded]
        if not untried:
            return NoReplica('all_tried', MIN_RETRY_AFTER_S)
        probe_s = self.health.next_probe_s(untried, now_s)
        if probe_s > MAX_RETRY_AFTER_S:
            return NoReplica('none_live', MAX_RETRY_AFTER_S)
        return NoReplica('all_ejected', max(MIN_RETRY_AFTER_S, probe_s))

    def _inherit_pool_means(
        self,
        replica: TrackedReplica,
        others: Iterable[TrackedReplica],
    ) -> None:
        """Initialize a new replica with the mean times of its pool."""
        pool = [
            other for other in others if other.view.pool == replica.view.pool
        ]
        if pool:
            service_time_s = sum(other.service_time_s for other in pool)
            prefill_s = sum(other.prefill_s_per_token for other in pool)
            replica.service_time_s = service_time_s / len(pool)
            replica.prefill_s_per_token = prefill_s / len(pool)


def _became_live(old: ReplicaView, new: ReplicaView) -> bool:
    is_live = new.state is UpstreamState.LIVE
    return is_live and old.state is not UpstreamState.LIVE


def _is_eligible(view: ReplicaView, version: str, pool: str) -> bool:
    """Return whether the configuration lets a replica serve a request."""
    if view.state is not UpstreamState.LIVE:
        return False
    if pool and view.pool != pool:
        return False
    return not version or version in view.versions


def _rendezvous_subset(
    replicas: Sequence[TrackedReplica],
    entry: str,
    limit: int,
) -> _EligibleReplicas:
    """Return a bounded subset that covers all data centres evenly.

    Rendezvous hashing by entry: adding or removing a replica changes the
    subset by that replica only.
    """
    by_data_centre: dict[str, list[TrackedReplica]] = {}
    for replica in replicas:
        members = by_data_centre.setdefault(replica.view.data_centre, [])
        members.append(replica)
    rank = functools.partial(_rendezvous_hash, entry)
    eligible = _EligibleReplicas()
    for members in by_data_centre.values():
        members.sort(key=rank)
        share = -(-limit // len(by_data_centre))
        eligible.subset.extend(members[:share])
        eligible.others.extend(members[share:])
    return eligible


def _rendezvous_hash(entry: str, replica: TrackedReplica) -> int:
    key = f'{entry}\0{replica.view.name}'
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
    """Return a selector without replicas for an entry of a data centre."""
    return ReplicaSelector(
        own_data_centre,
        entry,
        make_selection_strategy(kind, random_choices),
        health or make_health_tracker(),
        prefixes or make_prefix_cache_index(),
        subset_size,
    )
