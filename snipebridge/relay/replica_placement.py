"""Selects the service, replica and model of an attempt."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import xxhash

from snipebridge.clock import Clock
from snipebridge.logs import log_decision
from snipebridge.policy.engine_placement import (
    Placement,
    PlacementWeights,
    PromptShape,
    ReplicaLoad,
    choose,
)
from snipebridge.policy.pool_congestion import PoolMember
from snipebridge.policy.rate_grants import cold_rate
from snipebridge.policy.regions import Regions
from snipebridge.policy.warm_up import WarmUp
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.replicas import Replica
from snipebridge.relay.state import RelayState
from snipebridge.routing.tables import Route
from snipebridge.settings.models import Settings

# Width of an xxh3_64 digest.
_DIGEST_BITS = 64


@dataclass(slots=True)
class Choice:
    """The replica and the model of one attempt."""

    replica: Replica
    model: str
    placement: Placement
    # Prefill time of the uncached part of the prompt, and of the whole prompt.
    backlog_ms: float
    full_prompt_ms: float


class ReplicaPlacer:
    """Places attempts on the replicas in the registry of the entry."""

    __slots__ = (
        '_replicas',
        '_clock',
        '_data_centre',
        '_prefill_speeds',
        '_rng',
        '_software',
        '_back_offs',
        '_brittle',
        '_limits',
        '_regions',
        '_settings',
    )

    def __init__(
        self,
        state: RelayState,
        clock: Clock,
        rng: random.Random,
        settings: Settings,
    ) -> None:
        """Use the replica, software version and speed state of the entry."""
        self._replicas = state.replicas
        self._software = state.software
        self._limits = state.limits
        self._brittle = state.brittle
        self._back_offs = state.back_offs
        self._prefill_speeds = state.prefill_speeds
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._regions = make_regions(settings)
        self._data_centre = settings.process.data_centre

    def place(
        self,
        exchange: RelayExchange,
        service: str,
        model: str,
        excluded: Collection[str],
    ) -> Choice | None:
        """Return the cheapest eligible replica, or none if there is none."""
        now_s = self._clock.monotonic_s()
        eligible = self._unpaused(exchange, service, excluded, now_s)
        self._note_cold(exchange, service, eligible, now_s)
        candidates = self._limits.usable(eligible, now_s)
        candidates = self._brittle.usable(
            service,
            candidates,
            self._replicas.available_for(service, now_s),
            now_s,
        )
        shape = prompt_shape(exchange, model)
        speed = self._prefill_speeds.speed(model)
        loads = [
            self._load(replica, exchange, model, now_s) for replica in eligible
        ]
        weights = self._weights(eligible)
        placement = choose(loads, shape, speed, self._rng, weights)
        if placement is not None:
            self._limits.record_wanted(placement.replica, now_s)
        if len(candidates) < len(eligible):
            usable = {replica.id for replica in candidates}
            loads = [one for one in loads if one.replica in usable]
            placement = choose(loads, shape, speed, self._rng, weights)
        if placement is None:
            return None
        replica = self._replicas.by_id[placement.replica]
        self._limits.use(replica.id, now_s)
        log_decision(
            'replica',
            request_id=exchange.request.attempt_id,
            service=service,
            model=model,
            chosen=replica.id,
            cost_ms=round(placement.cost_ms, 1),
            uncached_tokens=placement.uncached_tokens,
            pause_weight=weights.pause,
            is_remote=replica.data_centre != self._data_centre,
            caused_pause_ms=round(placement.caused_pause_ms, 1),
            candidates=len(candidates),
            excluded=len(excluded),
            list_age_s=round(now_s - self._replicas.requested_at_s, 2),
        )
        return Choice(
            replica,
            model,
            placement,
            backlog_ms=placement.uncached_tokens * speed.ms_per_token,
            full_prompt_ms=shape.tokens * speed.ms_per_token,
        )

    def estimate(
        self, exchange: RelayExchange, service: str, model: str
    ) -> Placement | None:
        """Return the placement a model would get now, without using it."""
        now_s = self._clock.monotonic_s()
        speed = self._prefill_speeds.speed(model)
        candidates = self._candidates(exchange, service, (), now_s)
        loads = [
            self._load(replica, exchange, model, now_s)
            for replica in candidates
        ]
        shape = prompt_shape(exchange, model)
        weights = self._weights(candidates)
        return choose(loads, shape, speed, self._rng, weights)

    def paused_s(self, service: str) -> float:
        """Return how long all replicas of a service want no requests."""
        now_s = self._clock.monotonic_s()
        replicas = self._replicas.available_for(service, now_s)
        return self._back_offs.left_s(
            self._back_offs.staying(replicas, now_s), now_s
        )

    def pool(self, service: str) -> list[PoolMember]:
        """Return what is under way at each replica of a service."""
        now_s = self._clock.monotonic_s()
        return [
            PoolMember(
                replica.total_backlog_ms,
                replica.estimated_running(now_s),
                replica.slots,
            )
            for replica in self._replicas.available_for(service, now_s)
        ]

    def _weights(self, candidates: Sequence[Replica]) -> PlacementWeights:
        """Return what counts beside the wait at these replicas."""
        settings = self._settings.placement
        slots = max((replica.slots for replica in candidates), default=0)
        counts_pauses = slots <= settings.pause_slots_limit
        return PlacementWeights(
            settings.pause_weight if counts_pauses else 0.0,
            settings.near_replicas,
        )

    def _note_cold(
        self,
        exchange: RelayExchange,
        service: str,
        candidates: Sequence[Replica],
        now_s: float,
    ) -> None:
        """Limit the candidates that have just started."""
        known = exchange.table.services.get(service)
        if known is None or not known.warm_up_per_s:
            return
        warm_up = WarmUp(known.warm_up_s)
        per_s = cold_rate(
            known.warm_up_per_s,
            self._settings.promises.warm_up_ratio,
            self._settings.promises.warm_up_slack,
        )
        for replica in candidates:
            ends_s = warm_up.ends_s(replica.warm_up_ends_s, replica.lost_s)
            if ends_s > now_s:
                self._limits.note_cold(replica.id, per_s, ends_s)

    def _unpaused(
        self,
        exchange: RelayExchange,
        service: str,
        excluded: Collection[str],
        now_s: float,
    ) -> list[Replica]:
        """Return the candidates that did not ask for a pause.

        Where all replicas of a version on trial did, the others take what is
        not bound to it.
        """
        paused = self._candidates(exchange, service, excluded, now_s)
        unpaused = self._back_offs.usable(paused, now_s)
        session = exchange.request.session
        if unpaused or self._software.is_on_target(service, session, now_s):
            return unpaused
        others = self._candidates(
            exchange, service, excluded, now_s, {one.software for one in paused}
        )
        return self._back_offs.usable(others, now_s)

    def _candidates(
        self,
        exchange: RelayExchange,
        service: str,
        excluded: Collection[str],
        now_s: float,
        avoided_software: Collection[str] = (),
    ) -> list[Replica]:
        request = exchange.request
        account = exchange.account
        allowed = self._regions.intersect(
            exchange.route.allowed_regions,
            account.allowed_regions if account else (),
        )
        eligible = self._software.eligible(
            [
                replica
                for replica in self._back_offs.staying(
                    self._replicas.available_for(service, now_s), now_s
                )
                if self._regions.allows(replica.data_centre, allowed)
            ],
            service,
            request.session,
            request.session or request.attempt_id,
            now_s,
            exchange.progress.failed_software.union(avoided_software),
            exchange.progress.erring_software,
        )
        remaining = [
            replica for replica in eligible if replica.id not in excluded
        ]
        available = [
            replica
            for replica in remaining
            if replica.circuit_breaker.allows_requests(now_s)
        ]
        return available or remaining

    def _load(
        self,
        replica: Replica,
        exchange: RelayExchange,
        model: str,
        now_s: float,
    ) -> ReplicaLoad:
        return ReplicaLoad(
            replica=replica.id,
            running=replica.estimated_running(now_s),
            slots=replica.slots,
            backlog_ms=replica.total_backlog_ms,
            cached_tokens=_cached_tokens(replica, exchange, model),
            failure_share=replica.circuit_breaker.failure_share,
            is_remote=replica.data_centre != self._data_centre,
            pace=replica.pace,
            is_warming=replica.warm_up_ends_s > now_s,
        )


def make_regions(settings: Settings) -> Regions:
    """Return the regions of the data centres in the settings."""
    return Regions({one.name: one.region for one in settings.data_centres})


def choose_service(route: Route, hash_key: str) -> str:
    """Return the service of a request by the weights of its route.

    The result depends only on the route and the key, so requests with the
    same key go to the same service from every entry.
    """
    if len(route.splits) == 1:
        return route.splits[0].service
    total = sum(split.weight for split in route.splits)
    digest = xxhash.xxh3_64_intdigest(f'{route.name}/{hash_key}'.encode())
    fraction = digest / (1 << _DIGEST_BITS)
    cumulative = 0.0
    for split in route.splits:
        cumulative += split.weight / total
        if fraction < cumulative:
            return split.service
    return route.splits[-1].service


def prompt_shape(exchange: RelayExchange, model: str) -> PromptShape:
    """Return the size of a prompt and of the prefix it shares with others."""
    parts = exchange.request.prompt_parts
    if not parts:
        return PromptShape(exchange.request.prompt_tokens)
    shared = exchange.request.shared_parts
    key = f'{model}/{shared[-1].identity}' if shared else ''
    return PromptShape(
        tokens=sum(part.tokens for part in parts),
        shared_tokens=sum(part.tokens for part in shared),
        shared_key=key,
    )


def _cached_tokens(
    replica: Replica, exchange: RelayExchange, model: str
) -> int:
    """Return the prompt tokens that this entry has seen cached there."""
    cached = 0
    for part in exchange.request.prompt_parts:
        if (model, part.identity) not in replica.cached_parts:
            break
        cached += part.tokens
    return cached
