"""Estimates cascades and decides when to escalate a draft.

A cascade answers with a cheap draft first, scores it, and replaces it by the
answer of a strong version if the score is poor. The scorer is imperfect: its
sensitivity is the probability of accepting a good draft, its specificity that
of rejecting a poor one. Both are learned from drafts whose quality is known
from another source.

>>> draft = StepEstimate(quality=0.8, cost_micros=10.0, latency_s=1.0)
>>> strong = StepEstimate(quality=0.98, cost_micros=100.0, latency_s=2.0)
>>> estimate = estimate_cascade(draft, strong, Scorer(0.9, 0.9))
>>> estimate.cost_micros < strong.cost_micros
True
"""

from dataclasses import dataclass
from typing import Protocol

# Number of observations that the configured values count for.
CALIBRATION_PRIOR_WEIGHT = 20.0
SCORE_BINS = 20


@dataclass(slots=True)
class Scorer:
    """Cost, latency and accuracy of rating a draft."""

    sensitivity: float
    specificity: float
    threshold: float = 0.5
    latency_s: float = 0.2
    cost_micros: float = 0.0
    available: bool = True


class ExpectedResult(Protocol):
    """Expected quality, cost and latency of one version for a request."""

    quality: float
    cost_micros: float
    latency_s: float


@dataclass(slots=True)
class StepEstimate:
    """Minimal implementation of `ExpectedResult`."""

    quality: float
    cost_micros: float
    latency_s: float


@dataclass(slots=True)
class CascadeEstimate:
    """Expected result of a cascade; ``latency_s`` includes both steps."""

    quality: float
    cost_micros: float
    latency_s: float
    accepted_share: float


def estimate_cascade(
    draft: ExpectedResult,
    strong: ExpectedResult,
    scorer: Scorer,
) -> CascadeEstimate:
    """Return the expected quality and cost and the longest latency."""
    good_accepted = draft.quality * scorer.sensitivity
    poor_accepted = (1 - draft.quality) * (1 - scorer.specificity)
    accepted = good_accepted + poor_accepted
    escalated = 1 - accepted
    return CascadeEstimate(
        quality=good_accepted + escalated * strong.quality,
        cost_micros=(
            draft.cost_micros
            + scorer.cost_micros
            + escalated * strong.cost_micros
        ),
        latency_s=draft.latency_s + scorer.latency_s + strong.latency_s,
        accepted_share=accepted,
    )


def should_escalate(
    score: float | None,
    scorer: Scorer,
    strong_latency_s: float,
    time_left_s: float | None,
) -> bool:
    """Tell whether to replace a draft with the strong version's answer.

    A draft without a score, because the rater is down or late, is escalated
    if the deadline allows: a missing score is no evidence of quality.
    """
    if time_left_s is not None and time_left_s < strong_latency_s:
        return False
    return score is None or score < scorer.threshold


class ScorerCalibration:
    """Learns the score threshold that separates good drafts from poor ones."""

    __slots__ = ('_good', '_poor', '_prior')

    def __init__(self, prior: Scorer) -> None:
        """Start from the configured scorer."""
        self._prior = prior
        self._good = [0.0 for _ in range(SCORE_BINS)]
        self._poor = [0.0 for _ in range(SCORE_BINS)]

    def observe(self, score: float, *, good: bool) -> None:
        """Add the score of a draft of known quality."""
        bins = self._good if good else self._poor
        bins[min(int(score * SCORE_BINS), SCORE_BINS - 1)] += 1

    def scorer(
        self, false_accept_cost: float, escalation_cost: float
    ) -> Scorer:
        """Return the scorer with the threshold of least expected cost.

        ``false_accept_cost`` is the cost of accepting a poor draft, in the
        unit of ``escalation_cost``.
        """
        best_bin = min(
            range(SCORE_BINS + 1),
            key=lambda threshold_bin: self._loss(
                threshold_bin, false_accept_cost, escalation_cost
            ),
        )
        if not sum(self._good) + sum(self._poor):
            return self._prior
        prior = self._prior
        return Scorer(
            sensitivity=_smoothed_share(
                sum(self._good[best_bin:]), sum(self._good), prior.sensitivity
            ),
            specificity=_smoothed_share(
                sum(self._poor[:best_bin]), sum(self._poor), prior.specificity
            ),
            threshold=best_bin / SCORE_BINS,
            latency_s=prior.latency_s,
            cost_micros=prior.cost_micros,
            available=prior.available,
        )

    def _loss(
        self,
        threshold_bin: int,
        false_accept_cost: float,
        escalation_cost: float,
    ) -> float:
        false_accepts = sum(self._poor[threshold_bin:])
        escalated = sum(self._poor[:threshold_bin]) + sum(
            self._good[:threshold_bin]
        )
        return false_accepts * false_accept_cost + escalated * escalation_cost


def make_scorer_calibration(prior: Scorer) -> ScorerCalibration:
    """Return a calibration without observations."""
    return ScorerCalibration(prior)


def _smoothed_share(part: float, total: float, prior: float) -> float:
    weight = total + CALIBRATION_PRIOR_WEIGHT
    return (part + CALIBRATION_PRIOR_WEIGHT * prior) / weight
