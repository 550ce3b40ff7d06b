"""Tests of the sequential tests: error rates, power and bounds."""

import math
import random

import pytest

from snipebridge.policy.evidence import (
    Margins,
    OutcomeSums,
    compare,
    harm_evidence,
    health_evidence,
    share_bounds,
)

ALPHA = 0.05
LIMIT = math.log(1 / ALPHA)
RUNS = 1000
# Three standard errors of a share of alpha over the runs.
NOISE = 3 * math.sqrt(ALPHA * (1 - ALPHA) / RUNS)
STEPS = 400


def counts(seed, share, steps=STEPS):
    """Yield the bad and total counts after each outcome."""
    rng = random.Random(seed)
    bad = 0
    for total in range(1, steps + 1):
        bad += rng.random() < share
        yield bad, total


def alarm_share(share, evidence):
    """Return the share of runs whose evidence ever reaches the limit."""
    alarms = sum(
        any(evidence(*count) >= LIMIT for count in counts(seed, share))
        for seed in range(RUNS)
    )
    return alarms / RUNS


@pytest.mark.parametrize('share', [0.02, 0.1, 0.3])
def test_false_alarms_at_the_allowed_share_are_rare(share):
    """The rate holds when the evidence is evaluated after each outcome."""
    found = alarm_share(
        share,
        lambda bad, total: harm_evidence(bad, total, share),
    )
    assert found <= ALPHA + NOISE


def test_harm_is_detected_early():
    """Ten times the allowed share is detected within 30 outcomes."""
    found = [
        next(
            total
            for bad, total in counts(seed, 0.5)
            if harm_evidence(bad, total, 0.05) >= LIMIT
        )
        for seed in range(20)
    ]
    assert max(found) <= 30


def test_harmful_version_is_rarely_called_healthy():
    """The rate stays below alpha with an evaluation after each outcome."""
    found = alarm_share(
        0.13,
        lambda bad, total: health_evidence(bad, total, 0.03, 0.13),
    )
    assert found <= ALPHA + NOISE


def test_healthy_version_is_called_healthy_within_200():
    """Nearly all healthy versions pass the test of the first stage."""
    passed = sum(
        any(
            health_evidence(*count, 0.03, 0.13) >= LIMIT
            for count in counts(seed, 0.03, steps=200)
        )
        for seed in range(RUNS)
    )
    assert passed >= 0.98 * RUNS


def test_healthy_version_with_unlucky_outcomes_passes():
    """12 poor answers of 199 do not hold the roll-out to its exposure limit."""
    assert health_evidence(12, 199, 0.03, 0.13) >= math.log(1 / 0.02)


@pytest.mark.parametrize('share', [0.03, 0.5])
def test_bounds_are_valid_at_any_time(share):
    """The share leaves its bounds in at most alpha of the runs."""
    misses = 0
    for seed in range(60):
        bounds = (
            share_bounds(bad, total, ALPHA)
            for bad, total in counts(seed, share)
        )
        misses += any(not low <= share <= high for low, high in bounds)
    assert misses <= math.ceil(60 * ALPHA)


def test_bounds_without_outcomes_are_trivial():
    """Without outcomes no share is excluded."""
    assert share_bounds(0, 0, ALPHA) == (0.0, 1.0)


def latency_sums(seed, mean_s, count):
    """Return sums of exponential first-token latencies."""
    rng = random.Random(seed)
    latencies_s = [rng.expovariate(1 / mean_s) for _ in range(count)]
    return OutcomeSums(
        answered=count,
        first_tokens=count,
        first_token_s_sum=sum(latencies_s),
        first_token_s_square_sum=sum(one**2 for one in latencies_s),
    )


@pytest.mark.parametrize(
    ('mean_s', 'count', 'slower', 'fast_enough'),
    [
        (0.5, 200, False, True),
        (0.65, 200, False, True),
        (0.5, 20, False, False),
        (1.2, 40, False, False),
        (1.5, 200, True, False),
    ],
)
def test_latency_verdicts(mean_s, count, slower, fast_enough):
    """Three times the stable latency is harmful; 1.3 times is not."""
    comparison = compare(
        latency_sums(1, mean_s, count),
        latency_sums(2, 0.5, 5000),
        Margins(),
        0.003,
    )
    assert comparison.latency_harm is slower
    assert comparison.latency_health is fast_enough


def test_few_latencies_give_no_verdict():
    """Five equal latencies have no variance but are too few."""
    few = OutcomeSums(5, 0, 5, 5, 5, 2.5, 1.25)
    many = latency_sums(2, 0.1, 5000)
    assert not compare(few, many, Margins(), 0.003).latency_harm
    many = latency_sums(2, 0.5, 5000)
    assert not compare(few, many, Margins(), 0.003).latency_health


def test_unknown_stable_version_gives_no_verdict():
    """Without outcomes of the stable version there is no evidence."""
    comparison = compare(
        OutcomeSums(100, 50, 50, 10),
        OutcomeSums(),
        Margins(),
        0.003,
    )
    assert comparison.errors_harm == 0
    assert comparison.poor_health == 0
