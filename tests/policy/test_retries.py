"""Tests of retry and hedging decisions."""

import random

import pytest

from snipebridge.errors import Ran
from snipebridge.policy.retries import (
    FailedAttempt,
    RetryReason,
    SlowAttempt,
    make_retry_policy,
)


def _decide(policy, now_s=0.0, **fields):
    options = {'pool': 'models', 'ran': Ran.NO, 'is_idempotent': True}
    attempt = FailedAttempt(**(options | fields))
    return policy.decide(attempt, now_s, random.Random(1))


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'ran': Ran.UNKNOWN, 'is_idempotent': False}, 'may_have_run'),
        ({'ran': Ran.YES, 'is_idempotent': False}, 'may_have_run'),
        ({'ran': Ran.NO, 'is_idempotent': False}, 'allowed'),
        ({'ran': Ran.UNKNOWN}, 'allowed'),
        ({'attempts': 3}, 'attempts'),
        ({'deadline_s': 1.0, 'expected_s': 1.1}, 'deadline'),
        ({'deadline_s': 1.0, 'expected_s': 1.0}, 'allowed'),
    ],
)
def test_retries_are_safe_and_meet_the_deadline(fields, reason):
    """A request that may have run is retried only if it is idempotent."""
    assert _decide(make_retry_policy(), **fields).reason == reason


def test_failed_pool_causes_no_retry_storm():
    """Retries stay within the budget while a pool fails and recovers."""
    policy = make_retry_policy()
    retries = 0
    requests = 0
    for phase_answers in (True, False, True):
        for _ in range(1000):
            requests += 1
            if phase_answers:
                policy.record_success('models')
            else:
                retries += _decide(policy).allowed
    assert 0 < retries <= 11
    assert _decide(policy, pool='other').allowed


def test_empty_pool_is_not_retried_until_a_success():
    """A retry that must fail is not charged to the budget."""
    policy = make_retry_policy()
    policy.mark_pool_empty('models', until_s=5.0)
    assert _decide(policy, now_s=4.0).reason is RetryReason.POOL_EMPTY
    policy.record_success('models')
    assert _decide(policy, now_s=4.0).allowed


def test_hedges_wait_for_a_slow_first_token_and_share_the_budget():
    """About one in twenty first tokens is slow; the budget bounds hedges."""
    policy = make_retry_policy()
    rng = random.Random(1)
    hedges = 0
    for _ in range(2000):
        waited_s = rng.expovariate(2.0)
        slow = SlowAttempt('models', is_idempotent=True, waited_s=waited_s)
        hedges += policy.decide_hedge(slow, 0.0).allowed
        policy.record_first_token('models', waited_s)
        policy.record_success('models')
    assert 50 < hedges < 130
    unsafe = SlowAttempt('models', is_idempotent=False, waited_s=99.0)
    assert policy.decide_hedge(unsafe, 0.0).reason == 'may_have_run'
