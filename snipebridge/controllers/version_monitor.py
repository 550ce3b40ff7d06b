"""Estimates of the quality and speed of model versions at one entry.

The estimates come from responses, errors and ratings. The monitor also applies
the local stops of the roll-out guard and of drift detection.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from snipebridge.clock import Clock
from snipebridge.controllers.view import ConfigurationView, VersionView
from snipebridge.logs import log_decision
from snipebridge.policy.cascades import Scorer
from snipebridge.policy.drift import DriftDetector, make_drift_detector
from snipebridge.policy.quality import QualityEstimator, make_quality_estimator
from snipebridge.policy.rollout_guard import RolloutGuard, make_rollout_guard
from snipebridge.policy.rollout_types import RequestOutcome, RolloutPair
from snipebridge.policy.version_selection import make_version_selector
from snipebridge.policy.version_types import VersionCandidate, VersionChoice

MIN_GOOD_SCORE = 0.5
# Minimum traffic share of a version under roll-out that may get sessions.
MIN_SESSION_SHARE = 0.1
# Sensitivity and specificity assumed before the rater has been assessed.
ASSUMED_RATER_ACCURACY = 0.95
DEFAULT_SCORER = Scorer(
    sensitivity=ASSUMED_RATER_ACCURACY,
    specificity=ASSUMED_RATER_ACCURACY,
    threshold=MIN_GOOD_SCORE,
)
_SPEED_SMOOTHING = 0.05
_INITIAL_FIRST_TOKEN_S = 0.3
_INITIAL_TOKENS_PER_S = 50.0


@dataclass(slots=True)
class VersionSpeed:
    """Moving averages of the response speed of a version."""

    first_token_s: float = _INITIAL_FIRST_TOKEN_S
    tokens_per_s: float = _INITIAL_TOKENS_PER_S

    def update(self, first_token_s: float | None, tokens_per_s: float) -> None:
        """Add a response to the moving averages."""
        if first_token_s is not None:
            self.first_token_s += _SPEED_SMOOTHING * (
                first_token_s - self.first_token_s
            )
        if tokens_per_s > 0:
            self.tokens_per_s += _SPEED_SMOOTHING * (
                tokens_per_s - self.tokens_per_s
            )


@dataclass(slots=True)
class ResponseSummary:
    """The properties of a response that the monitor uses."""

    account: str
    version: str
    task: str
    length_class: str
    expected_quality: float
    # None for a response that was not streamed.
    first_token_s: float | None
    tokens_per_s: float


class VersionMonitor:
    """Tracks quality, speed and stops of each version at this entry."""

    __slots__ = (
        '_clock',
        '_drift',
        '_speeds',
        '_rng',
        'choice',
        'guard',
        'on_stop',
        'quality',
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        quality: QualityEstimator,
        choice: VersionChoice,
        guard: RolloutGuard,
        drift: DriftDetector,
    ) -> None:
        """Start without observations."""
        self._clock = clock
        self._rng = rng
        self._speeds: dict[str, VersionSpeed] = {}
        self.quality = quality
        self.choice = choice
        self.guard = guard
        self._drift = drift
        # Called when this entry stops a version on its own.
        self.on_stop: Callable[[], None] | None = None

    def set_view(self, view: ConfigurationView) -> None:
        """Apply the roll-outs of a new configuration."""
        self.guard.set_rollouts(
            RolloutPair(rollout.version, rollout.stable)
            for rollout in view.rollouts.values()
            if rollout.state == 'running'
            and view.versions[rollout.version].state == 'candidate'
        )

    def candidates(
        self, versions: Iterable[VersionView]
    ) -> list[VersionCandidate]:
        """Return the versions as input for the version selector."""
        return [self._make_candidate(version) for version in versions]

    def pick_candidate(self, stable: str, *, is_session: bool) -> str | None:
        """Return a version under roll-out to use instead, if any.

        All further requests of a session use the version it is bound to, so
        one binding exposes more than one request. Sessions are excluded
        while the traffic share of the version is small.
        """
        now_s = self._clock.monotonic_s()
        version = self.guard.pick_candidate(stable, now_s, self._rng)
        if version is None or not is_session:
            return version
        is_small = self.guard.share(version) < MIN_SESSION_SHARE
        return None if is_small else version

    def set_rater_available(self, *, available: bool) -> None:
        """Enable drafts and escalation only while responses can be rated."""
        self.choice.use_scorer(DEFAULT_SCORER if available else None)

    def record_response(self, summary: ResponseSummary) -> None:
        """Record a successful response and its speed."""
        speed = self._speeds.setdefault(summary.version, VersionSpeed())
        speed.update(summary.first_token_s, summary.tokens_per_s)
        outcome = RequestOutcome(first_token_s=summary.first_token_s)
        self._record_outcome(summary.version, outcome)
        self._record_result(summary.version, error=False)

    def record_error(self, version: str) -> None:
        """Record a request that a version failed."""
        self._record_outcome(version, RequestOutcome(error=True))
        self._record_result(version, error=True)

    def record_rating(self, summary: ResponseSummary, score: float) -> None:
        """Record the rating of a response, which arrives after its end."""
        good = score >= MIN_GOOD_SCORE
        self.quality.observe(
            summary.version,
            summary.task,
            summary.length_class,
            good,
            self._clock.monotonic_s(),
        )
        self.choice.record_rating(
            summary.account, summary.expected_quality, float(good)
        )
        self._record_outcome(
            summary.version, RequestOutcome(ended=False, good=good)
        )
        reason = self._drift.observe_rating(
            summary.version,
            summary.task,
            summary.length_class,
            good=good,
            now_s=self._clock.monotonic_s(),
        )
        self._report_stop(summary.version, reason)

    def is_stopped(self, version: str) -> bool:
        """Tell whether this entry stopped using a version on its own."""
        now_s = self._clock.monotonic_s()
        return self.guard.is_stopped(version) or self._drift.is_stopped(
            version, now_s
        )

    def _make_candidate(self, version: VersionView) -> VersionCandidate:
        speed = self._speeds.get(version.name) or VersionSpeed()
        return VersionCandidate(
            name=version.name,
            cost_micros_per_token=version.cost_micros_per_token,
            prior_quality=version.prior_quality,
            state=version.state,
            stopped=self.is_stopped(version.name),
            first_token_s=speed.first_token_s,
            tokens_per_s=speed.tokens_per_s,
        )

    def _record_outcome(self, version: str, outcome: RequestOutcome) -> None:
        now_s = self._clock.monotonic_s()
        reason = self.guard.record_outcome(version, outcome, now_s)
        self._report_stop(version, reason)

    def _record_result(self, version: str, *, error: bool) -> None:
        now_s = self._clock.monotonic_s()
        reason = self._drift.observe_result(version, error=error, now_s=now_s)
        self._report_stop(version, reason)

    def _report_stop(self, version: str, reason: str) -> None:
        if not reason:
            return
        log_decision('local_stop', version=version, reason=reason)
        if self.on_stop is not None:
            self.on_stop()


def make_version_monitor(
    clock: Clock, rng: random.Random, choice_kind: str = 'budget'
) -> VersionMonitor:
    """Return a monitor with a version selector of the given kind."""
    quality = make_quality_estimator()
    return VersionMonitor(
        clock=clock,
        rng=rng,
        quality=quality,
        choice=make_version_selector(choice_kind, quality),
        guard=make_rollout_guard(),
        drift=make_drift_detector(),
    )
