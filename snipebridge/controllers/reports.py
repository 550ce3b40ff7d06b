"""Aggregates the heartbeat reports of entries at the leader.

The data is soft state: a new leader starts empty and has all of it after one
or two heartbeats. A report that an entry resends because the reply was lost
counts once.

>>> reports = ReportAggregator()
>>> request = HeartbeatRequest(entry='e1', incarnation=1, report_id=1)
>>> reports.add(request, now_s=0.0)
True
>>> reports.add(request, now_s=0.5)
False
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from snipebridge.controllers.health_signals import HealthSignalStore
from snipebridge.controllers.quality import QualityStore
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    HeartbeatRequest,
    VersionOutcome,
)

# Demands of an entry expire this long after its last heartbeat.
DEMAND_VALID_S = 5.0


@dataclass(slots=True)
class VersionEvidence:
    """Sums over all requests of a version in this leadership."""

    answered: int = 0
    errors: int = 0
    rated: int = 0
    rated_good: int = 0
    rating_sum: float = 0.0
    rating_square_sum: float = 0.0
    first_tokens: int = 0
    first_token_s_sum: float = 0.0
    first_token_s_square_sum: float = 0.0
    # Entries that stopped sending requests to the version on their own.
    stopped_by: set[str] = field(default_factory=set)

    def add(self, entry: str, outcome: VersionOutcome) -> None:
        """Add the outcomes reported by an entry."""
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
    last_heartbeat_s: float = 0.0
    demands: Sequence[AccountDemand] = ()


class ReportAggregator:
    """Evidence, ratings, demands and health signals of the whole fleet."""

    __slots__ = ('_reporters', 'evidence', 'quality', 'signals')

    def __init__(self) -> None:
        """Start empty."""
        self.evidence: dict[str, VersionEvidence] = {}
        self.quality = QualityStore()
        self.signals = HealthSignalStore()
        self._reporters: dict[str, _Reporter] = {}

    def add(self, request: HeartbeatRequest, now_s: float) -> bool:
        """Add a report; return false for one that was added before.

        The report ids of a process start at 1 and increase.
        """
        reporter = self._reporter(request)
        if request.incarnation < reporter.incarnation:
            return False
        reporter.last_heartbeat_s = now_s
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
        """Return the last demands of each entry that sends heartbeats."""
        return {
            entry: reporter.demands
            for entry, reporter in sorted(self._reporters.items())
            if now_s - reporter.last_heartbeat_s <= DEMAND_VALID_S
        }

    def configure(self, document: dict) -> None:
        """Remove data of versions and upstreams no longer configured."""
        versions = document.get('versions', {})
        self.quality.keep_versions(versions)
        self.signals.keep_upstreams(document.get('upstreams', {}))
        for version in set(self.evidence) - set(versions):
            self.evidence.pop(version)

    def remove_entry(self, entry: str) -> None:
        """Remove an entry that left the fleet."""
        self._reporters.pop(entry, None)
        self._reset_reader(entry)

    def _reporter(self, request: HeartbeatRequest) -> _Reporter:
        reporter = self._reporters.get(request.entry)
        if reporter is None or request.incarnation > reporter.incarnation:
            reporter = _Reporter(request.incarnation)
            self._reporters[request.entry] = reporter
            self._reset_reader(request.entry)
        return reporter

    def _reset_reader(self, entry: str) -> None:
        self.quality.reset_reader(entry)
        self.signals.reset_reader(entry)
