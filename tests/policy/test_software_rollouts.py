"""Tests of software roll-outs with good and faulty versions."""

import random
import time
from dataclasses import replace

import pytest

from snipebridge.policy.software_rollouts import (
    COMPLETED,
    REVERTED,
    WHOLE_PERMILLE,
    RolloutBounds,
    RolloutView,
    decide,
    find_fault,
    is_doubtful,
)
from snipebridge.policy.version_records import (
    RecordWindow,
    Stratum,
    VersionRecord,
)

DURATION_S = 24.0
REQUESTS_A_SECOND = 20
BOUNDS = RolloutBounds(exposure_share=0.15, exposure_slack=30)


def simulate(bad_from_s, failing, seed, others_failing=0.01):
    """Simulate a roll-out; return its end, the target's share and the time.

    The reports of entries reach the decision three rounds late.
    """
    rng = random.Random(seed)
    view = RolloutView(0.0, DURATION_S, 0)
    delayed = [(VersionRecord(), VersionRecord()) for _ in range(3)]
    exposed = total = 0
    recent = RecordWindow()
    target, others = VersionRecord(), VersionRecord()
    while view.elapsed_s < DURATION_S:
        for _ in range(REQUESTS_A_SECOND // 5):
            total += 1
            on_target = rng.random() * WHOLE_PERMILLE < view.share_permille
            is_bad = view.elapsed_s >= bad_from_s
            chance = failing if on_target and is_bad else others_failing
            record = target if on_target else others
            record.answered += 1
            record.sent += 1
            record.failed += rng.random() < chance
            exposed += on_target
        delayed.append((_copy(target), _copy(others)))
        view.target, view.others = delayed.pop(0)
        view.target_recent = recent.add(view.target, view.elapsed_s)
        step = decide(view, BOUNDS)
        if step is not None and step.state in {COMPLETED, REVERTED}:
            return step.state, exposed / total, view.elapsed_s
        if step is not None:
            view.share_permille = step.share_permille
        view.elapsed_s += 0.2
    return 'active', exposed / total, view.elapsed_s


def _copy(record):
    return replace(record)


@pytest.mark.parametrize('seed', range(20))
def test_good_version_completes_in_time(seed):
    """It completes although one in ten requests fails on both versions."""
    state, _, ended_s = simulate(99.0, 0.0, seed, others_failing=0.1)
    assert state == COMPLETED
    assert ended_s < DURATION_S - 1


@pytest.mark.parametrize('failing', [0.3, 0.5, 1.0])
@pytest.mark.parametrize('bad_from_s', [0.0, 4.0, 13.0])
def test_bad_version_is_stopped_within_the_exposure(failing, bad_from_s):
    """The exposure is the share of all requests until the deadline."""
    for seed in range(20):
        state, share, ended_s = simulate(bad_from_s, failing, seed)
        assert state == REVERTED, seed
        until_deadline = share * ended_s / DURATION_S
        tolerated = BOUNDS.exposure_slack / (REQUESTS_A_SECOND * DURATION_S)
        assert until_deadline < BOUNDS.exposure_share + tolerated


def test_doubtful_version_gets_no_more_traffic():
    """The trial of a version neither faulty nor likely good continues."""
    view = RolloutView(13.0, DURATION_S, 97)
    view.target = VersionRecord(answered=20, slow=5, sent=30)
    view.others = VersionRecord(answered=300, slow=6, sent=300)
    assert decide(view, BOUNDS) is None
    # Earlier it would get too much if it were reverted in the end.
    view.elapsed_s = 20.5
    view.target = VersionRecord(answered=60, slow=5, sent=60)
    assert decide(view, BOUNDS).share_permille == WHOLE_PERMILLE


def test_traffic_share_follows_the_requests_sent():
    """Sessions that stay on the old version do not follow the share."""
    view = RolloutView(6.0, DURATION_S, 97)
    view.target = VersionRecord(sent=4)
    view.others = VersionRecord(sent=200)
    view.unchanged_s = 0.2
    assert decide(view, BOUNDS) is None
    view.unchanged_s = 3.0
    assert decide(view, BOUNDS).share_permille > 150
    view.share_permille = 194
    view.target.sent = 40
    assert decide(view, BOUNDS).share_permille == 97


def test_no_trial_without_replicas():
    """A version without replicas until the end is reverted."""
    view = RolloutView(5.0, DURATION_S, 0, target_replicas=0)
    assert decide(view, BOUNDS) is None
    view.elapsed_s = DURATION_S
    assert decide(view, BOUNDS).state == REVERTED


def test_version_without_answers_does_not_complete():
    """A lack of answers is no success; the roll-out is reverted."""
    view = RolloutView(DURATION_S, DURATION_S, WHOLE_PERMILLE)
    view.others = VersionRecord(answered=300, sent=300)
    assert decide(view, BOUNDS).state == REVERTED
    view.elapsed_s = 18.0
    view.share_permille = 97
    assert decide(view, BOUNDS).share_permille < WHOLE_PERMILLE


def test_slow_version_is_reverted():
    """Slow answers on the target alone are a fault, on both they are not."""
    view = RolloutView(5.0, DURATION_S, 90)
    view.target = VersionRecord(answered=10, slow=8)
    view.others = VersionRecord(answered=100, slow=3)
    assert decide(view, BOUNDS).state == REVERTED
    view.others.slow = 80
    assert decide(view, BOUNDS).state != REVERTED


@pytest.mark.parametrize(('answered', 'slow'), [(12, 4), (17, 4), (10, 3)])
def test_few_answers_of_a_slow_version_do_not_earn_it_all_traffic(
    answered, slow
):
    """The version stays on trial, and is reverted if nothing changes."""
    view = RolloutView(9.8, 15.0, 194)
    view.target = VersionRecord(answered=answered, slow=slow, sent=20)
    view.others = VersionRecord(answered=208, slow=10, sent=211)
    step = decide(view, BOUNDS)
    assert step is None or step.share_permille < WHOLE_PERMILLE
    view.elapsed_s = 14.0
    assert decide(view, BOUNDS).state == REVERTED
    view.share_permille = WHOLE_PERMILLE
    assert decide(view, BOUNDS).state == REVERTED


@pytest.mark.parametrize('slow_share', [0.0, 0.05, 0.1])
def test_few_answers_of_a_good_version_rarely_keep_it_on_trial(slow_share):
    """It is as slow as the old one, which may be now and then."""
    rng = random.Random(7)
    doubtful = 0
    for _ in range(300):
        slow = sum(rng.random() < slow_share for _ in range(20))
        target = VersionRecord(answered=20, slow=slow)
        others = VersionRecord(answered=200, slow=int(200 * slow_share))
        doubtful += is_doubtful(target, others)
    # One in a hundred good versions may be stopped.
    assert doubtful <= 3


def test_window_has_no_more_slow_answers_than_answers():
    """A stream counted as in time before the window turned slow in it."""
    recent = RecordWindow()
    recent.add(VersionRecord(answered=10), 0.0)
    record = recent.add(VersionRecord(answered=12, slow=4), 3.0)
    assert (record.answered, record.slow) == (2, 2)


def test_window_goes_on_where_a_new_leader_knows_less():
    """It led before, and the entries report to it again one by one."""
    recent = RecordWindow()
    before, after = VersionRecord(), VersionRecord()
    for route, spent_s in (('book', 0.02), ('look', 0.08)):
        before.count(Stratum(route), spent_s=spent_s)
    after.count(Stratum('look'), failed=True, spent_s=0.02)
    recent.add(before, 0.0)
    counts = recent.add(after, 3.0).strata
    assert counts[Stratum('look')].failed == 1
    assert all(one.timed >= 0 for one in counts.values())


def test_cold_caches_of_a_takeover_do_not_revert_a_good_version():
    """A third of the first tokens is late for two seconds; most is not."""
    view = RolloutView(12.8, 18.0, WHOLE_PERMILLE)
    view.target = VersionRecord(answered=121, untimed=41, slow=18, sent=258)
    view.target_recent = VersionRecord(answered=47, slow=17, sent=190)
    view.others = VersionRecord(answered=336, untimed=108, slow=15, sent=433)
    step = decide(view, BOUNDS)
    assert step is None or step.state != REVERTED
    view.target.slow = 22
    step = decide(view, BOUNDS)
    assert step is None or step.state != REVERTED
    view.elapsed_s = 16.0
    assert decide(view, BOUNDS).state == COMPLETED
    view.target_recent.slow = 33
    assert decide(view, BOUNDS).state == REVERTED


def test_version_is_not_advanced_while_most_old_answers_are_slow():
    """In a storm of crashes a slow version looks no worse than the old one."""
    view = RolloutView(9.6, 18.0, 291)
    view.target = VersionRecord(answered=21, untimed=6, slow=3, sent=34)
    view.others = VersionRecord(answered=337, untimed=106, slow=147, sent=810)
    step = decide(view, BOUNDS)
    assert step is None or step.share_permille < WHOLE_PERMILLE
    view.elapsed_s = 16.0
    assert decide(view, BOUNDS).state == REVERTED


def test_version_is_not_advanced_while_most_old_answers_fail():
    """Half of the answers of both versions fail for another reason."""
    view = RolloutView(9.6, 18.0, 291)
    view.target = VersionRecord(answered=30, failed=15, sent=34)
    view.others = VersionRecord(answered=300, failed=150, sent=300)
    step = decide(view, BOUNDS)
    assert step is None or step.share_permille < WHOLE_PERMILLE


@pytest.mark.parametrize('answered', [1_000, 100_000, 10_000_000])
def test_a_long_roll_out_is_judged(answered):
    """Counts of millions must neither overflow nor take long."""
    others = VersionRecord(answered, failed=answered // 100)
    alike = VersionRecord(answered, failed=answered // 100)
    worse = VersionRecord(answered, failed=answered // 10)
    started_s = time.process_time()
    assert not find_fault(alike, others)
    assert find_fault(worse, others)
    assert time.process_time() - started_s < 0.5
