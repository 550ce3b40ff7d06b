"""Registry of the listed replicas and the requests in flight at each."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from snipebridge.logs import log_decision
from snipebridge.policy.circuit_breaker import CircuitBreaker
from snipebridge.policy.replica_pace import USUAL_PERCENT
from snipebridge.relay.messages import LoadReport
from snipebridge.rpc.control_pb2 import (
    ListedReplica,
    ReplicaLoads,
    ReplicaPace,
    ReplicaUse,
)

# Validity of the load that a replica reports with a response.
LOAD_VALID_S = 1.0
# An address is given to another replica some seconds after its end.
IDENTIFIED_VALID_S = 1.0
# About as long as the list may take to show a successor. Trying a replica once
# more costs a round trip, since a request for another one does not run.
MISDIRECTED_PAUSE_S = 2.0
# Parts beyond the most recent ones have probably been evicted at the replica.
_MAX_CACHED_PARTS = 600


@dataclass(slots=True)
class Replica:
    """One replica, as listed and as observed by this entry."""

    id: str
    service: str
    address: str
    data_centre: str
    software: str
    slots: int
    is_draining: bool = False
    warm_up_ends_s: float = 0.0
    # When it last refused connections, at this or another entry.
    lost_s: float = float('-inf')
    # When it last answered under its id, and until when it is avoided because
    # the request was said to be meant for another one.
    identified_s: float = float('-inf')
    avoided_until_s: float = float('-inf')
    circuit_breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    running: int = 0
    # Prefill time of prompts of this entry that await their first token.
    backlog_ms: float = 0.0
    reported_running: int = 0
    # Requests of this entry that were running at the time of the report.
    running_at_report: int = 0
    reported_at_s: float = float('-inf')
    # When this entry last received a byte of a response body from it.
    last_byte_s: float = float('-inf')
    # The pace of its last answer that is not reported yet, 0 without one.
    stated_pace_percent: int = 0
    # The mean of what it states to all entries, 0 where it is not known.
    pace_percent: int = 0
    others_running: int = 0
    others_backlog_ms: int = 0
    # Time of the last use by model and prompt part.
    cached_parts: dict[tuple[str, str], float] = field(default_factory=dict)

    @property
    def total_backlog_ms(self) -> float:
        """Prefill time of prompts of all entries awaiting a first token."""
        return self.backlog_ms + self.others_backlog_ms

    @property
    def pace(self) -> float:
        """How long work takes there relative to the usual, if it is stated."""
        return (self.pace_percent or USUAL_PERCENT) / USUAL_PERCENT

    def estimated_running(self, now_s: float) -> float:
        """Estimate how many requests are running there."""
        counted = self.running + self.others_running
        if now_s - self.reported_at_s > LOAD_VALID_S:
            return counted
        since = self.running - self.running_at_report
        return max(self.running, self.reported_running + since)

    def has_sent_since(self, moment_s: float) -> bool:
        """Tell whether it has sent response bytes since a moment."""
        return self.last_byte_s > moment_s

    def record_load(self, load: LoadReport | None, now_s: float) -> None:
        """Record the load that the replica states with an answer, if any."""
        if load is None:
            return
        self.reported_running = load.running + load.waiting
        self.running_at_report = self.running
        self.reported_at_s = now_s
        self.slots = load.slots or self.slots
        self.stated_pace_percent = load.pace_percent

    def record_identified(self, now_s: float) -> None:
        """Note that it took a request that named it."""
        self.identified_s = now_s
        self.avoided_until_s = float('-inf')

    def record_misdirected(self, now_s: float) -> None:
        """Avoid it for a while, unless it was there just now.

        The same answer comes from its successor at the address and, for a
        request that it can't take, from itself.
        """
        if now_s - self.identified_s < IDENTIFIED_VALID_S:
            return
        self.avoided_until_s = now_s + MISDIRECTED_PAUSE_S
        log_decision(
            'replica_avoided',
            replica=self.id,
            address=self.address,
            pause_s=MISDIRECTED_PAUSE_S,
        )

    def record_prompt_parts(
        self, model: str, parts: Iterable[str], now_s: float
    ) -> None:
        """Record the parts of a prompt that were processed there."""
        for part in parts:
            self.cached_parts.pop((model, part), None)
            self.cached_parts[model, part] = now_s
        while len(self.cached_parts) > _MAX_CACHED_PARTS:
            self.cached_parts.pop(next(iter(self.cached_parts)))


class ReplicaRegistry:
    """All replicas of the newest list, by id and by service."""

    __slots__ = (
        '_by_service',
        '_evacuated',
        'by_id',
        'edition',
        'requested_at_s',
    )

    def __init__(self) -> None:
        """Start without a list."""
        self.by_id: dict[str, Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self.requested_at_s = float('-inf')
        self.edition = 0
        # Data centres whose replicas get nothing, by order of the operators.
        self._evacuated: frozenset[str] = frozenset()

    @property
    def has_list(self) -> bool:
        """Tell whether a list was ever received."""
        return self.requested_at_s > float('-inf')

    def update_list(
        self,
        listed: Iterable[ListedReplica],
        requested_at_s: float,
        now_s: float,
    ) -> list[str]:
        """Replace the list by a newer one; return the removed ids."""
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
        """Record that the current list was still the newest at that time."""
        self.requested_at_s = max(self.requested_at_s, requested_at_s)

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Send nothing more to the replicas of these data centres."""
        evacuated = frozenset(data_centres)
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            log_decision('evacuations', data_centres=sorted(evacuated))

    def note_lost(self, name: str, lost_s: float) -> None:
        """Record that a replica crashed: it will be cold when it is back."""
        replica = self.by_id.get(name)
        if replica is not None:
            replica.lost_s = max(replica.lost_s, lost_s)

    def apply_loads(self, loads: ReplicaLoads) -> None:
        """Apply the load of the other entries.

        Loads are given by position, so those of another edition of the list
        are discarded.
        """
        matches_list = (
            loads.edition == self.edition
            and len(loads.running) == len(self.by_id)
            and len(loads.backlog_ms) == len(self.by_id)
        )
        has_paces = matches_list and (
            len(loads.pace_percent) == len(self.by_id)
        )
        for position, replica in enumerate(self.by_id.values()):
            replica.others_running = (
                loads.running[position] if matches_list else 0
            )
            replica.others_backlog_ms = (
                loads.backlog_ms[position] if matches_list else 0
            )
            replica.pace_percent = (
                loads.pace_percent[position] if has_paces else 0
            )

    def pop_stated_paces(self) -> list[ReplicaPace]:
        """Return the paces stated since the last report, and clear them."""
        stated = [one for one in self.by_id.values() if one.stated_pace_percent]
        paces = [
            ReplicaPace(replica=one.id, percent=one.stated_pace_percent)
            for one in stated
        ]
        for one in stated:
            one.stated_pace_percent = 0
        return paces

    def local_usage(self) -> list[ReplicaUse]:
        """Return the load of this entry by replica."""
        return [
            ReplicaUse(
                replica=replica.id,
                running=replica.running,
                backlog_ms=int(replica.backlog_ms),
            )
            for replica in self.by_id.values()
            if replica.running
        ]

    def available_for(self, service: str, now_s: float) -> list[Replica]:
        """Return the replicas of a service that accept new requests.

        Those that are avoided are left out while there are others.
        """
        available = [
            replica
            for replica in self._by_service.get(service, ())
            if not (
                replica.is_draining or replica.data_centre in self._evacuated
            )
        ]
        trusted = [one for one in available if one.avoided_until_s <= now_s]
        return trusted or available


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
