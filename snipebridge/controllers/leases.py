"""Leases of the entries, and the number that is in force everywhere.

Soft state of the leader. An entry gives work to an upstream only while it
holds a lease, and it takes the configuration of a reply together with the
lease of that reply. So an entry that may still hold a lease granted with
number N works by N or a higher number; once every such entry is at N, N is
in force everywhere.

A new leader knows none of the leases that its predecessor granted. It takes
each registered entry for the holder of one, of the lowest number, until any
such lease must be over.

>>> leases = EntryLeases(lease_s=3.0, predecessor_timeout_s=1.0)
>>> leases.start(['e1'], now_s=0.0)
>>> leases.in_force(7, ['e1'], now_s=1.0).number
0
>>> leases.record_heartbeat(EntryReport('e1', incarnation=1, number=7), now_s=1.0)
True
>>> leases.in_force(7, ['e1'], now_s=1.0).number
7
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Two clocks of the system may differ in speed by this much.
CLOCK_DRIFT_RATIO = 0.01


@dataclass(slots=True)
class EntryReport:
    """What a heartbeat says about the entry itself."""

    name: str
    incarnation: int
    number: int
    leaving: bool = False


@dataclass(slots=True)
class EntryLease:
    """What the leader knows of one entry."""

    name: str
    incarnation: int = 0
    number: int = 0
    leaving: bool = False
    # Being taken out; it gets no lease until it registers anew.
    retired: bool = False
    last_heartbeat_s: float = 0.0
    # The latest end of the leases granted with each number.
    expires_s: dict[int, float] = field(default_factory=dict)

    def has_expired(self, now_s: float) -> bool:
        """Tell whether the entry certainly holds no lease."""
        return all(expiry_s <= now_s for expiry_s in self.expires_s.values())

    def min_number(self, now_s: float) -> int | None:
        """Return the lowest number it may work by, None without a lease."""
        live = [
            number
            for number, expiry_s in self.expires_s.items()
            if expiry_s > now_s
        ]
        return min(live, default=None)

    def advance_to(self, number: int) -> None:
        """Note that the entry works by this number or a higher one."""
        expires_s: dict[int, float] = {}
        for granted, expiry_s in self.expires_s.items():
            reached = max(granted, number)
            expires_s[reached] = max(expiry_s, expires_s.get(reached, expiry_s))
        self.expires_s = expires_s


@dataclass(slots=True)
class InForce:
    """The number in force everywhere, and who keeps it from being higher."""

    number: int
    lagging: list[str]


class EntryLeases:
    """The leases by entry, as the leader of this term granted them."""

    __slots__ = (
        '_leases',
        '_lease_s',
        '_predecessor_timeout_s',
        '_unknown_leases_until_s',
    )

    def __init__(self, lease_s: float, predecessor_timeout_s: float) -> None:
        """Bound how long a predecessor may have gone on granting leases."""
        self._lease_s = lease_s
        self._predecessor_timeout_s = predecessor_timeout_s
        self._leases: dict[str, EntryLease] = {}
        self._unknown_leases_until_s = 0.0

    def start(self, names: Iterable[str], now_s: float) -> None:
        """Begin a leadership that knows nothing of earlier leases."""
        self._unknown_leases_until_s = (
            now_s + self._predecessor_timeout_s + self._max_lease_s()
        )
        self._leases = {
            name: self._unknown_lease(name, now_s) for name in names
        }

    def incarnation(self, name: str) -> int:
        """Return the process of an entry heard last, 0 before the first."""
        entry = self._leases.get(name)
        return entry.incarnation if entry else 0

    def record_heartbeat(self, report: EntryReport, now_s: float) -> bool:
        """Note a heartbeat; false when it may get no lease.

        That is so for an older process of the entry, and while the entry is
        being taken out.
        """
        entry = self._leases.get(report.name)
        if entry is None:
            entry = self._unknown_lease(report.name, now_s)
            self._leases[report.name] = entry
        if entry.retired or report.incarnation < entry.incarnation:
            return False
        restarted = report.incarnation > entry.incarnation
        entry.incarnation = report.incarnation
        entry.number = (
            report.number if restarted else max(entry.number, report.number)
        )
        entry.leaving = report.leaving
        entry.last_heartbeat_s = now_s
        entry.advance_to(entry.number)
        return True

    def grant(self, name: str, number: int, now_s: float) -> float:
        """Grant a lease together with the configuration of a number.

        Returns its seconds, which the entry counts from the moment when it
        sent the heartbeat.
        """
        entry = self._leases[name]
        entry.expires_s = {
            other: expiry_s
            for other, expiry_s in entry.expires_s.items()
            if expiry_s > now_s
        }
        entry.expires_s[number] = now_s + self._max_lease_s()
        return self._lease_s

    def in_force(
        self, number: int, names: Iterable[str], now_s: float
    ) -> InForce:
        """Return the highest number in force at the registered entries."""
        reached = number
        lagging = []
        for name in names:
            entry = self._leases.get(name) or self._unknown_lease(name, now_s)
            lowest = entry.min_number(now_s)
            if lowest is not None and lowest < number:
                lagging.append(name)
                reached = min(reached, lowest)
        return InForce(reached, sorted(lagging))

    def entries(self) -> Sequence[EntryLease]:
        """Return what is known of each entry, by name."""
        return [entry for _, entry in sorted(self._leases.items())]

    def retire(self, name: str) -> None:
        """Grant no more leases to an entry that is to be taken out."""
        self._leases[name].retired = True

    def remove(self, name: str) -> None:
        """Drop an entry that has left for good."""
        self._leases.pop(name, None)

    def _max_lease_s(self) -> float:
        return self._lease_s * (1 + CLOCK_DRIFT_RATIO)

    def _unknown_lease(self, name: str, now_s: float) -> EntryLease:
        return EntryLease(
            name,
            last_heartbeat_s=now_s,
            expires_s={0: self._unknown_leases_until_s},
        )
