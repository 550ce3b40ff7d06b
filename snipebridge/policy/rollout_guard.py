"""Enforces exposure grants at an entry and stops harmful candidates.

Requests are sent to a version under roll-out only within a valid grant. The
entry stops the version on the evidence of its own outcomes, without waiting
for a decision of control.
"""

import math
import random
from collections.abc import Iterable

from snipebridge.policy.evidence import (
    OutcomeSums,
    harm_evidence,
    share_bounds,
)
from snipebridge.policy.rollout_types import (
    Grant,
    RequestOutcome,
    RolloutPair,
    VersionReport,
)

# A run of errors stops a version if its probability at the allowed error share
# is at most this.
ERROR_RUN_ALPHA = 1e-6
# Probability that an entry ever stops a healthy version for its share of errors
# or of poor answers.
ENTRY_FALSE_STOP_ALPHA = 0.001
# Tolerated excess of the shares over those of the stable version.
POOR_MARGIN = 0.05
ERROR_MARGIN = 0.05
# With fewer outcomes of the stable version its shares are assumed to be the
# defaults below.
MIN_STABLE_OUTCOMES = 50
MAX_ALLOWED_SHARE = 0.99
DEFAULT_POOR_SHARE = 0.2
DEFAULT_ERROR_SHARE = 0.1


class _GrantState:
    """A grant and the number of requests sent under it."""

    __slots__ = ('expires_s', 'grant_id', 'requests', 'sent', 'share')

    def __init__(self, grant_id: int) -> None:
        self.grant_id = grant_id
        self.requests = 0
        self.sent = 0
        self.share = 0.0
        self.expires_s = 0.0

    def renew(self, grant: Grant, now_s: float) -> None:
        # Grants may arrive out of order; the request count never decreases.
        self.requests = max(self.requests, grant.requests)
        self.share = grant.share
        self.expires_s = max(self.expires_s, now_s + grant.valid_s)


class _VersionState:
    """Outcomes of one version at this entry."""

    __slots__ = ('error_run', 'stop_reason', 'total', 'unreported')

    def __init__(self) -> None:
        self.total = OutcomeSums()
        self.unreported = OutcomeSums()
        self.error_run = 0
        self.stop_reason = ''

    def add(self, outcome: RequestOutcome) -> None:
        sums = _sums_of(outcome)
        self.total.add(sums)
        self.unreported.add(sums)
        if outcome.ended:
            self.error_run = self.error_run + 1 if outcome.error else 0

    def reset(self) -> None:
        self.total = OutcomeSums()
        self.error_run = 0
        self.stop_reason = ''


