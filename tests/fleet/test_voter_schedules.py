"""Enough voters stay, under fixed seeds of losses and replacements."""

import pytest

from tests.fleet.voter_schedules import Rules, run_voter_schedule

SEEDS_PER_CASE = 5
CASES = 10


@pytest.mark.parametrize('case', range(CASES))
def test_voter_schedules(case):
    """Guards against a log that loses its majority within the bound."""
    first = case * SEEDS_PER_CASE
    outcomes = [
        run_voter_schedule(seed)
        for seed in range(first, first + SEEDS_PER_CASE)
    ]
    assert [outcome for outcome in outcomes if outcome.failure] == []


@pytest.mark.parametrize(
    'rules',
    [
        Rules(asks_without_leader=False),
        Rules(tells_of_stops=False, refuses=False),
    ],
    ids=['unaware of a lost vote', 'vote kept at a stop'],
)
def test_schedules_find_the_known_failures(rules):
    """Guards against schedules that no longer reach what they are for."""
    failures = (run_voter_schedule(seed, rules).failure for seed in range(60))
    assert any('no command is taken' in failure for failure in failures)
