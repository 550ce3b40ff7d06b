"""Tests that selection meets the account's target at the lowest cost."""

import random

import pytest

from snipebridge.policy.cascades import Scorer
from snipebridge.policy.quality import make_quality_estimator
from snipebridge.policy.version_selection import (
    NoVersionError,
    VersionCandidate,
    VersionRequest,
    make_version_selector,
)

SMALL = VersionCandidate('small@1', 10.0, 0.7)
LARGE = VersionCandidate('large@1', 100.0, 0.98, first_token_s=1.0)
TASKS = ('easy', 'easier', 'hard')
QUALITY = {'easy': 0.97, 'easier': 0.97, 'hard': 0.6}


def make_request(task='easy', **changes):
    """Return a request of one account."""
    fields = {'account': 'studio-a', 'quality_target': 0.95}
    fields |= {'task': task, 'length_class': 'short', 'prompt_tokens': 100}
    fields |= {'expected_completion_tokens': 100}
    return VersionRequest(**(fields | changes))


def rated_estimator():
    """Return an estimator with ratings of both versions on all tasks."""
    estimator = make_quality_estimator()
    for task in TASKS:
        for number in range(300):
            good = number < 300 * QUALITY[task]
            estimator.observe('small@1', task, 'short', good, 0.0)
            estimator.observe('large@1', task, 'short', number < 294, 0.0)
    return estimator


def run(selector, count, rng, rated=True, target=0.95):
    """Send and rate requests; return the share of good answers and cost."""
    good = 0
    cost_share = 0.0
    for number in range(count):
        task = TASKS[number % 3]
        request = make_request(task, quality_target=target)
        decision = selector.choose(request, [SMALL, LARGE], 0.0, rng)
        chance = 0.98
        if decision.version == 'small@1':
            chance = QUALITY[request.task]
        is_good = rng.random() < chance
        good += is_good
        cost_share += 0.1 if decision.version == 'small@1' else 1.0
        if rated:
            selector.record_rating(
                'studio-a', decision.expected_quality, is_good
            )
    return good / count, cost_share / count


@pytest.mark.parametrize('rated', [True, False])
def test_budget_meets_the_target_at_part_of_the_cost(rated):
    """The cheap version is good enough for two thirds of the requests."""
    selector = make_version_selector('budget', rated_estimator())
    share, cost_share = run(selector, 6000, random.Random(1), rated)
    assert share >= 0.95
    assert cost_share <= 0.5


@pytest.mark.parametrize('rated', [True, False])
def test_lower_target_is_met_at_a_lower_cost(rated):
    """A lower target is used to save cost, with and without ratings."""
    selector = make_version_selector('budget', rated_estimator())
    share, cost_share = run(selector, 6000, random.Random(1), rated, 0.87)
    assert share >= 0.865
    assert cost_share <= 0.3


def test_ratings_correct_a_wrong_estimate():
    """The target is met although the cheap version is overestimated."""
    estimator = rated_estimator()
    for task in TASKS:
        for _ in range(3000):
            estimator.observe('small@1', task, 'short', True, 0.0)
    selector = make_version_selector('budget', estimator, exploration_rate=0.0)
    share, _ = run(selector, 6000, random.Random(2))
    assert share >= 0.945


def test_session_keeps_its_version():
    """A session stays on its version even if it is stopped or costs more."""
    selector = make_version_selector('budget', rated_estimator())
    stopped = VersionCandidate('large@1', 100.0, 0.98, stopped=True)
    request = make_request(session_version='large@1')
    decision = selector.choose(request, [SMALL, stopped], 0.0, random.Random(1))
    assert (decision.version, decision.reason) == ('large@1', 'session')


@pytest.mark.parametrize('session_version', [None, 'large@1'])
def test_withdrawn_version_gets_no_requests(session_version):
    """A withdrawn version gets no requests, even from bound sessions."""
    withdrawn = VersionCandidate('large@1', 100.0, 0.98, state='withdrawn')
    request = make_request(task='hard', session_version=session_version)
    selector = make_version_selector('strongest', make_quality_estimator())
    rng = random.Random(1)
    assert selector.choose(request, [withdrawn, SMALL], 0.0, rng).version == (
        'small@1'
    )
    with pytest.raises(NoVersionError):
        selector.choose(request, [withdrawn], 0.0, rng)


