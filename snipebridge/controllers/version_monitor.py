"""What an entry learns of versions from their answers and ratings."""

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

GOOD_SCORE = 0.5
# Share of a version under roll-out from which sessions may go to it.
LEAST_SESSION_SHARE = 0.1
# How far a score is trusted before anything is learned of the rater.
RATER_TRUST = 0.95
DEFAULT_SCORER = Scorer(
    sensitivity=RATER_TRUST,
    specificity=RATER_TRUST,
    threshold=GOOD_SCORE,
)
_PACE_SMOOTHING = 0.05
_INITIAL_FIRST_TOKEN_S = 0.3
_INITIAL_TOKENS_PER_S = 50.0


@dataclass(slots=True)
class VersionPace:
    """How fast a version has answered lately."""

    first_token_s: float = _INITIAL_FIRST_TOKEN_S
    tokens_per_s: float = _INITIAL_TOKENS_PER_S

    def learn(self, first_token_s: float | None, tokens_per_s: float) -> None:
        """Move a step towards one more answer."""
        if first_token_s is not None:
            self.first_token_s += _PACE_SMOOTHING * (
                first_token_s - self.first_token_s
            )
        if tokens_per_s > 0:
            self.tokens_per_s += _PACE_SMOOTHING * (
                tokens_per_s - self.tokens_per_s
            )


@dataclass(slots=True)
class ResponseSummary:
    """One answer as far as learning needs it."""

    account: str
    version: str
    task: str
    length_class: str
    expected_quality: float
    # None for an answer that came whole.
    first_token_s: float | None
    tokens_per_s: float


class VersionMonitor:
    """Quality, pace and suspicion of each version, at this entry."""

    __slots__ = (
        '_clock',
        '_drift',
        '_paces',
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
        """Start with nothing learned."""
        self._clock = clock
        self._rng = rng
        self._paces: dict[str, VersionPace] = {}
        self.quality = quality
        self.choice = choice
        self.guard = guard
        self._drift = drift
        # Called when this entry stops a version by itself.
        self.on_stop: Callable[[], None] | None = None

    def set_view(self, view: ConfigurationView) -> None:
        """Take the roll-outs of a new configuration."""
        self.guard.set_rollouts(
            RolloutPair(rollout.version, rollout.stable)
            for rollout in view.rollouts.values()
            if rollout.state == 'running'
            and view.versions[rollout.version].state == 'candidate'
        )

    def candidates(
        self, versions: Iterable[VersionView]
    ) -> list[VersionCandidate]:
        """Return the versions as the choice wants them."""
        return [self._candidate(version) for version in versions]

    def pick_candidate(self, stable: str, *, is_session: bool) -> str | None:
        """Return a version under roll-out to use instead, if any.

        A session stays on its version for all that follows, so that one
        binding exposes more than one request. Sessions are left out while
        the share of the version is small.
        """
        now_s = self._clock.monotonic_s()
        version = self.guard.pick_candidate(stable, now_s, self._rng)
        if version is None or not is_session:
            return version
        is_small = self.guard.share(version) < LEAST_SESSION_SHARE
        return None if is_small else version

    def set_rater_available(self, *, available: bool) -> None:
        """Draft and escalate only while answers can be rated."""
        self.choice.use_scorer(DEFAULT_SCORER if available else None)

    def record_response(self, facts: ResponseSummary) -> None:
        """Learn the pace of an answer that ended well."""
        pace = self._paces.setdefault(facts.version, VersionPace())
        pace.learn(facts.first_token_s, facts.tokens_per_s)
        outcome = RequestOutcome(first_token_s=facts.first_token_s)
        self._note_outcome(facts.version, outcome)
        self._note_end(facts.version, error=False)

    def record_error(self, version: str) -> None:
        """Learn that a version failed a request."""
        self._note_outcome(version, RequestOutcome(error=True))
        self._note_end(version, error=True)

    def record_rating(self, facts: ResponseSummary, score: float) -> None:
        """Learn the rating of an answer, which comes after its end."""
        good = score >= GOOD_SCORE
        self.quality.observe(
            facts.version,
            facts.task,
            facts.length_class,
            good,
            self._clock.monotonic_s(),
        )
        self.choice.record_rating(
            facts.account, facts.expected_quality, float(good)
        )
        self._note_outcome(
            facts.version, RequestOutcome(ended=False, good=good)
        )
        reason = self._drift.observe_rating(
            facts.version,
            facts.task,
            facts.length_class,
            good=good,
            now_s=self._clock.monotonic_s(),
        )
        self._tell_stop(facts.version, reason)

    def is_stopped(self, version: str) -> bool:
        """Tell whether this entry gives a version no work by itself."""
        now_s = self._clock.monotonic_s()
        return self.guard.is_stopped(version) or self._drift.is_stopped(
            version, now_s
        )

    def _candidate(self, version: VersionView) -> VersionCandidate:
        pace = self._paces.get(version.name) or VersionPace()
        return VersionCandidate(
            name=version.name,
            cost_micros_per_token=version.cost_micros_per_token,
            prior_quality=version.prior_quality,
            state=version.state,
            stopped=self.is_stopped(version.name),
            first_token_s=pace.first_token_s,
            tokens_per_s=pace.tokens_per_s,
        )

    def _note_outcome(self, version: str, outcome: RequestOutcome) -> None:
        now_s = self._clock.monotonic_s()
        reason = self.guard.record_outcome(version, outcome, now_s)
        self._tell_stop(version, reason)

    def _note_end(self, version: str, *, error: bool) -> None:
        now_s = self._clock.monotonic_s()
        reason = self._drift.observe_result(version, error=error, now_s=now_s)
        self._tell_stop(version, reason)

    def _tell_stop(self, version: str, reason: str) -> None:
        if not reason:
            return
        log_decision('local_stop', version=version, reason=reason)
        if self.on_stop is not None:
            self.on_stop()


def make_version_monitor(
    clock: Clock, rng: random.Random, choice_kind: str = 'budget'
) -> VersionMonitor:
    """Return learning around the version choice of a kind."""
    quality = make_quality_estimator()
    return VersionMonitor(
        clock=clock,
        rng=rng,
        quality=quality,
        choice=make_version_selector(choice_kind, quality),
        guard=make_rollout_guard(),
        drift=make_drift_detector(),
    )
