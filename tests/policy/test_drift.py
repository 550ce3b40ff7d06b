"""Tests that drift detection stops degraded versions and no others."""

import random

import pytest

from snipebridge.policy.drift import (
    INITIAL_STOP_S,
    make_drift_detector,
    make_fleet_drift,
)
from snipebridge.policy.quality import QualityCell

VERSION = 'small@1'


def rate(detector, rng, poor, count, task='easy', now_s=0.0):
    """Add ratings until a stop; return their number or None."""
    for number in range(1, count + 1):
        reason = detector.observe_rating(
            VERSION,
            task,
            'short',
            good=rng.random() >= poor,
            now_s=now_s,
        )
        if reason:
            return number
    return None


@pytest.mark.parametrize(
    ('poor', 'max_ratings'), [(1.0, 10), (0.5, 45), (0.2, 250)]
)
def test_degraded_version_is_stopped(poor, max_ratings):
    """A larger share of poor ratings needs fewer ratings to be detected."""
    for seed in range(5):
        rng = random.Random(seed)
        detector = make_drift_detector()
        assert rate(detector, rng, 0.03, 1000) is None
        assert rate(detector, rng, poor, max_ratings) is not None
        assert detector.is_stopped(VERSION, 1.0)


def test_moderate_change_after_a_short_baseline_is_detected():
    """Outcomes of a suspected change are not added to the baseline."""
    for seed in range(10):
        rng = random.Random(seed)
        detector = make_drift_detector()
        assert rate(detector, rng, 0.03, 200) is None
        assert rate(detector, rng, 0.25, 500) is not None


def test_errors_stop_a_version():
    """A run of errors stops a version without any ratings."""
    detector = make_drift_detector()
    for _ in range(300):
        detector.observe_result(VERSION, error=False, now_s=0.0)
    reasons = [
        detector.observe_result(VERSION, error=True, now_s=0.0)
        for _ in range(8)
    ]
    assert 'errors' in reasons


@pytest.mark.parametrize('poor', [0.0, 0.03, 0.5])
def test_version_with_a_constant_poor_share_is_not_stopped(poor):
    """A constant share of poor answers raises no alarm."""
    for seed in range(6):
        rng = random.Random(seed)
        assert rate(make_drift_detector(), rng, poor, 10000) is None


def test_short_baselines_cause_no_false_stop():
    """New tasks whose first ratings are good by chance cause no stop."""
    for seed in range(60):
        rng = random.Random(seed)
        detector = make_drift_detector()
        for task in range(12):
            assert rate(detector, rng, 0.2, 100, task=str(task)) is None


def test_change_in_the_request_mix_causes_no_stop():
    """More requests of a task that always rated poorly raise no alarm."""
    rng = random.Random(1)
    detector = make_drift_detector()
    for _ in range(2000):
        assert rate(detector, rng, 0.03, 1) is None
        assert rate(detector, rng, 0.45, 1, task='hard') is None
    assert rate(detector, rng, 0.45, 3000, task='hard') is None


def test_task_that_is_poor_from_the_start_causes_no_stop():
    """A new task has no baseline to compare with."""
    rng = random.Random(1)
    detector = make_drift_detector()
    rate(detector, rng, 0.03, 1000)
    assert rate(detector, rng, 0.6, 2000, task='new') is None


def test_stop_expires_and_doubles_when_repeated():
    """A version that is still bad is stopped again after a few ratings."""
    rng = random.Random(1)
    detector = make_drift_detector()
    rate(detector, rng, 0.03, 1000)
    rate(detector, rng, 1.0, 20)
    assert not detector.is_stopped(VERSION, INITIAL_STOP_S)
    assert rate(detector, rng, 0.03, 40, now_s=INITIAL_STOP_S) is None
    assert rate(detector, rng, 1.0, 10, now_s=INITIAL_STOP_S) is not None
    assert detector.is_stopped(VERSION, 2.9 * INITIAL_STOP_S)
    assert not detector.is_stopped(VERSION, 3 * INITIAL_STOP_S)


def test_ratings_before_an_alarm_are_not_added_to_the_baseline():
    """Poor ratings of a suspected change would hide the next change."""
    rng = random.Random(2)
    detector = make_drift_detector()
    rate(detector, rng, 0.03, 1000)
    for _ in range(20):
        assert rate(detector, rng, 0.6, 60) is not None


def test_fleet_detects_drift_from_few_ratings_per_entry():
    """Ratings too few for one entry are sufficient in sum."""
    fleet = make_fleet_drift()
    rng = random.Random(1)
    for round_number in range(400):
        poor = 0.03 if round_number < 300 else 0.3
        for _ in range(6):
            good = sum(rng.random() >= poor for _ in range(2))
            cell = QualityCell(VERSION, 'easy', 'short', good, 2)
            fleet.report_ratings([cell], round_number)
        if round_number == 299:
            assert not fleet.proposals()
    proposals = fleet.proposals()
    assert [one.version for one in proposals] == [VERSION]
    fleet.forget(VERSION)
    assert not fleet.proposals()


def test_stops_of_two_entries_propose_a_withdrawal():
    """The stop of a single entry, or one that ended, is not sufficient."""
    fleet = make_fleet_drift()
    for entry, stopped in (('a', True), ('a', False), ('b', True)):
        fleet.report_stop(entry, VERSION, stopped=stopped, entry_count=6)
    assert not fleet.proposals()
    fleet.report_stop('a', VERSION, stopped=True, entry_count=6)
    assert fleet.proposals()[0].reason == 'stopped_by_entries'
