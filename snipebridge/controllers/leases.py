"""Entry leases and the configuration number in force at every entry.

This is soft state of the leader. An entry dispatches work to an upstream
only while it holds a lease, and it applies the lease and the configuration
of a heartbeat reply together. An entry whose lease was granted with number N
therefore uses configuration N or a later one. N is in force once no entry
can hold a lease granted with a lower number.

A new leader does not know the leases that its predecessor granted. It
assumes that each registered entry holds one with the lowest number until any
such lease must have expired.

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

# Maximum difference in rate between any two clocks of the system.
CLOCK_DRIFT_RATIO = 0.01


@dataclass(slots=True)
class EntryReport:
    """The state that an entry reports in a heartbeat."""

    name: str
    incarnation: int
    number: int
    leaving: bool = False


@dataclass(slots=True)
class EntryLease:
    """The lease state of one entry at the leader."""

    name: str
    incarnation: int = 0
    number: int = 0
    leaving: bool = False
    # Being removed; gets no lease until it registers again.
    retired: bool = False
    last_heartbeat_s: float = 0.0
    # Latest expiry of the leases granted with each number.
    expires_s: dict[int, float] = field(default_factory=dict)

    def has_expired(self, now_s: float) -> bool:
        """Return whether the entry certainly holds no lease."""
        return all(expiry_s <= now_s for expiry_s in self.expires_s.values())

    def min_number(self, now_s: float) -> int | None:
        """Return the lowest number it may use, None without a lease."""
        live = [
            number
            for number, expiry_s in self.expires_s.items()
            if expiry_s > now_s
        ]
        return min(live, default=None)

    def advance_to(self, number: int) -> None:
        """Record that the entry uses this number or a higher one."""
        expires_s: dict[int, float] = {}
        for granted, expiry_s in self.expires_s.items():
            reached = max(granted, number)
            expires_s[reached] = max(expiry_s, expires_s.get(reached, expiry_s))
        self.expires_s = expires_s


@dataclass(slots=True)
class InForce:
    """The number in force everywhere and the entries that lag behind."""

    number: int
    lagging: list[str]


class EntryLeases:
    """The leases that the leader of this term granted, by entry."""

    __slots__ = (
        '_leases',
        '_lease_s',
        '_predecessor_timeout_s',
        '_unknown_leases_until_s',
    )

    def __init__(self, lease_s: float, predecessor_timeout_s: float) -> None:
        """Set the lease duration and when a predecessor stops granting."""
        self._lease_s = lease_s
        self._predecessor_timeout_s = predecessor_timeout_s
        self._leases: dict[str, EntryLease] = {}
        self._unknown_leases_until_s = 0.0

    def start(self, names: Iterable[str], now_s: float) -> None:
        """Start a leadership without knowledge of earlier leases."""
        self._unknown_leases_until_s = (
            now_s + self._predecessor_timeout_s + self._max_lease_s()
        )
        self._leases = {
            name: self._unknown_lease(name, now_s) for name in names
        }

    def incarnation(self, name: str) -> int:
        """Return the latest incarnation of an entry, 0 if unknown."""
        entry = self._leases.get(name)
        return entry.incarnation if entry else 0

    def record_heartbeat(self, report: EntryReport, now_s: float) -> bool:
        """Record a heartbeat; return whether a lease may be granted.

        None may be granted to an older incarnation of the entry, nor while
        the entry is being removed.
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

        Returns the duration in seconds, which the entry counts from the
        time at which it sent the heartbeat.
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
        """Return the lease state of each entry, sorted by name."""
        return [entry for _, entry in sorted(self._leases.items())]

    def retire(self, name: str) -> None:
        """Stop granting leases to an entry that is being removed."""
        self._leases[name].retired = True

    def remove(self, name: str) -> None:
        """Remove an entry that has left the system."""
        self._leases.pop(name, None)

    def _max_lease_s(self) -> float:
        return self._lease_s * (1 + CLOCK_DRIFT_RATIO)

    def _unknown_lease(self, name: str, now_s: float) -> EntryLease:
        return EntryLease(
            name,
            last_heartbeat_s=now_s,
            expires_s={0: self._unknown_leases_until_s},
        )
