"""What the policies gain on the model, at the loads they answer."""

import pytest

from bench.engines.__main__ import play
from bench.engines.callers import make_requests
from bench.engines.deployments import DEPLOYMENTS
from bench.engines.ways import WAYS

CONSORTIUM = DEPLOYMENTS['consortium']
SEED = 11
DURATION_S = 20.0


def played(way, load):
    """Play one way of serving on the small deployment."""
    return play(CONSORTIUM, WAYS[way], load, SEED, DURATION_S)


def test_same_seed_gives_the_same_figures():
    """A run can be repeated."""
    assert played('product', 1.0) == played('product', 1.0)


def test_all_ways_get_the_same_requests():
    """Arrivals depend on deployment, load and seed alone."""
    first, second = (
        make_requests(CONSORTIUM, 1.0, SEED, DURATION_S) for _ in range(2)
    )

    assert first == second


@pytest.mark.parametrize('way', ['smallest only', 'largest only'])
def test_cascade_serves_callers_better_than_one_model(way):
    """At usual load: more worth to callers, after the price of models."""
    assert played('product', 1.0).net_share > played(way, 1.0).net_share


def test_price_keeps_answers_in_time_under_load():
    """At 1.6 times the load fixed tiers are late; the price gives way."""
    product = played('product', 1.6)
    fixed = played('fixed tiers', 1.6)

    assert product.in_time_share > fixed.in_time_share
    assert product.worth_share > fixed.worth_share


def test_placement_beats_taking_turns():
    """Callers wait less where parts are cached and queues are short."""
    assert played('product', 1.0).p95_ms < played('round robin', 1.0).p95_ms
