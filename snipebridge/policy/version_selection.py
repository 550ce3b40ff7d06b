"""Selects the version that answers a request, by quality and cost.

A client account's target is a share of good answers over all its requests,
not a bound for each request. Cheap versions may therefore answer some
requests as long as the average meets the target. The ``budget`` rule trades
the cost of each option against its expected quality at a price per good
answer. The price rises while the account's answers are below the target and
falls while they are above it, which converges to the cheapest mix that meets
the target.

>>> from snipebridge.policy.quality import make_quality_estimator
>>> selector = make_version_selector('cheapest', make_quality_estimator())
>>> candidates = [
...     VersionCandidate('small@1', 10.0, 0.9),
...     VersionCandidate('large@1', 90.0, 0.98),
... ]
>>> request = VersionRequest('studio-a', 0.95, 'summary', 'short', 100, 50)
>>> selector.choose(request, candidates, 0.0, random.Random(1)).version
'small@1'
"""

import random
from collections.abc import Sequence

from snipebridge.policy.cascades import Scorer, estimate_cascade
from snipebridge.policy.quality import QualityEstimator
from snipebridge.policy.version_rules import (
    VersionRule,
    make_version_rule,
    provisional_quality,
)
from snipebridge.policy.version_types import (
    CANDIDATE,
    CASCADE,
    LIVE_PRIORITY,
    SERVING,
    SINGLE,
    WITHDRAWN,
    NoVersionError,
    VersionCandidate,
    VersionChoice,
    VersionDecision,
    VersionOption,
    VersionRequest,
)

# Share of requests, other than live work, that may explore.
EXPLORATION_RATE = 0.1
# Cells with at least this many ratings are not explored.
EXPLORATION_MAX_RATINGS = 40.0
# A version is explored only if its optimistic quality, the mean plus the distance
# to the lower bound, is at most this far below the target.
EXPLORATION_QUALITY_SLACK = 0.05
# Explored requests per version and cell within one window.
EXPLORATION_LIMIT = 30
EXPLORATION_WINDOW_S = 600.0
# Explored requests allowed before the first rating, and in addition for each
# rating of the cell.
EXPLORATION_UNRATED_LIMIT = 4
EXPLORATION_LIMIT_PER_RATING = 2.0
# Minimum expected saving of a cascade relative to the strong version alone;
# below it, the added latency is not worthwhile.
CASCADE_MIN_SAVING = 0.1


class _ExplorationLimiter:
    """Limits how often versions with few ratings are tried."""

    __slots__ = ('_counts', '_window_ends_s', 'rate')

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._counts: dict[tuple[str, str, str], int] = {}
        self._window_ends_s = 0.0

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        now_s: float,
        rng: random.Random,
    ) -> VersionOption | None:
        if request.priority <= LIVE_PRIORITY or rng.random() >= self.rate:
            return None
        if now_s >= self._window_ends_s:
            self._counts.clear()
            self._window_ends_s = now_s + EXPLORATION_WINDOW_S
        max_cost_micros = max(option.cost_micros for option in options)
        explorable = [
            option
            for option in options
            if option.cost_micros < max_cost_micros
            and self._may_explore(request, option)
        ]
        if not explorable:
            return None
        option = rng.choice(explorable)
        key = _cell_key(request, option)
        self._counts[key] = self._counts.get(key, 0) + 1
        return option

    def _may_explore(
        self, request: VersionRequest, option: VersionOption
    ) -> bool:
        if option.weight >= EXPLORATION_MAX_RATINGS:
            return False
        # A version that is unlikely to meet the target is not worth exploring.
        optimistic_quality = 2 * option.quality - option.lower
        if (
            optimistic_quality
            < request.quality_target - EXPLORATION_QUALITY_SLACK
        ):
            return False
        # Unrated requests yield no information, so the limit grows with the
        # number of ratings.
        limit = (
            EXPLORATION_UNRATED_LIMIT
            + EXPLORATION_LIMIT_PER_RATING * option.weight
        )
        count = self._counts.get(_cell_key(request, option), 0)
        return count < min(limit, EXPLORATION_LIMIT)


