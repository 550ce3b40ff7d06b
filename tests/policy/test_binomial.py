"""Tests of the binomial tail at counts far above those of the target."""

import math
import time
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebridge.policy.binomial import binomial_tail
from snipebridge.policy.software_rollouts import find_fault
from snipebridge.policy.version_records import VersionRecord


def exact_tail(count, tries, share):
    """Return the tail by rational arithmetic."""
    chance = Fraction(share)
    return float(
        sum(
            math.comb(tries, number)
            * chance**number
            * (1 - chance) ** (tries - number)
            for number in range(count, tries + 1)
        )
    )


# A share with many digits makes the exact sum slow.
@settings(deadline=None)
@given(
    st.integers(0, 60).flatmap(
        lambda tries: st.tuples(st.integers(-1, tries + 1), st.just(tries))
    ),
    st.floats(0.0, 1.0),
)
def test_small_counts_match_the_exact_sum(counts, share):
    count, tries = counts
    expected = exact_tail(max(0, count), tries, share)
    assert binomial_tail(count, tries, share) == pytest.approx(
        expected, rel=1e-9, abs=1e-13
    )


@pytest.mark.parametrize('tries', [1_000, 100_000, 10_000_000])
def test_large_counts_match_the_normal_distribution(tries):
    share = 0.08
    deviation = math.sqrt(tries * share * (1 - share))
    for distance in (-2.0, -0.5, 0.5, 2.0):
        count = round(tries * share + distance * deviation)
        exact_distance = (count - 0.5 - tries * share) / deviation
        expected = 0.5 * math.erfc(exact_distance / math.sqrt(2))
        assert binomial_tail(count, tries, share) == pytest.approx(
            expected, abs=0.3 / deviation
        )


@pytest.mark.parametrize('tries', [10, 1_000, 100_000, 10_000_000])
@pytest.mark.parametrize('share', [0.0, 1e-12, 0.03, 0.5, 1 - 1e-12, 1.0])
def test_the_tail_falls_with_the_count(tries, share):
    expected = round(tries * share)
    near = range(max(0, expected - 20), min(tries, expected + 20) + 1)
    tails = [binomial_tail(count, tries, share) for count in near]
    assert all(0.0 <= tail <= 1.0 for tail in tails)
    assert all(
        first >= second - 1e-9
        for first, second in zip(tails, tails[1:], strict=False)
    )


def test_ten_million_answers_take_milliseconds():
    started_s = time.process_time()
    for _ in range(4):
        binomial_tail(800_000, 10_000_000, 0.08)
    assert time.process_time() - started_s < 0.5


@pytest.mark.parametrize('answered', [1_000, 100_000, 10_000_000])
def test_a_long_roll_out_is_judged(answered):
    others = VersionRecord(answered, failed=answered // 100)
    alike = VersionRecord(answered, failed=answered // 100)
    worse = VersionRecord(answered, failed=answered // 10)
    assert not find_fault(alike, others)
    assert find_fault(worse, others)
