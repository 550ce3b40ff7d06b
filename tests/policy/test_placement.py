"""Tests that placement follows demand without emptying a pool."""

from dataclasses import replace

import pytest

from snipebridge.policy.placement import (
    OrderKind,
    PlacedUpstream,
    VersionDemand,
    make_placement_planner,
)

OLD = 'small@1'
NEW = 'small@2'


class Fleet:
    """Upstreams that execute orders; those in `broken` fail them."""

    def __init__(self, count=10, loaded=(OLD,), max_versions=2):
        """Start with the versions loaded on every upstream."""
        self.planner = make_placement_planner()
        self.broken = set()
        self.min_counts = {}
        self.orders = []
        self.upstreams = {
            f'engine-{number}': PlacedUpstream(
                f'engine-{number}',
                'models',
                frozenset(loaded),
                slots=8,
                max_versions=max_versions,
            )
            for number in range(count)
        }

    def run(self, demands, start_s, steps=60, step_s=5.0):
        """Plan orders, execute them and record the results in each step."""
        for step in range(steps):
            now_s = start_s + step * step_s
            orders = self.planner.plan(
                list(self.upstreams.values()),
                demands(now_s) if callable(demands) else demands,
                now_s,
            )
            for order in orders:
                self._carry_out(order, now_s)
            self.orders.append(orders)
            for version in (OLD, NEW):
                count = self.count(version)
                min_count = self.min_counts.get(version, count)
                self.min_counts[version] = min(min_count, count)

    def count(self, version):
        """Return the number of upstreams that have the version loaded."""
        return sum(
            version in upstream.loaded for upstream in self.upstreams.values()
        )

    def _carry_out(self, order, now_s):
        upstream = self.upstreams[order.upstream]
        succeeded = order.upstream not in self.broken
        if succeeded and order.kind is OrderKind.LOAD:
            loaded = upstream.loaded | {order.version}
            self.upstreams[order.upstream] = replace(upstream, loaded=loaded)
        elif succeeded:
            loaded = upstream.loaded - {order.version}
            self.upstreams[order.upstream] = replace(upstream, loaded=loaded)
        self.planner.record_result(order, succeeded, now_s)


def _demand(version, concurrency, **fields):
    return VersionDemand(version, 'models', concurrency, **fields)


def _single_order(orders):
    """Return the one order of a plan."""
    assert len(orders) == 1
    return orders[0]


def test_full_pool_replaces_old_version_gradually():
    """A roll-out in a full pool leaves enough replicas for the demand."""
    fleet = Fleet(max_versions=1)
    fleet.run([_demand(OLD, 30.0), _demand(NEW, 0.0)], 0.0, steps=40)
    assert fleet.count(NEW) == 2
    # 30 requests with margin need 5 replicas of 8 slots.
    assert fleet.min_counts[OLD] >= 5
    fleet.run([_demand(OLD, 2.0), _demand(NEW, 40.0)], 200.0, steps=200)
    assert fleet.count(NEW) == 7
    assert fleet.count(OLD) >= 2
    changing = max(len(orders) for orders in fleet.orders)
    assert changing <= 3


def test_insufficient_pool_is_divided_between_versions():
    """Versions with equal demand get equal shares and stop moving."""
    fleet = Fleet(count=6, max_versions=1)
    demands = [_demand(OLD, 60.0), _demand(NEW, 60.0)]
    fleet.run(demands, 0.0, steps=100)
    fleet.orders.clear()
    fleet.run(demands, 500.0, steps=100)
    assert (fleet.count(OLD), fleet.count(NEW)) == (3, 3)
    assert not any(fleet.orders)


