"""Attempts of one request against its limits, without a network."""

from types import SimpleNamespace

import pytest

from snipebridge.errors import Ran
from snipebridge.policy.retry_window import RetryWindow
from snipebridge.relay.attempt_limits import AttemptLimits
from tests.clocks import ManualClock


def make_limits(retries, attempts_limit=3, *, allows_retry=True, ran=Ran.YES):
    """Return the limits of a request that has run, unless it says otherwise."""
    route = SimpleNamespace(
        attempts_limit=attempts_limit, allows_retry=allows_retry
    )
    progress = SimpleNamespace(ran=ran, service='s')
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


def make_window():
    """Return a retry budget that is never spent."""
    return RetryWindow(ratio=0.0, slack=90.0, window_s=10.0)


@pytest.mark.parametrize('ran', [Ran.YES, Ran.UNKNOWN])
def test_request_that_may_run_once_has_no_attempt_left_after_its_run(ran):
    """Guards against an answer dropped for a run that is then refused."""
    limits = make_limits(make_window(), allows_retry=False, ran=ran)
    limits.dispatch_count = 1
    assert limits.attempts_left() == 0
    assert not limits.may_escalate()
    assert not limits.can_retry()
    assert limits.denial_reason()


def test_request_that_may_run_once_is_tried_until_it_has_run():
    """Guards against refusals that use up the only run."""
    limits = make_limits(make_window(), allows_retry=False, ran=Ran.NO)
    assert limits.runs_allowed() == 1
    for _ in range(2):
        limits.dispatch_count += 1
        limits.refused_count += 1
        assert limits.attempts_left() == 1
        assert not limits.denial_reason()
