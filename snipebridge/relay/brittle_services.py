"""Services whose replicas say that they fall over if they reject too much.

An entry sends such a replica no more at once than the places that belong to it.
One without any place, in a fleet with more entries than places, sends a request
at a time where less than half is taken, as far as it knows from all entries.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from snipebridge.logs import log_decision
from snipebridge.policy.replica_places import own_places
from snipebridge.relay.messages import ResponseHead
from snipebridge.relay.replicas import Replica

# A service of which no answer has said so for this long is not brittle.
_VALID_S = 20.0
_FREE_SHARE = 0.5


@dataclass(slots=True)
class BrittleServices:
    """What the answers of replicas say, and the place of this entry."""

    _told_s: dict[str, float] = field(default_factory=dict)
    _position: int = 0
    _entries: int = 1

    def set_position(self, position: int, entries: int) -> None:
        """Set the place of this entry among all, in their order."""
        self._position = position
        self._entries = max(1, entries)

    def record_answer(
        self, service: str, head: ResponseHead, now_s: float
    ) -> None:
        """Take what an answer says; the newest one counts."""
        was_brittle = self.is_brittle(service, now_s)
        if head.is_brittle:
            self._told_s[service] = now_s
        else:
            self._told_s.pop(service, None)
        if was_brittle is not head.is_brittle:
            log_decision(
                'brittle_service',
                service=service,
                brittle=head.is_brittle,
                position=self._position,
                entries=self._entries,
            )

    def is_brittle(self, service: str, now_s: float) -> bool:
        """Tell whether the replicas of a service must not reject much."""
        told_s = self._told_s.get(service)
        return told_s is not None and now_s - told_s <= _VALID_S

    def usable(
        self,
        service: str,
        candidates: Sequence[Replica],
        replicas: Sequence[Replica],
        now_s: float,
    ) -> list[Replica]:
        """Return the candidates with room for a request of this entry.

        ``replicas`` are all of the service.
        """
        if not self.is_brittle(service, now_s):
            return list(candidates)
        ordered = sorted(replicas, key=lambda one: one.id)
        slots = [max(1, one.slots) for one in ordered]
        places = {
            one.id: own_places(slots, number, self._position, self._entries)
            for number, one in enumerate(ordered)
        }
        if any(places.values()):
            return [one for one in candidates if one.running < places[one.id]]
        return [one for one in candidates if _has_much_room(one, now_s)]


def _has_much_room(replica: Replica, now_s: float) -> bool:
    taken = replica.estimated_running(now_s)
    return not replica.running and taken < _FREE_SHARE * replica.slots
