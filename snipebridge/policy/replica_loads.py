"""What an entry knows of the load of one replica and of its pool.

A lagged report is corrected by the entry's own dispatches and ends since the
report was measured.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from snipebridge.policy.replica_types import LoadReport, ReplicaView

REPORT_VALID_S = 5.0
REMEMBERED_ENDS = 1024
SLOW_START_S = 10.0
INITIAL_HOLD_S = 1.0
INITIAL_PREFILL_S_PER_TOKEN = 0.0002
# Share of the other entries' changes that is taken to mirror the own ones.
MIRRORED_SHARE = 0.5


@dataclass(slots=True)
class Dispatch:
    """An own request that a replica has not ended yet."""

    at_s: float
    prefill_tokens: int
    expected_tokens: int
    was_idle: bool
    first_token_s: float | None = None


@dataclass(slots=True)
class TrackedReplica:
    """One replica and what this entry knows of its load."""

    view: ReplicaView
    slots: int
    # Infinitely long ago for the replicas present at the start.
    live_since_s: float = float('-inf')
    measured_s: float = float('-inf')
    reported: int = 0
    correction: int = 0
    in_flight: dict[str, Dispatch] = field(default_factory=dict)
    # Moments of dispatch and end of the latest own requests that ended.
    ends: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_ENDS),
    )
    hold_s: float = INITIAL_HOLD_S
    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN

    def has_report(self, now_s: float) -> bool:
        """Tell whether the last report is young enough to count."""
        return now_s - self.measured_s <= REPORT_VALID_S

    def outstanding(self, now_s: float) -> int:
        """Return what runs or waits, going by report and own changes."""
        own = len(self.in_flight)
        if not self.has_report(now_s):
            return own
        return max(own, self.reported + self.correction)

    def take_report(self, report: LoadReport, now_s: float) -> None:
        """Replace an older report and recount the own changes since."""
        measured_s = now_s - report.age_s
        if measured_s < self.measured_s:
            return
        self.measured_s = measured_s
        self.reported = report.running + report.waiting
        self.slots = max(1, report.slots)
        started = sum(
            dispatch.at_s > measured_s for dispatch in self.in_flight.values()
        )
        ended = sum(at_s <= measured_s < end_s for at_s, end_s in self.ends)
        self.correction = started - ended

    def warmth(self, now_s: float) -> float:
        """Return the share of its work that a new replica gets by now."""
        return min(1.0, (now_s - self.live_since_s) / SLOW_START_S)


@dataclass(slots=True)
class PoolLoad:
    """The mean load of the candidates, by which lagged reports are judged.

    `entries` estimates how many entries like this one share the replicas.
    """

    reported_share: float
    correction_share: float
    entries: float

    def expected(self, track: TrackedReplica, now_s: float) -> float:
        """Return what is expected to run or wait at a replica by now.

        A deviation from the mean fades within the time that a request runs.
        Own changes since the report, as far as they deviate from the mean,
        count for those that the other entries made on the same report.
        """
        own = len(track.in_flight)
        if not track.has_report(now_s):
            return own
        mean = self.reported_share * track.slots
        age_s = now_s - track.measured_s
        deviation = (track.reported - mean) * math.exp(-age_s / track.hold_s)
        gain = max(1.0, MIRRORED_SHARE * self.entries)
        mean_correction = self.correction_share * track.slots
        own_deviation = track.correction - mean_correction
        change = mean_correction + gain * own_deviation
        return max(own, mean + deviation + change)
