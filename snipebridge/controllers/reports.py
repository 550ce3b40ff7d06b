"""What the entries report, merged by the leader.

Soft state: a new leader starts empty and fills up within a heartbeat or
two. A report that an entry resends, because its reply was lost, counts
once.

>>> reports = ReportAggregator()
>>> request = HeartbeatRequest(entry='e1', incarnation=1, report_id=1)
>>> reports.add(request, now_s=0.0)
True
>>> reports.add(request, now_s=0.5)
False
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from snipebridge.controllers.quality import QualityStore
from snipebridge.controllers.health_signals import HealthSignalStore
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    HeartbeatRequest,
    VersionOutcome,
)

# Demands of an entry that has been silent for so long count no more.
DEMAND_VALID_S = 5.0


@dataclass(slots=True)
class VersionEvidence:
    """What all requests of one version came to in this leadership."""

    answered: int = 0
    errors: int = 0
    rated: int = 0
    rated_good: int = 0
    rating_sum: float = 0.0
    rating_square_sum: float = 0.0
    first_tokens: int = 0
    first_token_s_sum: float = 0.0
    first_token_s_square_sum: float = 0.0
    # Entries that give the version no new work by their own decision.
    stopped_by: set[str] = field(default_factory=set)

    def add(self, entry: str, outcome: VersionOutcome) -> None:
        """Add one report of an entry."""
        self.answered += outcome.answered
        self.errors += outcome.errors
        self.rated += outcome.rated
        self.rated_good += outcome.rated_good
        self.rating_sum += outcome.rating_sum
        self.rating_square_sum += outcome.rating_square_sum
        self.first_tokens += outcome.first_tokens
        self.first_token_s_sum += outcome.first_token_s_sum
        self.first_token_s_square_sum += outcome.first_token_s_square_sum
        if outcome.stopped:
            self.stopped_by.add(entry)
        else:
            self.stopped_by.discard(entry)


@dataclass(slots=True)
class _Reporter:
    incarnation: int
    report_id: int = 0
    heard_s: float = 0.0
    demands: Sequence[AccountDemand] = ()


class ReportAggregator:
    """Evidence, ratings, demands and signs of the whole fleet."""

    __slots__ = ('_reporters', 'evidence', 'quality', 'signals')

    def __init__(self) -> None:
        """Start empty."""
        self.evidence: dict[str, VersionEvidence] = {}
        self.quality = QualityStore()
        self.signals = HealthSignalStore()
        self._reporters: dict[str, _Reporter] = {}

    def add(self, request: HeartbeatRequest, now_s: float) -> bool:
        """Merge a report; false when it was counted before.

        Report ids of one process start at 1 and grow.
        """
        reporter = self._reporter(request)
        if request.incarnation < reporter.incarnation:
            return False
        reporter.heard_s = now_s
        if request.report_id <= reporter.report_id:
            return False
        reporter.report_id = request.report_id
        reporter.demands = tuple(request.demands)
        for outcome in request.outcomes:
            evidence = self.evidence.setdefault(
                outcome.version, VersionEvidence()
            )
            evidence.add(request.entry, outcome)
        self.quality.add(request.entry, request.quality, now_s)
        self.signals.acknowledge(request.entry)
        for sign in request.signs:
            self.signals.add(sign, now_s)
        return True

    def demands(self, now_s: float) -> Mapping[str, Sequence[AccountDemand]]:
        """Return the last demands of each entry that still reports."""
        return {
            entry: reporter.demands
            for entry, reporter in sorted(self._reporters.items())
            if now_s - reporter.heard_s <= DEMAND_VALID_S
        }

    def configure(self, document: dict) -> None:
        """Drop what is about versions and upstreams that are gone."""
        versions = document.get('versions', {})
        self.quality.keep_versions(versions)
        self.signals.keep_upstreams(document.get('upstreams', {}))
        for version in set(self.evidence) - set(versions):
            self.evidence.pop(version)

    def remove_entry(self, entry: str) -> None:
        """Drop an entry that has left for good."""
        self._reporters.pop(entry, None)
        self._forget_reader(entry)

    def _reporter(self, request: HeartbeatRequest) -> _Reporter:
        known = self._reporters.get(request.entry)
        if known is None or request.incarnation > known.incarnation:
            known = _Reporter(request.incarnation)
            self._reporters[request.entry] = known
            self._forget_reader(request.entry)
        return known

    def _forget_reader(self, entry: str) -> None:
        self.quality.reset_reader(entry)
        self.signals.reset_reader(entry)
