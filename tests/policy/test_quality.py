"""Tests that estimates follow ratings and do not improve without them."""

import pytest

from snipebridge.policy.quality import QualityCell, make_quality_estimator

CELL = ('small@1', 'summary', 'short')
PRIOR = 0.7
HALF_LIFE_S = 100.0


@pytest.fixture(name='estimator')
def estimator_fixture():
    """Return an estimator without ratings."""
    return make_quality_estimator(HALF_LIFE_S)


def rate(estimator, good, poor, now_s=0.0, cell=CELL):
    """Add ratings to a cell."""
    for _ in range(good):
        estimator.observe(*cell, True, now_s)
    for _ in range(poor):
        estimator.observe(*cell, False, now_s)


def test_estimate_without_ratings_is_the_prior_with_a_wide_bound(estimator):
    """The lower bound of a prior alone does not meet a high target."""
    estimate = estimator.estimate(*CELL, 0.98, 0.0)
    assert estimate.mean == pytest.approx(0.98)
    assert estimate.lower < 0.8
    assert estimate.weight == 0


def test_ratings_outweigh_the_prior(estimator):
    """Many good ratings lift the lower bound above a target."""
    rate(estimator, good=600, poor=6)
    estimate = estimator.estimate(*CELL, PRIOR, 0.0)
    assert estimate.lower > 0.95


def test_cell_with_few_ratings_shrinks_towards_its_task(estimator):
    """Poor ratings of a task lower the estimates of its length classes."""
    rate(estimator, good=10, poor=90)
    rate(estimator, good=95, poor=5, cell=('small@1', 'caption', 'short'))
    other = estimator.estimate('small@1', 'summary', 'long', PRIOR, 0.0)
    caption = estimator.estimate('small@1', 'caption', 'long', PRIOR, 0.0)
    assert other.mean < 0.4
    assert caption.mean > 0.75
    rate(estimator, good=1, poor=0, cell=('small@1', 'summary', 'long'))
    assert (
        estimator.estimate('small@1', 'summary', 'long', PRIOR, 0.0).mean < 0.4
    )


@pytest.mark.parametrize('silence_s', [0.0, 1e3, 1e6])
def test_missing_ratings_do_not_improve_a_bad_version(estimator, silence_s):
    """While the rater is down, a version found to be bad stays bad."""
    rate(estimator, good=20, poor=80)
    assert estimator.estimate(*CELL, 0.97, silence_s).mean < 0.45


def test_missing_ratings_widen_the_bound_of_a_good_version(estimator):
    """While the rater is down, the lower bound decreases with time."""
    rate(estimator, good=990, poor=10)
    before = estimator.estimate(*CELL, PRIOR, 0.0)
    after = estimator.estimate(*CELL, PRIOR, 1e6)
    assert before.lower > 0.95
    assert after.lower < 0.9


def test_drift_is_followed(estimator):
    """Old good ratings do not mask a decline in quality."""
    for second in range(1000):
        rate(estimator, good=1, poor=0, now_s=second)
    for second in range(1000, 1300):
        rate(estimator, good=0, poor=1, now_s=second)
    assert estimator.estimate(*CELL, PRIOR, 1300.0).mean < 0.2


def test_own_deltas_are_not_counted_twice(estimator):
    """Fleet sums include reported ratings; later ones are added to them."""
    rate(estimator, good=10, poor=0)
    deltas = estimator.take_deltas()
    rate(estimator, good=0, poor=5)
    fleet = QualityCell(*CELL, good=deltas[0].good + 30, total=60)
    estimator.merge_fleet([fleet], 0.0)
    assert estimator.estimate(*CELL, PRIOR, 0.0).weight == 65
    assert estimator.take_deltas() == [QualityCell(*CELL, good=0, total=5)]


def test_new_leader_with_empty_sums_erases_no_ratings(estimator):
    """After a change of leader, the entry keeps its known ratings."""
    rate(estimator, good=10, poor=90)
    estimator.take_deltas()
    estimator.merge_fleet([QualityCell(*CELL, good=10, total=100)], 0.0)
    rate(estimator, good=0, poor=1)
    estimator.take_deltas()
    estimator.merge_fleet([QualityCell(*CELL, good=0, total=1)], 0.0)
    estimator.merge_fleet([QualityCell(*CELL, good=0, total=4)], 0.0)
    assert estimator.estimate(*CELL, PRIOR, 0.0).weight == 104


def test_control_sums_the_deltas_of_entries():
    """Deltas of the same cell are added up."""
    fleet = make_quality_estimator(HALF_LIFE_S)
    fleet.add_cells([QualityCell(*CELL, good=3, total=4)], 0.0)
    fleet.add_cells([QualityCell(*CELL, good=1, total=4)], 0.0)
    assert fleet.cells(0.0) == [QualityCell(*CELL, good=4, total=8)]
