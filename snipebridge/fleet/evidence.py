"""What the entries saw of the software versions of each service.

An entry process reports its own sums since the order of a roll-out, so a
report that is resent, or that comes to a new leader, counts once.

>>> evidence = SoftwareEvidence()
>>> outcome = SoftwareOutcome(service='s', software='v2', rollout=1, answered=3)
>>> evidence.take('e1/7', [outcome])
>>> evidence.take('e1/7', [outcome])
>>> evidence.records('s', 1)['v2'].answered
3
"""

from collections.abc import Iterable

from snipebridge.policy.software_rollouts import VersionRecord
from snipebridge.rpc.control_pb2 import SoftwareOutcome


class SoftwareEvidence:
    """The last report of each entry process."""

    __slots__ = ('_outcomes',)

    def __init__(self) -> None:
        """Start without a report."""
        self._outcomes: dict[tuple[str, str, str, int], SoftwareOutcome] = {}

    def take(self, process: str, outcomes: Iterable[SoftwareOutcome]) -> None:
        """Replace what a process reported before."""
        for one in outcomes:
            key = (process, one.service, one.software, one.rollout)
            self._outcomes[key] = one

    def records(self, service: str, rollout: int) -> dict[str, VersionRecord]:
        """Return the sums by software version of one roll-out."""
        records: dict[str, VersionRecord] = {}
        for (_, name, software, number), outcome in self._outcomes.items():
            if (name, number) == (service, rollout):
                record = records.setdefault(software, VersionRecord())
                record.add(_record(outcome))
        return records


def _record(outcome: SoftwareOutcome) -> VersionRecord:
    return VersionRecord(
        outcome.answered,
        outcome.failed,
        outcome.slow,
        outcome.sent,
        outcome.untimed,
    )
