"""Health tracking: departures, relayed signals, ejection and probation."""

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
def tracker():
    """Return a tracker with one pool of four upstreams."""
    health = make_health_tracker()
    health.set_members({f'engine-{number}': 'models' for number in range(4)})
    return health


def _fail(tracker, name, times=3, now_s=0.0):
    for _ in range(times):
        tracker.record_outcome(name, Outcome.FAILED, now_s)


def test_older_host_list_does_not_override_own_state(tracker):
    """Lists that predate the upstream's own report still call it live."""
    tracker.record_host_list(7, {'engine-0': LIVE})
    tracker.record_own_state('engine-0', LEAVING, measured_s=10.0)
    for sequence in (8, 9):
        tracker.record_host_list(sequence, {'engine-0': LIVE})
        assert not tracker.is_available('engine-0', now_s=11.0)
    tracker.record_host_list(10, {'engine-0': LEAVING})
    tracker.record_host_list(9, {'engine-0': LIVE})
    assert not tracker.is_available('engine-0', now_s=12.0)
    # The list has confirmed the departure, so a later list can revoke it.
    tracker.record_host_list(11, {'engine-0': LIVE})
    assert tracker.is_available('engine-0', now_s=13.0)


def test_listed_upstream_left_out_is_gone(tracker):
    """An upstream is gone only if an earlier list had it."""
    tracker.record_host_list(1, {'engine-0': LIVE})
    tracker.record_host_list(2, {'engine-1': LIVE})
    assert not tracker.is_available('engine-0', now_s=0.0)
    assert tracker.is_available('engine-2', now_s=0.0)


def test_relayed_signals_are_ordered_and_expire(tracker):
    """A lower sequence replaces nothing; overload hides no departure."""
    tracker.record_signal(
        HealthSignal('engine-0', LEAVING, 5, valid_s=30.0), now_s=0.0
    )
    tracker.record_signal(
        HealthSignal('engine-0', LIVE, 4, valid_s=30.0), now_s=1.0
    )
    overload = HealthSignal(
        'engine-0', UpstreamState.OVERLOADED, 6, valid_s=2.0
    )
    tracker.record_signal(overload, now_s=1.0)
    assert not tracker.is_available('engine-0', now_s=2.0)
    assert tracker.is_overloaded('engine-0', now_s=2.0)
    assert not tracker.is_overloaded('engine-0', now_s=3.0)
    assert tracker.is_available('engine-0', now_s=30.0)


def test_ejection_is_bounded_to_a_share_of_the_pool(tracker):
    """A fault of all upstreams leaves half of them in use."""
    for number in range(4):
        _fail(tracker, f'engine-{number}', times=20)
    available = [
        number
        for number in range(4)
        if tracker.is_available(f'engine-{number}', now_s=0.5)
    ]
    assert available == [2, 3]


def test_probe_times_double_and_one_probe_runs_at_a_time(tracker):
    """An upstream that keeps failing is probed less and less often."""
    _fail(tracker, 'engine-0')
    now_s = 0.0
    for pause_s in (1.0, 2.0, 4.0):
        assert not tracker.is_available('engine-0', now_s + pause_s - 0.01)
        now_s += pause_s
        assert tracker.is_available('engine-0', now_s)
        tracker.record_dispatch('engine-0')
        assert not tracker.is_available('engine-0', now_s)
        _fail(tracker, 'engine-0', times=1, now_s=now_s)
    recovered = tracker.record_outcome(
        'engine-0', Outcome.ANSWERED, now_s + 8.0
    )
    assert recovered
    assert not tracker.ejected_names('models')


def test_steady_share_of_failures_ejects(tracker):
    """A high failure rate ejects without three consecutive failures."""
    for turn in range(30):
        is_good = turn % 3 == 0
        outcome = Outcome.ANSWERED if is_good else Outcome.TIMED_OUT
        tracker.record_outcome('engine-0', outcome, now_s=0.0)
    assert not tracker.is_available('engine-0', now_s=0.5)
