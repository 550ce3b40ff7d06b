"""Upstreams that leave or fail get no new work, within bounds."""

import pytest

from snipebridge.policy.health import (
    HealthSignal,
    Outcome,
    UpstreamState,
    make_health_tracker,
)

LIVE = UpstreamState.LIVE
LEAVING = UpstreamState.LEAVING


@pytest.fixture
def book():
    """Return a book with one pool of four upstreams."""
    health = make_health_tracker()
    health.set_members({f'engine-{number}': 'models' for number in range(4)})
    return health


def _fail(book, name, times=3, now_s=0.0):
    for _ in range(times):
        book.record_outcome(name, Outcome.FAILED, now_s)


def test_older_host_list_never_undoes_a_newer_sign(book):
    """Lists from before the upstream's own sign keep saying that it lives."""
    book.record_host_list(7, {'engine-0': LIVE})
    book.record_own_state('engine-0', LEAVING, measured_s=10.0)
    for sequence in (8, 9):
        book.record_host_list(sequence, {'engine-0': LIVE})
        assert not book.is_available('engine-0', now_s=11.0)
    book.record_host_list(10, {'engine-0': LEAVING})
    book.record_host_list(9, {'engine-0': LIVE})
    assert not book.is_available('engine-0', now_s=12.0)
    # The list has seen it leave, so now its word that it is back counts.
    book.record_host_list(11, {'engine-0': LIVE})
    assert book.is_available('engine-0', now_s=13.0)


def test_listed_upstream_left_out_is_gone(book):
    """Only a list that once had the upstream can make it gone."""
    book.record_host_list(1, {'engine-0': LIVE})
    book.record_host_list(2, {'engine-1': LIVE})
    assert not book.is_available('engine-0', now_s=0.0)
    assert book.is_available('engine-2', now_s=0.0)


def test_passed_on_signs_are_ordered_and_bounded_in_time(book):
    """A lower sequence never replaces a sign, an overload hides no leave."""
    book.record_signal(
        HealthSignal('engine-0', LEAVING, 5, valid_s=30.0), now_s=0.0
    )
    book.record_signal(
        HealthSignal('engine-0', LIVE, 4, valid_s=30.0), now_s=1.0
    )
    overload = HealthSignal(
        'engine-0', UpstreamState.OVERLOADED, 6, valid_s=2.0
    )
    book.record_signal(overload, now_s=1.0)
    assert not book.is_available('engine-0', now_s=2.0)
    assert book.is_overloaded('engine-0', now_s=2.0)
    assert not book.is_overloaded('engine-0', now_s=3.0)
    assert book.is_available('engine-0', now_s=30.0)


def test_ejection_is_bounded_to_a_share_of_the_pool(book):
    """A fault that hits all upstreams leaves half of them in use."""
    for number in range(4):
        _fail(book, f'engine-{number}', times=20)
    available = [
        number
        for number in range(4)
        if book.is_available(f'engine-{number}', now_s=0.5)
    ]
    assert available == [2, 3]


def test_probe_times_double_and_one_probe_runs_at_a_time(book):
    """An upstream that stays bad is tried ever more seldom."""
    _fail(book, 'engine-0')
    now_s = 0.0
    for pause_s in (1.0, 2.0, 4.0):
        assert not book.is_available('engine-0', now_s + pause_s - 0.01)
        now_s += pause_s
        assert book.is_available('engine-0', now_s)
        book.record_dispatch('engine-0')
        assert not book.is_available('engine-0', now_s)
        _fail(book, 'engine-0', times=1, now_s=now_s)
    returned = book.record_outcome('engine-0', Outcome.ANSWERED, now_s + 8.0)
    assert returned
    assert not book.ejected_names('models')


def test_steady_share_of_failures_ejects(book):
    """Failures that never come three in a row are still noticed."""
    for turn in range(30):
        is_good = turn % 3 == 0
        outcome = Outcome.ANSWERED if is_good else Outcome.TIMED_OUT
        book.record_outcome('engine-0', outcome, now_s=0.0)
    assert not book.is_available('engine-0', now_s=0.5)
