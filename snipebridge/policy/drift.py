"""Detects versions whose quality or error rate degrades while in service.

A version is compared with its own baseline in each cell, so a change in the
mix of requests raises no alarm. The detector is an e-detector of the
Shiryaev-Roberts form, which sums e-values over all possible change points. As
long as the share of bad outcomes is at most the expected one, the mean number
of observations between two false alarms is at least the configured average
run length. The expected share is an upper bound learned from the baseline.

An entry stops the version at once and reports the stop. Control aggregates
the reports of the fleet and proposes the withdrawal, which takes effect as a
numbered configuration change.

>>> detector = make_drift_detector(LOCAL_RUN_LENGTH)
>>> for number in range(200):
...     _ = detector.observe_result('small@1', error=False, now_s=0.0)
>>> [
...     detector.observe_result('small@1', error=True, now_s=1.0)
...     for number in range(6)
... ][-1]
'errors'
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from snipebridge.policy.change_detection import ChangeDetector
from snipebridge.policy.quality import QualityCell

# Average run length: minimum mean number of observations between false alarms,
# per version and kind of outcome.
LOCAL_RUN_LENGTH = 1e8
FLEET_RUN_LENGTH = 1e9
# Lower limits of the expected shares, also for a baseline without bad outcomes.
MIN_POOR_SHARE = 0.02
MIN_ERROR_SHARE = 0.01
# First and longest duration for which an entry stops a version by itself.
INITIAL_STOP_S = 60.0
MAX_STOP_S = 960.0
# Number of entries whose own stops trigger a withdrawal proposal.
STOPPED_ENTRIES_LIMIT = 2

_ERRORS = 'errors'
_RATINGS = 'ratings'


@dataclass(slots=True)
class WithdrawalProposal:
    """A version to withdraw and the reason."""

    version: str
    reason: str


class _VersionState:
    """Change detectors and stop of one version."""

    __slots__ = ('errors', 'ratings', 'stop_ends_s', 'stop_s')

    def __init__(self) -> None:
        self.errors = ChangeDetector(MIN_ERROR_SHARE)
        self.ratings = ChangeDetector(MIN_POOR_SHARE)
        self.stop_ends_s = -math.inf
        self.stop_s = INITIAL_STOP_S

    def stop(self, now_s: float) -> None:
        self.stop_ends_s = now_s + self.stop_s
        self.stop_s = min(2 * self.stop_s, MAX_STOP_S)
        self.errors.reset()
        self.ratings.reset()


class DriftDetector:
    """Monitors versions in service, at an entry or for the whole fleet.

    A stop expires after a time that doubles with each stop, so a false alarm
    that control does not confirm is temporary. The baseline is kept: a version
    that is still bad is stopped again after a few outcomes.
    """

    __slots__ = ('_log_limit', '_versions')

    def __init__(self, run_length: float) -> None:
        """Set the minimum mean number of observations per false alarm."""
        self._log_limit = math.log(run_length)
        self._versions: dict[str, _VersionState] = {}

    def observe_result(
        self,
        version: str,
        *,
        error: bool,
        now_s: float,
    ) -> str:
        """Add the result of a request; return the reason of a new stop.

        Only faults of the version count as errors, such as a malformed or
        empty answer. An upstream that is overloaded or unreachable says
        nothing about the version.
        """
        return self.observe_results(version, int(error), 1, now_s)

    def observe_results(
        self,
        version: str,
        errors: float,
        total: float,
        now_s: float,
    ) -> str:
        """Add the results of several requests; return the reason of a stop."""
        state = self._state(version)
        alarm = state.errors.observe(('', ''), errors, total, self._log_limit)
        return _stop(state, _ERRORS, now_s) if alarm else ''

    def observe_rating(
        self,
        version: str,
        task: str,
        length_class: str,
        *,
        good: bool,
        now_s: float,
    ) -> str:
        """Add one rating; return the reason of a new stop."""
        cell = QualityCell(version, task, length_class, int(good), 1)
        return self.observe_ratings(cell, now_s)

    def observe_ratings(self, cell: QualityCell, now_s: float) -> str:
        """Add the ratings of a cell; return the reason of a new stop."""
        state = self._state(cell.version)
        alarm = state.ratings.observe(
            (cell.task, cell.length_class),
            cell.total - cell.good,
            cell.total,
            self._log_limit,
        )
        return _stop(state, _RATINGS, now_s) if alarm else ''

    def is_stopped(self, version: str, now_s: float) -> bool:
        """Tell whether a stop of the version is in effect."""
        state = self._versions.get(version)
        return state is not None and now_s < state.stop_ends_s

    def forget(self, version: str) -> None:
        """Drop a version that was removed from the configuration."""
        self._versions.pop(version, None)

    def _state(self, version: str) -> _VersionState:
        state = self._versions.get(version)
        if state is None:
            state = _VersionState()
            self._versions[version] = state
        return state


class FleetDrift:
    """Aggregates the reports of all entries and proposes withdrawals."""

    __slots__ = ('_detector', '_proposals', '_stops')

    def __init__(self, run_length: float) -> None:
        """Set the minimum mean number of observations per false alarm."""
        self._detector = DriftDetector(run_length)
        self._stops: dict[str, set[str]] = {}
        self._proposals: dict[str, str] = {}

    def report_ratings(
        self,
        cells: Iterable[QualityCell],
        now_s: float,
    ) -> None:
        """Add the rating deltas of one entry's heartbeat."""
        for cell in cells:
            self._propose(
                cell.version,
                self._detector.observe_ratings(cell, now_s),
            )

    def report_ends(
        self,
        version: str,
        errors: int,
        answered: int,
        now_s: float,
    ) -> None:
        """Add the request results of one entry's heartbeat."""
        if answered:
            self._propose(
                version,
                self._detector.observe_results(
                    version, errors, answered, now_s
                ),
            )

    def report_stop(
        self,
        entry: str,
        version: str,
        *,
        stopped: bool,
        entry_count: int,
    ) -> None:
        """Record whether an entry currently stops the version."""
        entries = self._stops.setdefault(version, set())
        if not stopped:
            entries.discard(entry)
            return
        entries.add(entry)
        if len(entries) >= min(STOPPED_ENTRIES_LIMIT, entry_count):
            self._propose(version, 'stopped_by_entries')

    def proposals(self) -> list[WithdrawalProposal]:
        """Return the versions to withdraw; they stay until `forget`."""
        return [
            WithdrawalProposal(version, reason)
            for version, reason in self._proposals.items()
        ]

    def forget(self, version: str) -> None:
        """Drop a version that was withdrawn or that operators keep."""
        self._detector.forget(version)
        self._stops.pop(version, None)
        self._proposals.pop(version, None)

    def _propose(self, version: str, reason: str) -> None:
        if reason:
            self._proposals.setdefault(version, reason)


def make_drift_detector(run_length: float = LOCAL_RUN_LENGTH) -> DriftDetector:
    """Return a detector without observations, for an entry."""
    return DriftDetector(run_length)


def make_fleet_drift(run_length: float = FLEET_RUN_LENGTH) -> FleetDrift:
    """Return a fleet detector without reports, for control."""
    return FleetDrift(run_length)


def _stop(state: _VersionState, reason: str, now_s: float) -> str:
    state.stop(now_s)
    return reason
