"""Orders in random schedules, see `order_schedules`."""

import pytest

from tests.admin.order_schedules import EVACUATION, ROLLOUTS, play_schedule

SEEDS = range(40)


@pytest.mark.parametrize('seed', SEEDS)
def test_last_rollout_order_is_in_force_however_copies_arrive(seed):
    """Guards against a new order taken for a resent one, and the reverse."""
    play_schedule(seed, ROLLOUTS)


@pytest.mark.parametrize('seed', SEEDS)
def test_last_evacuation_order_is_in_force_however_copies_arrive(seed):
    """Guards against an evacuation that comes back, or ends, by a copy."""
    play_schedule(seed, EVACUATION)