def test_stopped_version_is_the_last_resort():
    """A stopped version is selected only if there is no other."""
    stopped = VersionCandidate('large@1', 100.0, 0.98, stopped=True)
    selector = make_version_selector('strongest', make_quality_estimator())
    rng = random.Random(1)
    request = make_request()
    assert selector.choose(request, [stopped, SMALL], 0.0, rng).version == (
        'small@1'
    )
    assert (
        selector.choose(request, [stopped], 0.0, rng).reason == 'only_stopped'
    )


def test_candidate_version_is_left_to_the_guard():
    """A version under roll-out is not selected if a serving one exists."""
    rolling = VersionCandidate('tiny@2', 1.0, 0.99, state='candidate')
    selector = make_version_selector('cheapest', make_quality_estimator())
    rng = random.Random(1)
    decision = selector.choose(make_request(), [rolling, LARGE], 0.0, rng)
    assert decision.version == 'large@1'


def test_cascade_only_where_it_is_allowed():
    """No cascade if streaming, near the deadline or while the rater is down."""
    estimator = rated_estimator()
    scorer = Scorer(0.97, 0.97)
    selector = make_version_selector('bound', estimator, scorer=scorer)
    rng = random.Random(1)
    versions = [SMALL, LARGE]
    target = {'quality_target': 0.93, 'priority': 0}

    def mode(**changes):
        request = make_request('hard', **(target | changes))
        return selector.choose(request, versions, 0.0, rng).mode

    assert mode() == 'cascade'
    assert mode(streamed=True) == 'single'
    assert mode(deadline_s=4.0) == 'single'
    selector.use_scorer(Scorer(0.97, 0.97, available=False))
    assert mode() == 'single'


def test_exploration_is_bounded_with_the_rater_down():
    """Without ratings, exploration of a cell ends at its limit."""
    selector = make_version_selector('bound', make_quality_estimator())
    rng = random.Random(1)
    decisions = [
        selector.choose(make_request(), [SMALL, LARGE], 0.0, rng)
        for _ in range(5000)
    ]
    explored = [one for one in decisions if one.reason == 'exploration']
    assert 0 < len(explored) <= 4


def test_version_unlikely_to_meet_the_target_is_not_explored():
    """A few poor ratings are enough to exclude a version from exploration."""
    estimator = make_quality_estimator()
    for number in range(20):
        estimator.observe('small@1', 'hard', 'short', number % 2, 0.0)
    selector = make_version_selector('bound', estimator)
    rng = random.Random(1)
    request = make_request('hard')
    reasons = {
        selector.choose(request, [SMALL, LARGE], 0.0, rng).reason
        for _ in range(1000)
    }
    assert reasons == {'chosen'}


def test_live_work_is_not_explored_and_stays_near_the_target():
    """A surplus from other tasks is not spent on live captions."""
    selector = make_version_selector('budget', rated_estimator())
    rng = random.Random(1)
    run(selector, 3000, rng)
    versions = {
        selector.choose(
            make_request('hard', priority=0),
            [SMALL, LARGE],
            0.0,
            rng,
        ).version
        for _ in range(500)
    }
    assert versions == {'large@1'}


def test_deadline_excludes_a_slow_version():
    """A version that would miss the deadline is not selected."""
    selector = make_version_selector('strongest', make_quality_estimator())
    slow = VersionCandidate('large@1', 100.0, 0.98, tokens_per_s=10.0)
    request = make_request(deadline_s=5.0)
    decision = selector.choose(request, [SMALL, slow], 0.0, random.Random(1))
    assert decision.version == 'small@1'


def test_unknown_kind_is_an_error():
    """The error lists the known kinds."""
    with pytest.raises(ValueError, match='budget'):
        make_version_selector('best', make_quality_estimator())
