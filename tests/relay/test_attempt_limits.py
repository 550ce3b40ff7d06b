"""Attempts of one request against its limits, without a network."""

from types import SimpleNamespace

from snipebridge.errors import Ran
from snipebridge.policy.retry_window import RetryWindow
from snipebridge.relay.attempt_limits import AttemptLimits
from tests.clocks import ManualClock


def make_limits(retries, attempts_limit=3):
    """Return the limits of a request that may be repeated."""
    route = SimpleNamespace(attempts_limit=attempts_limit, allows_retry=True)
    progress = SimpleNamespace(ran=Ran.YES, service='s')
    return AttemptLimits(
        SimpleNamespace(
            retries=retries, entry_count=lambda: 1, clock=ManualClock()
        ),
        SimpleNamespace(route=route, progress=progress, deadline_s=0.0),
    )


def test_a_connection_that_fails_gives_its_charge_back():
    """A draft is replaced although replicas on the way are gone."""
    retries = RetryWindow(ratio=0.0, slack=1.2, window_s=10.0)
    limits = make_limits(retries)
    assert not limits.denial_reason()
    limits.dispatch_count += 1
    for _ in range(3):
        assert not limits.denial_reason()
        limits.record_failed_connection()
    assert limits.attempts_left() == 2
    assert not limits.denial_reason()
    limits.dispatch_count += 1
    assert 'budget' in limits.denial_reason()


def test_failed_connections_are_bounded():
    """A service whose replicas are all gone is given up."""
    limits = make_limits(RetryWindow(ratio=0.0, slack=90.0, window_s=10.0))
    failed = 0
    while not limits.denial_reason():
        limits.record_failed_connection()
        failed += 1
    assert failed == 4
