"""Tests of the division of concurrency between accounts and entries."""

from collections import Counter

import pytest

from snipebridge.policy.shares import (
    DEMAND_VALID_S,
    SHARE_VALID_S,
    Demand,
    allocate_max_min,
    make_share_plan,
)


def _plan(concurrency, weights=None):
    plan = make_share_plan()
    plan.set_concurrency('models', concurrency)
    plan.set_weights(weights or {})
    return plan


def _note(plan, entry, now_s=0.0, **demands):
    plan.record_demands(
        entry,
        [
            Demand(account, 'models', wanted, 0.0)
            for account, wanted in demands.items()
        ],
        now_s,
    )


def _totals(plan, entries, now_s=0.0):
    totals = Counter()
    for entry in entries:
        for share in plan.shares(entry, now_s):
            totals[share.account] += share.share
    return totals


def test_account_at_many_entries_gets_one_share():
    """More entries and more requests do not increase a share."""
    plan = _plan(80, {'large': 2.0})
    for number in range(6):
        _note(plan, f'entry-{number}', greedy=100.0)
    _note(plan, 'entry-0', greedy=100.0, small=60.0, large=60.0)
    totals = _totals(plan, [f'entry-{number}' for number in range(6)])
    assert totals['greedy'] == pytest.approx(20, rel=0.1)
    assert totals['small'] == pytest.approx(20, rel=0.1)
    assert totals['large'] == pytest.approx(40, rel=0.1)


def test_idle_share_is_used_by_others_and_reclaimed():
    """A share follows the demand in the next report of the entry."""
    plan = _plan(20)
    _note(plan, 'entry-1', busy=50.0, quiet=0.0)
    assert _totals(plan, ['entry-1']) == {'busy': pytest.approx(20)}
    _note(plan, 'entry-1', now_s=0.5, busy=50.0, quiet=50.0)
    totals = _totals(plan, ['entry-1'], now_s=0.5)
    assert totals['quiet'] == pytest.approx(10)


def test_queued_requests_represent_refused_ones():
    """An account whose excess requests are refused gets its fair share."""
    plan = _plan(20)
    queued = Demand('a', 'models', running=2.0, waiting=2.0)
    plan.record_demands('entry-1', [queued], now_s=0.0)
    _note(plan, 'entry-2', greedy=100.0)
    totals = _totals(plan, ['entry-1', 'entry-2'])
    assert totals['a'] == pytest.approx(10)


@pytest.mark.parametrize('entries', [3, 6, 24])
def test_whole_requests_add_up_to_the_concurrency(entries):
    """Rounding neither overloads the pool nor leaves it idle."""
    plan = _plan(40)
    names = [f'entry-{number}' for number in range(entries)]
    for number, name in enumerate(names):
        _note(plan, name, a=10.0 + number, b=12.0)
    sums = [
        sum(share.share for share in plan.shares(name, 0.0)) for name in names
    ]
    assert sum(sums) == pytest.approx(40)
    assert all(abs(total - round(total)) < 1e-6 for total in sums)
    assert min(sums) > 0.99


def test_idle_concurrency_is_overcommitted_within_bounds():
    """Entries of a lightly loaded pool may exceed their part of it."""
    plan = _plan(40)
    names = ['entry-1', 'entry-2', 'entry-3', 'entry-4']
    lent = []
    for wanted in (1.0, 7.0, 20.0):
        for name in names:
            _note(plan, name, now_s=wanted, a=wanted)
        lent.append(_totals(plan, names, now_s=wanted)['a'])
    assert lent == [pytest.approx(total) for total in (80, 57, 40)]


def test_shares_of_a_lost_entry_are_reclaimed_after_they_expire():
    """Other entries get them neither before they expire nor much later."""
    plan = _plan(20)
    _note(plan, 'lost', a=50.0)
    _note(plan, 'kept', b=50.0)
    before = _totals(plan, ['kept'], now_s=SHARE_VALID_S)
    _note(plan, 'kept', now_s=DEMAND_VALID_S, b=50.0)
    after = _totals(plan, ['kept'], now_s=DEMAND_VALID_S)
    assert before['b'] == pytest.approx(10)
    assert after['b'] == pytest.approx(20)
    _note(plan, 'lost', now_s=DEMAND_VALID_S, a=50.0)
    plan.remove_entry('lost')
    assert _totals(plan, ['kept'], now_s=DEMAND_VALID_S)['b'] > 19


def test_max_min_allocation_is_bounded_by_demand():
    """The remainder is divided by weight and the whole capacity is used."""
    demands = {'tiny': 1.0, 'heavy': 90.0, 'light': 90.0}
    parts = allocate_max_min(31.0, demands, {'heavy': 2.0})
    assert parts == {'tiny': 1.0, 'light': 10.0, 'heavy': 20.0}
