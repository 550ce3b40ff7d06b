"""Tests the estimate of a cascade, the escalation and the calibration."""

import random

import pytest

from snipebridge.policy.cascades import (
    Scorer,
    StepEstimate,
    estimate_cascade,
    make_scorer_calibration,
    should_escalate,
)

DRAFT = StepEstimate(quality=0.7, cost_micros=10.0, latency_s=1.0)
STRONG = StepEstimate(quality=0.98, cost_micros=100.0, latency_s=2.0)
SCORER = Scorer(0.9, 0.8, latency_s=0.5, cost_micros=1.0)


def test_estimate_matches_simulation():
    """The closed form agrees with simulated drafts and escalations."""
    rng = random.Random(1)
    good = 0
    cost_micros = 0.0
    count = 40000
    for _ in range(count):
        is_good = rng.random() < DRAFT.quality
        chance = SCORER.sensitivity if is_good else 1 - SCORER.specificity
        cost_micros += DRAFT.cost_micros + SCORER.cost_micros
        if rng.random() >= chance:
            is_good = rng.random() < STRONG.quality
            cost_micros += STRONG.cost_micros
        good += is_good
    estimate = estimate_cascade(DRAFT, STRONG, SCORER)
    assert estimate.quality == pytest.approx(good / count, abs=0.01)
    assert estimate.cost_micros == pytest.approx(cost_micros / count, rel=0.02)
    assert estimate.latency_s == pytest.approx(3.5)


@pytest.mark.parametrize(
    ('score', 'time_left_s', 'escalates'),
    [
        (0.9, None, False),
        (0.1, None, True),
        (None, None, True),
        (0.1, 2.5, True),
        (0.1, 1.5, False),
        (None, 1.5, False),
    ],
)
def test_escalation_needs_a_poor_or_no_score_and_time(
    score,
    time_left_s,
    escalates,
):
    """A missing score escalates; a strong answer past the deadline does not."""
    found = should_escalate(score, SCORER, STRONG.latency_s, time_left_s)
    assert found is escalates


def test_calibration_finds_the_threshold():
    """The threshold converges to the score above which drafts are good."""
    calibration = make_scorer_calibration(SCORER)
    assert calibration.scorer(5.0, 1.0) is SCORER
    rng = random.Random(1)
    for _ in range(2000):
        score = rng.random()
        calibration.observe(score, good=score > 0.7)
    scorer = calibration.scorer(5.0, 1.0)
    assert scorer.threshold == pytest.approx(0.7)
    assert scorer.specificity > 0.95
