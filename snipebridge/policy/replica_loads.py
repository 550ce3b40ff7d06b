"""Load of one replica and of its pool, as estimated by an entry.

A delayed load report is corrected by the requests that the entry has
dispatched and completed since the report was measured.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from snipebridge.policy.replica_types import LoadReport, ReplicaView

REPORT_VALID_S = 5.0
MAX_COMPLETED = 1024
SLOW_START_S = 10.0
INITIAL_SERVICE_TIME_S = 1.0
INITIAL_PREFILL_S_PER_TOKEN = 0.0002
# Share of the other entries that is assumed to have made the same changes.
MIRRORED_SHARE = 0.5


@dataclass(slots=True)
class Dispatch:
    """A request of this entry that is in flight at a replica."""

    dispatched_s: float
    prefill_tokens: int
    expected_tokens: int
    was_idle: bool
    first_token_s: float | None = None


@dataclass(slots=True)
class TrackedReplica:
    """One replica and its load as known to this entry."""

    view: ReplicaView
    slots: int
    # Minus infinity for replicas present at the start: no slow start.
    live_since_s: float = float('-inf')
    measured_s: float = float('-inf')
    reported: int = 0
    correction: int = 0
    in_flight: dict[str, Dispatch] = field(default_factory=dict)
    # Dispatch and end times of the latest completed requests.
    completed: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_COMPLETED),
    )
    service_time_s: float = INITIAL_SERVICE_TIME_S
    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN

    def has_report(self, now_s: float) -> bool:
        """Return whether the last report is recent enough to be used."""
        return now_s - self.measured_s <= REPORT_VALID_S

    def outstanding(self, now_s: float) -> int:
        """Return the running and waiting requests known to this entry."""
        own = len(self.in_flight)
        if not self.has_report(now_s):
            return own
        return max(own, self.reported + self.correction)

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Replace an older report and recount the changes since then."""
        measured_s = now_s - report.age_s
        if measured_s < self.measured_s:
            return
        self.measured_s = measured_s
        self.reported = report.running + report.waiting
        self.slots = max(1, report.slots)
        started = sum(
            dispatch.dispatched_s > measured_s
            for dispatch in self.in_flight.values()
        )
        ended = sum(
            dispatched_s <= measured_s < end_s
            for dispatched_s, end_s in self.completed
        )
        self.correction = started - ended

    def slow_start_share(self, now_s: float) -> float:
        """Return the share of its full load that a new replica gets."""
        return min(1.0, (now_s - self.live_since_s) / SLOW_START_S)


@dataclass(slots=True)
class PoolLoad:
    """Mean load of the candidates, the reference for delayed reports.

    `entries` is the estimated number of entries that share the replicas.
    """

    reported_share: float
    correction_share: float
    entries: float

    def expected(self, replica: TrackedReplica, now_s: float) -> float:
        """Return the expected running and waiting requests at a replica.

        A deviation from the mean decays over the service time of a request.
        This entry's changes since the report, as far as they deviate from
        the mean, are scaled up by the changes that the other entries likely
        made on the same report.
        """
        own = len(replica.in_flight)
        if not replica.has_report(now_s):
            return own
        mean = self.reported_share * replica.slots
        age_s = now_s - replica.measured_s
        deviation = (replica.reported - mean) * math.exp(
            -age_s / replica.service_time_s
        )
        gain = max(1.0, MIRRORED_SHARE * self.entries)
        mean_correction = self.correction_share * replica.slots
        own_deviation = replica.correction - mean_correction
        change = mean_correction + gain * own_deviation
        return max(own, mean + deviation + change)
