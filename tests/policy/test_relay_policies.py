"""Trust, retry budget, tiers, price and placement under their loads."""

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
    value_per_engine_time,
)

TIERS = ('small', 'middle', 'large')


def test_budget_holds_over_all_entries_in_any_window():
    """Many entries that each see little stay within one bound together."""
    rng = random.Random(3)
    entries = [RetryWindow(0.5, 40.0, 10.0) for _ in range(80)]
    requests, repeats = [], []
    for step in range(3000):
        now_s = step / 100
        entry = rng.choice(entries)
        entry.record_request('s', now_s)
        requests.append(now_s)
        while entry.try_acquire('s', 80, now_s):
            repeats.append(now_s)
    for start in range(20):
        window = range(start, start + 10)
        asked = sum(int(at_s) in window for at_s in requests)
        again = sum(int(at_s) in window for at_s in repeats)
        assert again <= 0.5 * asked + 40
    assert len(repeats) > 0.3 * len(requests)


def test_failing_replica_is_asked_rarely():
    """One that always fails gets a probe now and then, for growing pauses."""
    trust = CircuitBreaker()
    probes = 0
    for step in range(6000):
        now_s = step / 100
        if trust.allows_requests(now_s):
            probes += 1
            trust.record_failure(now_s)
    assert probes < 15
    trust.record_success()
    assert trust.allows_requests(61.0 + 8.0)


def test_price_gives_up_the_least_urgent_first():
    """Under pressure the rank decides who still gets the large model."""
    policy = TierPolicy()
    price = CongestionPrice()
    kept = {}
    for step in range(12):
        now_s = step / 10
        price.record_first_token(1.2, objective_s=2.0, now_s=now_s)
        for rank in range(3):
            weight = value_per_engine_time(rank, 2000, 200, 1000)
            state = DraftState('small', 30.0, 2, weight, price.value(now_s))
            if not policy.next_tier(TIERS, state):
                kept.setdefault(rank, price.value(now_s))
    assert kept[2] < kept[1] < kept.get(0, 9.0)


def test_late_large_model_is_asked_only_for_hopeless_drafts():
    """An answer past the objective is worth a third of one in time."""
    policy = TierPolicy()
    state = DraftState('small', 40.0, 2, expected_s=3.0, objective_left_s=1.0)
    state.deadline_left_s = 9.0
    assert policy.next_tier(TIERS, state) == ''
    state.confidence = 5.0
    assert policy.next_tier(TIERS, state) == 'large'
    state.deadline_left_s = 2.0
    assert policy.next_tier(TIERS, state) == ''


def test_one_attempt_goes_to_the_strongest():
    """Without a second attempt there is nothing to fall back on."""
    assert TierPolicy().first_tier(TIERS, 1) == 'large'
    assert TierPolicy().first_tier(TIERS, 3) == 'small'
    assert TierPolicy().first_tier((), 3) == ''


def test_shared_parts_meet_without_a_word_between_entries():
    """Entries that know nothing of each other choose the same replicas."""
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


def test_entries_with_one_report_do_not_all_take_the_same_replica():
    """Many entries choose before the next report tells what they chose."""
    reported = [ReplicaLoad(f'r{number}', running=20) for number in range(30)]
    reported[7].running = 12
    chosen = Counter(
        choose(
            reported, PromptShape(500), PrefillSpeed(), random.Random(entry)
        ).replica
        for entry in range(83)
    )
    # The one that looks best gets more than its part, and not everything.
    assert 83 / 30 < chosen['r7'] < 83 / 4


def test_replica_of_the_hash_is_always_weighed():
    """Chance does not keep a request from where its parts are."""
    loads = [ReplicaLoad(f'r{number}') for number in range(30)]
    shape = PromptShape(9000, 6000, 'part')
    chosen = {
        choose(loads, shape, PrefillSpeed(0.1), random.Random(entry)).replica
        for entry in range(83)
    }
    assert len(chosen) == 1


def test_backlog_outweighs_a_cached_part():
    """A prompt leaves its replica when reading it anew is sooner."""
    shape = PromptShape(4000, 3500, 'part')
    rng = random.Random(1)
    loads = [ReplicaLoad(f'r{number}') for number in range(3)]
    home = choose(loads, shape, PrefillSpeed(0.05), rng).replica
    for load in loads:
        load.backlog_ms = 900.0 if load.replica == home else 0.0
    assert choose(loads, shape, PrefillSpeed(0.05), rng).replica != home


def test_failing_and_full_replicas_are_charged():
    """Both cost what the caller would wait for them."""
    rng = random.Random(1)
    loads = [
        ReplicaLoad('grey', failure_share=0.4),
        ReplicaLoad('full', running=20, slots=6),
        ReplicaLoad('good', running=8),
    ]
    assert choose(loads, PromptShape(), PrefillSpeed(), rng).replica == 'good'


def test_pace_follows_the_fast_samples():
    """Waits for other prompts do not make a model look slow."""
    rng = random.Random(5)
    paces = PrefillSpeedEstimator()
    for _ in range(300):
        paces.add_sample('m', 2000, 2000 * 0.03 + rng.expovariate(1 / 60.0))
    assert 0.03 <= paces.speed('m').ms_per_token < 0.045


def test_entry_of_many_starts_from_what_the_fleet_has_learned():
    """It asks a strong model rarely, and its first samples may be slow."""
    alone = PrefillSpeedEstimator()
    told = PrefillSpeedEstimator()
    told.set_fleet_speed('m', 0.09)
    for paces in (alone, told):
        paces.add_sample('m', uncached_tokens=1000, waited_ms=900.0)
    assert alone.speed('m').ms_per_token == pytest.approx(0.9)
    assert told.speed('m').ms_per_token < 0.2
    for _ in range(20):
        told.add_sample('m', uncached_tokens=1000, waited_ms=300.0)
    assert told.speed('m').ms_per_token == pytest.approx(0.3, rel=0.1)


def test_one_slow_entry_does_not_move_what_the_fleet_has_learned():
    """Entries tell what they learned; the leader passes the middle on."""
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
