"""Policies of the relay: breaker, retries, tiers, price and placement."""

import random
from collections import Counter

import pytest

from snipebridge.fleet.paces import REPORT_VALID_S, FleetPaces
from snipebridge.policy.circuit_breaker import CircuitBreaker
from snipebridge.policy.congestion_price import CongestionPrice
from snipebridge.policy.engine_placement import (
    PrefillSpeed,
    PromptShape,
    ReplicaLoad,
    choose,
)
from snipebridge.policy.prefill_speed import (
    ModelPrefillSpeed,
    PrefillSpeedEstimator,
)
from snipebridge.policy.retry_window import RetryWindow
from snipebridge.policy.tiers import (
    DraftState,
    TierPolicy,
    value_density,
)

TIERS = ('small', 'middle', 'large')


def test_retry_budget_holds_across_entries_in_any_window():
    """Many entries, each with few requests, jointly stay in the limit."""
    rng = random.Random(3)
    entries = [RetryWindow(0.5, 40.0, 10.0) for _ in range(80)]
    requests, retries = [], []
    for step in range(3000):
        now_s = step / 100
        entry = rng.choice(entries)
        entry.record_request('s', now_s)
        requests.append(now_s)
        while entry.try_acquire('s', 80, now_s):
            retries.append(now_s)
    for start in range(20):
        window = range(start, start + 10)
        arrived = sum(int(at_s) in window for at_s in requests)
        retried = sum(int(at_s) in window for at_s in retries)
        assert retried <= 0.5 * arrived + 40
    assert len(retries) > 0.3 * len(requests)


def test_failing_replica_is_probed_rarely():
    """The pause between probes of a failing replica grows to its limit."""
    breaker = CircuitBreaker()
    probes = 0
    for step in range(6000):
        now_s = step / 100
        if breaker.allows_requests(now_s):
            probes += 1
            breaker.record_failure(now_s)
    assert probes < 15
    breaker.record_success()
    assert breaker.allows_requests(61.0 + 8.0)


def test_congestion_price_keeps_drafts_of_low_priority_first():
    """As the price rises, low priorities lose the large model first."""
    policy = TierPolicy()
    price = CongestionPrice()
    kept = {}
    for step in range(12):
        now_s = step / 10
        price.record_first_token(1.2, objective_s=2.0, now_s=now_s)
        for rank in range(3):
            weight = value_density(rank, 2000, 200, 1000)
            state = DraftState('small', 30.0, 2, weight, price.value(now_s))
            if not policy.next_tier(TIERS, state):
                kept.setdefault(rank, price.value(now_s))
    assert kept[2] < kept[1] < kept.get(0, 9.0)


def test_late_escalation_only_for_very_unlikely_drafts():
    """A late answer is worth a third, so few drafts are replaced by one."""
    policy = TierPolicy()
    state = DraftState('small', 40.0, 2, expected_s=3.0, objective_left_s=1.0)
    state.deadline_left_s = 9.0
    assert policy.next_tier(TIERS, state) == ''
    state.confidence = 5.0
    assert policy.next_tier(TIERS, state) == 'large'
    state.deadline_left_s = 2.0
    assert policy.next_tier(TIERS, state) == ''


def test_single_attempt_uses_the_strongest_model():
    """Without a second attempt a draft could not be escalated."""
    assert TierPolicy().first_tier(TIERS, 1) == 'large'
    assert TierPolicy().first_tier(TIERS, 3) == 'small'
    assert TierPolicy().first_tier((), 3) == ''


def test_entries_place_a_shared_part_alike_without_coordination():
    """Independent entries choose the same replicas for a shared part."""
    used = {}
    for entry in range(20):
        rng = random.Random(entry)
        for part in range(30):
            loads = [ReplicaLoad(f'r{number}') for number in range(10)]
            shape = PromptShape(4000, 3500, f'part-{part}')
            chosen = choose(loads, shape, PrefillSpeed(0.05), rng).replica
            used.setdefault(part, set()).add(chosen)
    assert all(len(replicas) <= 2 for replicas in used.values())
    assert len(set().union(*used.values())) == 10