def test_last_serving_replica_stays_while_another_is_loading():
    """A pending load does not count as a serving replica."""
    fleet = Fleet(count=6, loaded=('large@1',), max_versions=1)
    upstreams = list(fleet.upstreams.values())
    upstreams[0] = replace(upstreams[0], loaded=frozenset({OLD}))
    upstreams[1] = replace(upstreams[1], loaded=frozenset())
    planner = make_placement_planner()
    order = _single_order(
        planner.plan(upstreams, [_demand(OLD, 1.0)], now_s=0.0)
    )
    assert (order.upstream, order.kind) == ('engine-1', OrderKind.LOAD)
    demands = [
        _demand(OLD, 1.0, min_replicas=1),
        _demand(NEW, 0.0, min_replicas=1),
        _demand('large@1', 1.0, min_replicas=4),
    ]
    for now_s in (1.0, 62.0):
        assert not planner.plan(upstreams, demands, now_s)
    planner.record_result(order, succeeded=True, now_s=63.0)
    upstreams[1] = replace(upstreams[1], loaded=frozenset({OLD}))
    order = _single_order(planner.plan(upstreams, demands, now_s=63.0))
    assert (order.kind, order.version) == (OrderKind.UNLOAD, OLD)


def test_withdrawn_version_is_unloaded_once_idle():
    """A withdrawn version stays loaded while its requests run."""
    fleet = Fleet(loaded=(OLD, NEW))
    withdrawn = _demand(NEW, 1.0, is_withdrawn=True)
    fleet.run([_demand(OLD, 8.0), withdrawn], 0.0, steps=10)
    assert fleet.count(NEW) == 10
    idle = _demand(NEW, 0.0, is_withdrawn=True)
    fleet.run([_demand(OLD, 8.0), idle], 100.0)
    assert (fleet.count(OLD), fleet.count(NEW)) == (10, 0)
    assert max(len(orders) for orders in fleet.orders) == 3


def test_failed_orders_are_retried_with_backoff():
    """Other upstreams get loads at once; a new leader resumes the roll-out."""
    fleet = Fleet()
    fleet.broken = {'engine-0', 'engine-1', 'engine-2'}
    fleet.run([_demand(OLD, 8.0), _demand(NEW, 30.0)], 0.0, steps=12)
    tries = [
        order
        for orders in fleet.orders
        for order in orders
        if order.upstream in fleet.broken
    ]
    assert fleet.count(NEW) == 5
    assert len(tries) <= 12
    # A new leader, which has none of this state, plans the missing loads.
    fleet.planner = make_placement_planner()
    fleet.broken = set()
    fleet.run([_demand(OLD, 8.0), _demand(NEW, 50.0)], 100.0, steps=20)
    assert fleet.count(NEW) == 8


def test_loads_are_limited_to_the_rate_of_the_weight_store():
    """A new version is loaded at the configured rate after the burst."""
    fleet = Fleet(count=40)
    fleet.run([_demand(NEW, 200.0)], 0.0, steps=10, step_s=1.0)
    loads = [len(orders) for orders in fleet.orders]
    assert sum(loads) <= 3 + 9 * 0.5
    assert sum(loads) >= 6


@pytest.mark.parametrize(
    ('amplitude', 'period_s'),
    [(0.1, 5), (0.2, 5), (0.1, 150)],
)
def test_small_changes_of_demand_cause_no_orders(amplitude, period_s):
    """Demand that oscillates around a threshold causes no loads or unloads."""
    fleet = Fleet(count=8, max_versions=1)

    def demands(now_s):
        factor = 1 + amplitude * (-1) ** int(now_s / period_s)
        return [_demand(OLD, 25.6 * factor), _demand(NEW, 19.2 * (2 - factor))]

    fleet.run(demands, 0.0, steps=40)
    fleet.orders.clear()
    fleet.run(demands, 200.0, steps=400)
    assert not any(fleet.orders)


def test_order_without_a_result_times_out():
    """A lost result blocks neither the version nor the upstream."""
    fleet = Fleet(count=3)
    planner = fleet.planner
    upstreams = list(fleet.upstreams.values())
    demands = [_demand(OLD, 8.0), _demand(NEW, 0.0, min_replicas=1)]
    first = planner.plan(upstreams, demands, now_s=0.0)
    assert len(first) == 1
    assert not planner.plan(upstreams, demands, now_s=119.0)
    second = _single_order(planner.plan(upstreams, demands, now_s=120.0))
    assert second.upstream != first[0].upstream