class VersionSelector:
    """Estimates the cost and quality of candidates and applies a rule."""

    __slots__ = ('_estimator', '_exploration', '_rule', '_scorer')

    def __init__(
        self,
        rule: VersionRule,
        estimator: QualityEstimator,
        scorer: Scorer | None,
        exploration_rate: float,
    ) -> None:
        """Apply the rule to the estimator's quality estimates."""
        self._rule = rule
        self._estimator = estimator
        self._scorer = scorer
        self._exploration = _ExplorationLimiter(exploration_rate)

    def choose(
        self,
        request: VersionRequest,
        candidates: Sequence[VersionCandidate],
        now_s: float,
        rng: random.Random,
    ) -> VersionDecision:
        """Return the decision; raise `NoVersionError` if none is eligible."""
        session_candidate = _session_candidate(request, candidates)
        if session_candidate is not None:
            option = self._estimate_option(request, session_candidate, now_s)
            self._rule.record_selection(request, option)
            return _decision(option, 'session', [option])
        eligible, reason = _eligible(candidates)
        options = [
            self._estimate_option(request, one, now_s) for one in eligible
        ]
        options = _within_deadline(request, options)
        explored = self._exploration.pick(request, options, now_s, rng)
        if explored is None:
            options.extend(self._cascade_options(request, options))
            option = self._rule.pick(request, options, rng)
        else:
            option = explored
            reason = 'exploration'
        self._rule.record_selection(request, option)
        return _decision(option, reason, options)

    def record_rating(
        self,
        account: str,
        expected_quality: float,
        good: float,
    ) -> None:
        """Replace the expected quality of an answer with its rating."""
        self._rule.record_rating(account, expected_quality, good)

    def use_scorer(self, scorer: Scorer | None) -> None:
        """Set the scorer for cascades; None while the rater is down."""
        self._scorer = scorer

    def _estimate_option(
        self,
        request: VersionRequest,
        candidate: VersionCandidate,
        now_s: float,
    ) -> VersionOption:
        estimate = self._estimator.estimate(
            candidate.name,
            request.task,
            request.length_class,
            candidate.prior_quality,
            now_s,
        )
        completion_tokens = request.expected_completion_tokens
        tokens = request.prompt_tokens + completion_tokens
        return VersionOption(
            candidate.name,
            None,
            tokens * candidate.cost_micros_per_token,
            estimate.mean,
            estimate.lower,
            candidate.first_token_s
            + completion_tokens / candidate.tokens_per_s,
            estimate.weight,
        )

    def _cascade_options(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
    ) -> list[VersionOption]:
        scorer = self._scorer
        # A streamed draft cannot be replaced once its first tokens are sent.
        if scorer is None or not scorer.available or request.streamed:
            return []
        strong = max(options, key=_quality)
        max_cascade_cost_micros = strong.cost_micros * (1 - CASCADE_MIN_SAVING)
        cascades = []
        best_quality = 0.0
        for draft in sorted(options, key=_cost_micros):
            if draft.cost_micros >= max_cascade_cost_micros:
                break
            # A more expensive draft of no higher quality cannot improve the
            # cascade.
            if draft.quality <= best_quality:
                continue
            best_quality = draft.quality
            cascade = _cascade_option(draft, strong, scorer)
            if cascade.cost_micros > max_cascade_cost_micros:
                continue
            if _meets_deadline(request, cascade.latency_s):
                cascades.append(cascade)
        return cascades


def make_version_selector(
    kind: str,
    estimator: QualityEstimator,
    *,
    scorer: Scorer | None = None,
    exploration_rate: float = EXPLORATION_RATE,
) -> VersionChoice:
    """Return a selector that uses the rule of the given kind.

    ``budget`` is the rule that the router uses. ``bound`` and
    ``running_share`` are alternatives for comparison; ``strongest``,
    ``cheapest`` and ``fixed_split`` are baselines without exploration and
    cascades.
    """
    rule = make_version_rule(kind)
    if not rule.is_adaptive:
        return VersionSelector(rule, estimator, None, 0.0)
    return VersionSelector(rule, estimator, scorer, exploration_rate)


def _session_candidate(
    request: VersionRequest,
    candidates: Sequence[VersionCandidate],
) -> VersionCandidate | None:
    if request.session_version is None:
        return None
    for candidate in candidates:
        if candidate.name == request.session_version:
            return candidate if candidate.state != WITHDRAWN else None
    return None


def _eligible(
    candidates: Sequence[VersionCandidate],
) -> tuple[list[VersionCandidate], str]:
    """Return the versions to consider and the reason to report.

    A version under roll-out gets its traffic share from the roll-out guard.
    It is considered here only if the account has no other usable version. A
    version stopped by this entry is suspected to be bad but not withdrawn; it
    is used only as a last resort.
    """
    serving = [one for one in candidates if one.state == SERVING]
    healthy = [one for one in serving if not one.stopped]
    if healthy:
        return healthy, 'chosen'
    under_rollout = [
        one for one in candidates if one.state == CANDIDATE and not one.stopped
    ]
    if under_rollout:
        return under_rollout, 'only_candidate'
    if serving:
        return serving, 'only_stopped'
    raise NoVersionError('no permitted version takes new work')


def _within_deadline(
    request: VersionRequest,
    options: list[VersionOption],
) -> list[VersionOption]:
    within_deadline = [
        one for one in options if _meets_deadline(request, one.latency_s)
    ]
    if within_deadline:
        return within_deadline
    return [min(options, key=_latency_s)]


def _meets_deadline(request: VersionRequest, latency_s: float) -> bool:
    return request.deadline_s is None or latency_s <= request.deadline_s


def _cascade_option(
    draft: VersionOption,
    strong: VersionOption,
    scorer: Scorer,
) -> VersionOption:
    estimate = estimate_cascade(draft, strong, scorer)
    # The accepted share keeps the draft's uncertainty, the rest that of the
    # strong version.
    accepted = estimate.accepted_share
    uncertainty = accepted * (draft.quality - draft.lower)
    uncertainty += (1 - accepted) * (strong.quality - strong.lower)
    return VersionOption(
        draft.version,
        strong.version,
        estimate.cost_micros,
        estimate.quality,
        estimate.quality - uncertainty,
        estimate.latency_s,
        draft.weight,
    )


def _decision(
    option: VersionOption,
    reason: str,
    weighed: list[VersionOption],
) -> VersionDecision:
    return VersionDecision(
        option.version,
        CASCADE if option.escalate_to else SINGLE,
        option.escalate_to,
        reason,
        weighed,
        provisional_quality(option),
    )


def _cell_key(
    request: VersionRequest,
    option: VersionOption,
) -> tuple[str, str, str]:
    return option.version, request.task, request.length_class


def _quality(option: VersionOption) -> float:
    return option.quality


def _cost_micros(option: VersionOption) -> float:
    return option.cost_micros


def _latency_s(option: VersionOption) -> float:
    return option.latency_s
