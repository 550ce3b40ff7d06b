"""What all entries have under way at each replica, told by heartbeats.

The totals are kept up to date with each report, so that a reply costs as much
as there are replicas in use, whatever the number of entries.

>>> loads = FleetLoads()
>>> loads.take('e1', [ReplicaUse(replica='r', running=3)], now_s=0.0)
>>> loads.take('e2', [ReplicaUse(replica='r', running=4)], now_s=0.0)
>>> order = make_load_order(5, ['q', 'r'])
>>> loads.of_others('e1', order, now_s=0.1).running
[0, 4]
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from snipebridge.policy.replica_pace import ReplicaPace
from snipebridge.rpc.control_pb2 import ReplicaLoads, ReplicaUse
from snipebridge.rpc.control_pb2 import ReplicaPace as StatedPace

# A report counts for this long: five heartbeats.
REPORT_VALID_S = 2.0
# How often old reports are looked for.
_SWEEP_INTERVAL_S = 0.5


@dataclass(slots=True)
class _Load:
    running: int = 0
    backlog_ms: int = 0


_NOTHING = _Load()


@dataclass(slots=True, frozen=True)
class LoadOrder:
    """The replicas of one edition of the list, each once, in its order.

    Loads travel by place: names would be most of a heartbeat.
    """

    edition: int = 0
    replicas: tuple[str, ...] = ()


def make_load_order(edition: int, replicas: Iterable[str]) -> LoadOrder:
    """Return the order of a list; one named twice has its first place."""
    return LoadOrder(edition, tuple(dict.fromkeys(replicas)))


@dataclass(slots=True)
class _Report:
    heard_s: float
    loads: dict[str, _Load] = field(default_factory=dict)


class FleetLoads:
    """The last report of each entry, and the totals by replica."""

    __slots__ = ('_paces', '_reports', '_swept_s', '_totals')

    def __init__(self) -> None:
        """Start without a report."""
        self._reports: dict[str, _Report] = {}
        self._totals: dict[str, _Load] = {}
        self._paces: dict[str, ReplicaPace] = {}
        self._swept_s = 0.0

    def take(
        self, entry: str, uses: Iterable[ReplicaUse], now_s: float
    ) -> None:
        """Replace what an entry reported before."""
        self._drop(entry)
        report = _Report(now_s)
        for use in uses:
            report.loads[use.replica] = _Load(use.running, use.backlog_ms)
            total = self._totals.setdefault(use.replica, _Load())
            total.running += use.running
            total.backlog_ms += use.backlog_ms
        self._reports[entry] = report

    def take_paces(self, paces: Iterable[StatedPace], now_s: float) -> None:
        """Add the paces that replicas stated to an entry."""
        for stated in paces:
            pace = self._paces.setdefault(stated.replica, ReplicaPace())
            pace.add(stated.percent, now_s)

    def of_others(
        self, entry: str, order: LoadOrder, now_s: float
    ) -> ReplicaLoads:
        """Return what the other entries have under way, in a list's order."""
        self._sweep(now_s)
        own = self._reports.get(entry)
        mine = own.loads if own else {}
        totals = self._totals
        running = []
        backlog_ms = []
        for replica in order.replicas:
            total = totals.get(replica, _NOTHING)
            part = mine.get(replica, _NOTHING)
            running.append(total.running - part.running)
            backlog_ms.append(total.backlog_ms - part.backlog_ms)
        loads = ReplicaLoads(
            edition=order.edition, running=running, backlog_ms=backlog_ms
        )
        if self._paces:
            unknown = ReplicaPace()
            loads.pace_percent.extend(
                self._paces.get(replica, unknown).percent(now_s)
                for replica in order.replicas
            )
        return loads

    def _sweep(self, now_s: float) -> None:
        if now_s - self._swept_s < _SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        self._paces = {
            replica: pace
            for replica, pace in self._paces.items()
            if pace.percent(now_s)
        }
        for entry, report in list(self._reports.items()):
            if now_s - report.heard_s > REPORT_VALID_S:
                self._drop(entry)

    def _drop(self, entry: str) -> None:
        report = self._reports.pop(entry, None)
        if report is None:
            return
        for replica, load in report.loads.items():
            total = self._totals[replica]
            total.running -= load.running
            total.backlog_ms -= load.backlog_ms
            if not total.running and not total.backlog_ms:
                self._totals.pop(replica)