class RolloutGuard:
    """Decides at an entry which requests a version under roll-out gets."""

    __slots__ = ('_grants', '_stable', '_versions')

    def __init__(self) -> None:
        """Start without roll-outs, so that no candidate gets requests."""
        self._stable: dict[str, str] = {}
        self._grants: dict[str, _GrantState] = {}
        self._versions: dict[str, _VersionState] = {}

    def set_rollouts(self, pairs: Iterable[RolloutPair]) -> None:
        """Set the running roll-outs of the current configuration.

        A new roll-out resets the outcomes of both its versions, except those
        not yet reported.
        """
        previous = self._stable
        self._stable = {pair.version: pair.stable for pair in pairs}
        for version, stable in self._stable.items():
            if version not in previous:
                self._reset_version(version)
                self._reset_version(stable)
        for version in set(self._grants) - set(self._stable):
            self._grants.pop(version)

    def apply_grant(self, grant: Grant, now_s: float) -> None:
        """Apply or renew a grant, requested from control at ``now_s``.

        A grant of an earlier leader, which has a lower id, is ignored.
        """
        grant_state = self._grants.get(grant.version)
        if grant_state is None or grant.grant_id > grant_state.grant_id:
            grant_state = _GrantState(grant.grant_id)
            self._grants[grant.version] = grant_state
        if grant.grant_id == grant_state.grant_id:
            grant_state.renew(grant, now_s)

    def pick_candidate(
        self,
        stable: str,
        now_s: float,
        rng: random.Random,
    ) -> str | None:
        """Return a candidate to use instead of the chosen version, if any.

        Call it only for new sessions and single requests, after the choice of
        the version. The candidate then gets a random sample of the requests
        of its stable version, which makes the two comparable.
        """
        for version, stable_version in self._stable.items():
            if stable_version != stable or not self.may_send(version, now_s):
                continue
            if rng.random() < self._grants[version].share:
                return version
        return None

    def share(self, version: str) -> float:
        """Return the share of the version's grant, or 0 without a grant."""
        grant_state = self._grants.get(version)
        return 0.0 if grant_state is None else grant_state.share

    def may_send(self, version: str, now_s: float) -> bool:
        """Return whether a valid grant permits one more request."""
        grant_state = self._grants.get(version)
        if grant_state is None or self.is_stopped(version):
            return False
        return (
            now_s < grant_state.expires_s
            and grant_state.sent < grant_state.requests
        )

    def record_sent(self, version: str) -> None:
        """Count a request against the grant, before it is sent."""
        grant_state = self._grants.get(version)
        if grant_state is not None:
            grant_state.sent += 1

    def record_outcome(
        self,
        version: str,
        outcome: RequestOutcome,
        now_s: float,
    ) -> str:
        """Record an outcome; return the reason if it stops the version."""
        state = self._versions.setdefault(version, _VersionState())
        state.add(outcome)
        if version not in self._stable or state.stop_reason:
            return ''
        state.stop_reason = self._harm_reason(version, state)
        return state.stop_reason

    def is_stopped(self, version: str) -> bool:
        """Return whether this entry stopped the version."""
        state = self._versions.get(version)
        return state is not None and bool(state.stop_reason)

    def pop_reports(self) -> list[VersionReport]:
        """Return the outcomes since the last call, for the heartbeat."""
        reports = []
        for version, state in self._versions.items():
            reports.append(
                VersionReport(
                    version, state.unreported, bool(state.stop_reason)
                ),
            )
            state.unreported = OutcomeSums()
        return reports

    def remove_version(self, version: str) -> None:
        """Remove the outcomes and the grant of a version."""
        self._versions.pop(version, None)
        self._grants.pop(version, None)

    def _reset_version(self, version: str) -> None:
        state = self._versions.get(version)
        if state is not None:
            state.reset()

    def _harm_reason(self, version: str, state: _VersionState) -> str:
        stable = self._versions.get(self._stable[version], _VersionState())
        if self._has_error_harm(state, stable.total):
            return 'errors'
        if (
            self._poor_harm_evidence(state.total, stable.total)
            >= _stop_threshold()
        ):
            return 'ratings'
        return ''

    def _has_error_harm(
        self,
        state: _VersionState,
        stable: OutcomeSums,
    ) -> bool:
        allowed_share = DEFAULT_ERROR_SHARE
        if stable.answered >= MIN_STABLE_OUTCOMES:
            allowed_share = _upper_bound(stable.errors, stable.answered)
        allowed_share = min(allowed_share + ERROR_MARGIN, MAX_ALLOWED_SHARE)
        # A run of errors detects a sudden failure after many good answers,
        # which the share of errors would show only later.
        if state.error_run * math.log(allowed_share) <= math.log(
            ERROR_RUN_ALPHA
        ):
            return True
        candidate = state.total
        return (
            harm_evidence(candidate.errors, candidate.answered, allowed_share)
            >= _stop_threshold()
        )

    def _poor_harm_evidence(
        self, candidate: OutcomeSums, stable: OutcomeSums
    ) -> float:
        allowed_share = DEFAULT_POOR_SHARE
        if stable.rated >= MIN_STABLE_OUTCOMES:
            allowed_share = _upper_bound(
                stable.rated - stable.rated_good, stable.rated
            )
        poor = candidate.rated - candidate.rated_good
        return harm_evidence(poor, candidate.rated, allowed_share + POOR_MARGIN)


def make_rollout_guard() -> RolloutGuard:
    """Return a guard without roll-outs and grants."""
    return RolloutGuard()


def _sums_of(outcome: RequestOutcome) -> OutcomeSums:
    sums = OutcomeSums()
    sums.answered = int(outcome.ended)
    sums.errors = int(outcome.error)
    if outcome.good is not None:
        sums.rated = 1
        sums.rated_good = int(outcome.good)
    if outcome.first_token_s is not None:
        sums.first_tokens = 1
        sums.first_token_s_sum = outcome.first_token_s
        sums.first_token_s_square_sum = outcome.first_token_s**2
    return sums


def _upper_bound(bad: int, total: int) -> float:
    return share_bounds(bad, total, ENTRY_FALSE_STOP_ALPHA)[1]


def _stop_threshold() -> float:
    return math.log(1 / ENTRY_FALSE_STOP_ALPHA)
