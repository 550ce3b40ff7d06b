"""The replicas that an entry knows, and what it has under way at each."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from snipebridge.policy.circuit_breaker import CircuitBreaker
from snipebridge.rpc.control_pb2 import (
    ListedReplica,
    ReplicaLoads,
    ReplicaUse,
)

# A replica's word on its load is as old as the answer that brought it.
LOAD_VALID_S = 1.0
# What the other entries have under way is told with each heartbeat.
USES_VALID_S = 2.0
# Parts that were read this long ago have likely yielded.
_MAX_CACHED_PARTS = 600


@dataclass(slots=True)
class Replica:
    """One replica, as listed and as this entry has seen it."""

    id: str
    service: str
    address: str
    data_centre: str
    software: str
    slots: int
    is_draining: bool = False
    warm_up_ends_s: float = 0.0
    # Another replica answered at its address.
    is_replaced: bool = False
    circuit_breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    running: int = 0
    # Prompt work of this entry that has not brought a first token.
    backlog_ms: float = 0.0
    reported_running: int = 0
    # Requests of this entry that were running when that was reported.
    running_at_report: int = 0
    reported_at_s: float = float('-inf')
    # When this entry last got a byte of an answer from it.
    last_byte_s: float = float('-inf')
    others_running: int = 0
    others_backlog_ms: int = 0
    # Moment of the last use by model and part.
    cached_parts: dict[tuple[str, str], float] = field(default_factory=dict)

    @property
    def total_backlog_ms(self) -> float:
        """Prompt work of all entries that has not brought a first token."""
        return self.backlog_ms + self.others_backlog_ms

    def estimated_running(self, now_s: float) -> float:
        """Return how many requests are likely under way there."""
        told = self.running + self.others_running
        if now_s - self.reported_at_s > LOAD_VALID_S:
            return told
        since = self.running - self.running_at_report
        return max(self.running, self.reported_running + since)

    def has_sent_since(self, moment_s: float) -> bool:
        """Tell whether it has sent anything since a moment."""
        return self.last_byte_s > moment_s

    def record_load(self, load: tuple[int, ...], now_s: float) -> None:
        """Take the replica's own word: running, waiting and slots."""
        if not load:
            return
        running, waiting, slots = load
        self.reported_running = running + waiting
        self.running_at_report = self.running
        self.reported_at_s = now_s
        self.slots = slots or self.slots

    def record_prompt_parts(
        self, model: str, parts: Iterable[str], now_s: float
    ) -> None:
        """Note the parts of a prompt that were read there."""
        for part in parts:
            self.cached_parts.pop((model, part), None)
            self.cached_parts[model, part] = now_s
        while len(self.cached_parts) > _MAX_CACHED_PARTS:
            self.cached_parts.pop(next(iter(self.cached_parts)))


class ReplicaRegistry:
    """All replicas by id and by service, from the newest list."""

    __slots__ = ('_by_service', 'requested_at_s', 'by_id', 'edition')

    def __init__(self) -> None:
        """Start without a list."""
        self.by_id: dict[str, Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self.requested_at_s = float('-inf')
        self.edition = 0

    @property
    def has_list(self) -> bool:
        """Tell whether there was a list at all."""
        return self.requested_at_s > float('-inf')

    def update_list(
        self,
        listed: Iterable[ListedReplica],
        requested_at_s: float,
        now_s: float,
    ) -> list[str]:
        """Replace the list by a newer one; return the ids that are gone."""
        if requested_at_s <= self.requested_at_s:
            return []
        self.requested_at_s = requested_at_s
        known = self.by_id
        self.by_id = {}
        for one in listed:
            self.by_id[one.id] = _merge(known.get(one.id), one, now_s)
        self._by_service = {}
        for replica in self.by_id.values():
            self._by_service.setdefault(replica.service, []).append(replica)
        return [name for name in known if name not in self.by_id]

    def confirm_list(self, requested_at_s: float) -> None:
        """Note that the list held here is still the newest one."""
        self.requested_at_s = max(self.requested_at_s, requested_at_s)

    def apply_loads(self, loads: ReplicaLoads) -> None:
        """Take what the other entries have under way.

        Loads that belong to another list than the one held here tell nothing.
        """
        is_of_this = (
            loads.edition == self.edition
            and len(loads.running) == len(self.by_id)
            and len(loads.backlog_ms) == len(self.by_id)
        )
        for place, replica in enumerate(self.by_id.values()):
            replica.others_running = loads.running[place] if is_of_this else 0
            replica.others_backlog_ms = (
                loads.backlog_ms[place] if is_of_this else 0
            )

    def local_usage(self) -> list[ReplicaUse]:
        """Return what this entry has under way."""
        return [
            ReplicaUse(
                replica=replica.id,
                running=replica.running,
                backlog_ms=int(replica.backlog_ms),
            )
            for replica in self.by_id.values()
            if replica.running
        ]

    def available_for(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may get new work."""
        return [
            replica
            for replica in self._by_service.get(service, ())
            if not replica.is_draining and not replica.is_replaced
        ]


def _merge(
    known: Replica | None, listed: ListedReplica, now_s: float
) -> Replica:
    if known is None or known.address != listed.address:
        known = Replica(
            id=listed.id,
            service=listed.service,
            address=listed.address,
            data_centre=listed.data_centre,
            software=listed.software,
            slots=listed.slots,
        )
    known.service = listed.service
    known.software = listed.software
    known.is_draining = listed.draining
    known.warm_up_ends_s = now_s + listed.warm_up_left_ms / 1000
    return known