def test_entries_with_the_same_report_do_not_herd():
    """Many entries choose before the next report shows their requests."""
    reported = [ReplicaLoad(f'r{number}', running=20) for number in range(30)]
    reported[7].running = 12
    chosen = Counter(
        choose(
            reported, PromptShape(500), PrefillSpeed(), random.Random(entry)
        ).replica
        for entry in range(83)
    )
    # The least loaded replica gets more than an equal share, but not all.
    assert 83 / 30 < chosen['r7'] < 83 / 4


def test_replicas_of_the_hash_order_are_always_candidates():
    """Random sampling never leaves out the replicas of a shared part."""
    loads = [ReplicaLoad(f'r{number}') for number in range(30)]
    shape = PromptShape(9000, 6000, 'part')
    chosen = {
        choose(loads, shape, PrefillSpeed(0.1), random.Random(entry)).replica
        for entry in range(83)
    }
    assert len(chosen) == 1


def test_backlog_outweighs_a_cached_part():
    """A prompt moves when prefill on another replica is faster."""
    shape = PromptShape(4000, 3500, 'part')
    rng = random.Random(1)
    loads = [ReplicaLoad(f'r{number}') for number in range(3)]
    preferred = choose(loads, shape, PrefillSpeed(0.05), rng).replica
    for load in loads:
        load.backlog_ms = 900.0 if load.replica == preferred else 0.0
    assert choose(loads, shape, PrefillSpeed(0.05), rng).replica != preferred


def test_failing_and_full_replicas_cost_more():
    """Failures and full slots add the wait that they cause."""
    rng = random.Random(1)
    loads = [
        ReplicaLoad('grey', failure_share=0.4),
        ReplicaLoad('full', running=20, slots=6),
        ReplicaLoad('good', running=8),
    ]
    assert choose(loads, PromptShape(), PrefillSpeed(), rng).replica == 'good'


def test_prefill_speed_follows_fast_samples():
    """Waiting behind other prompts does not make a model look slow."""
    rng = random.Random(5)
    estimator = PrefillSpeedEstimator()
    for _ in range(300):
        estimator.add_sample('m', 2000, 2000 * 0.03 + rng.expovariate(1 / 60.0))
    assert 0.03 <= estimator.speed('m').ms_per_token < 0.045


def test_new_estimate_starts_from_the_fleet_estimate():
    """An entry with few samples, which may be slow, uses the fleet's."""
    alone = PrefillSpeedEstimator()
    seeded = PrefillSpeedEstimator()
    seeded.set_fleet_speed('m', 0.09)
    for estimator in (alone, seeded):
        estimator.add_sample('m', uncached_tokens=1000, waited_ms=900.0)
    assert alone.speed('m').ms_per_token == pytest.approx(0.9)
    assert seeded.speed('m').ms_per_token < 0.2
    for _ in range(20):
        seeded.add_sample('m', uncached_tokens=1000, waited_ms=300.0)
    assert seeded.speed('m').ms_per_token == pytest.approx(0.3, rel=0.1)


def test_one_slow_entry_does_not_change_the_fleet_estimate():
    """The leader distributes the median of the entries' estimates."""
    fleet = FleetPaces()
    for number in range(9):
        fleet.take(f'e{number}', [ModelPrefillSpeed('m', 0.09)], 0.0)
    fleet.take(
        'slow', [ModelPrefillSpeed('m', 5.0), ModelPrefillSpeed('n', 0.3)], 0.0
    )
    assert fleet.middle(1.0) == [
        ModelPrefillSpeed('m', 0.09),
        ModelPrefillSpeed('n', 0.3),
    ]
    assert not fleet.middle(1.0 + REPORT_VALID_S)


def test_a_refused_connection_is_evidence_at_once():
    """One entry meets a given replica rarely, so it can't wait for three."""
    breaker = CircuitBreaker()
    breaker.record_unreachable(now_s=1.0)
    assert not breaker.allows_requests(1.5)
    assert breaker.allows_requests(2.5)


def test_a_refunded_retry_can_be_used_again():
    window = RetryWindow(ratio=0.0, slack=2.0 / 0.85, window_s=10.0)
    assert window.try_acquire('s', 1, 0.0)
    assert window.try_acquire('s', 1, 0.1)
    assert not window.try_acquire('s', 1, 0.2)
    window.refund('s')
    assert window.try_acquire('s', 1, 0.3)
    assert not window.try_acquire('s', 1, 0.4)
    window.refund('unknown')
