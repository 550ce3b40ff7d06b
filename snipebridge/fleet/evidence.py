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

from collections import Counter
from collections.abc import Iterable

from snipebridge.policy.version_records import (
    Stratum,
    StratumCounts,
    VersionRecord,
)
from snipebridge.rpc.control_pb2 import OutcomeStratum, SoftwareOutcome

_Rollout = tuple[str, int]


class SoftwareEvidence:
    """The last report of each entry process, and the sums of all."""

    __slots__ = ('_reported', '_sums')

    def __init__(self) -> None:
        """Start without a report."""
        self._reported: dict[tuple[str, str, str, int], VersionRecord] = {}
        # Kept up as reports come: hundreds of entries report several times
        # a second.
        self._sums: dict[_Rollout, dict[str, VersionRecord]] = {}

    def take(self, process: str, outcomes: Iterable[SoftwareOutcome]) -> None:
        """Replace what a process reported before."""
        for one in outcomes:
            key = (process, one.service, one.software, one.rollout)
            before = self._reported.get(key, VersionRecord())
            after = _record(one)
            sums = self._sums.setdefault((one.service, one.rollout), {})
            total = sums.setdefault(one.software, VersionRecord())
            total.replace_sums(before, after)
            after.strata = {**before.strata, **after.strata}
            self._reported[key] = after

    def records(self, service: str, rollout: int) -> dict[str, VersionRecord]:
        """Return the sums by software version of one roll-out."""
        sums = self._sums.get((service, rollout), {})
        return {software: record.copy() for software, record in sums.items()}


def write_stratum(stratum: Stratum, counts: StratumCounts) -> OutcomeStratum:
    """Return the message of the counts of a stratum."""
    times = [(bucket, count) for bucket, count in counts.times.items() if count]
    return OutcomeStratum(
        route=stratum.route,
        model=stratum.model,
        is_stream=stratum.is_stream,
        answered=counts.answered,
        failed=counts.failed,
        late=counts.late,
        in_time=counts.in_time,
        time_buckets=[bucket for bucket, _ in times],
        time_counts=[count for _, count in times],
    )


def _record(outcome: SoftwareOutcome) -> VersionRecord:
    record = VersionRecord(
        outcome.answered,
        outcome.failed,
        outcome.slow,
        outcome.sent,
        outcome.untimed,
    )
    if outcome.has_strata:
        record.strata = dict(_read_stratum(one) for one in outcome.strata)
    else:
        record.strata = record.by_stratum()
    return record


def _read_stratum(told: OutcomeStratum) -> tuple[Stratum, StratumCounts]:
    stratum = Stratum(told.route, told.model, told.is_stream)
    times = zip(told.time_buckets, told.time_counts, strict=False)
    counts = StratumCounts(
        told.answered,
        told.failed,
        told.late,
        told.in_time,
        Counter(dict(times)),
    )
    return stratum, counts
