"""The price of engine time under the load that it answers.

The load: in a burst while a third of the replicas is replaced, the queued
prefill work of a pool grows from some hundred milliseconds a replica to over a
second, while first tokens stay within objectives of several seconds. Streams
starve, and the price by first tokens stays at zero.
"""

import pytest

from snipebridge.fleet.loads import FleetLoads, make_load_order
from snipebridge.policy.congestion_price import CongestionPrice
from snipebridge.policy.pool_congestion import PoolMember, pool_price
from snipebridge.policy.tiers import DraftState, TierPolicy, value_density
from snipebridge.relay.replicas import Replica, ReplicaRegistry
from snipebridge.rpc.control_pb2 import ListedReplica, ReplicaList, ReplicaUse

PAUSE_S = 1.2
OBJECTIVE_S = 5.0
REPLICAS = [f'r{number}' for number in range(6)]
# Mean queued work of a replica in ms, before and in the burst.
CALM_MS = 230
BURST_MS = 1377
TIERS = ('small', 'large')


def entry_registry(entries, backlog_ms):
    """Return the replicas as one entry knows them after its heartbeat.

    Each of the entries has an equal part of the work under way.
    """
    loads = FleetLoads()
    for entry in range(entries):
        uses = [
            ReplicaUse(
                replica=name,
                running=1,
                backlog_ms=(backlog_ms * (entry + 1)) // entries
                - (backlog_ms * entry) // entries,
            )
            for name in REPLICAS
        ]
        loads.take(f'e{entry}', uses, now_s=0.0)
    registry = ReplicaRegistry()
    listed = ReplicaList(
        edition=1,
        replicas=[
            ListedReplica(id=name, service='s', address=f'{name}:1', slots=128)
            for name in REPLICAS
        ],
    )
    registry.edition = listed.edition
    registry.update_list(listed.replicas, 1.0, 1.0)
    registry.apply_loads(
        loads.of_others('e0', make_load_order(1, REPLICAS), 0.1)
    )
    for replica in registry.by_id.values():
        replica.backlog_ms = backlog_ms / entries
    return registry


def price_at_entry(entries, backlog_ms):
    """Return the price that an entry computes."""
    members = [
        PoolMember(replica.total_backlog_ms, replica.running, replica.slots)
        for replica in entry_registry(entries, backlog_ms).available_for(
            's', 0.0
        )
    ]
    return pool_price(members, PAUSE_S)


@pytest.mark.parametrize('entries', [6, 83, 191, 340])
def test_the_price_rises_with_the_first_heartbeat_of_a_burst(entries):
    """It is the same at any number of entries, each of which sends little."""
    assert price_at_entry(entries, CALM_MS) == pytest.approx(0.0, abs=0.05)
    assert price_at_entry(entries, BURST_MS) > 1.0


def test_the_price_by_first_tokens_does_not_see_the_burst():
    """First tokens after 1.3 s are within a quarter of the objective."""
    price = CongestionPrice()
    for step in range(100):
        price.record_first_token(1.3, OBJECTIVE_S, now_s=step / 10)
    assert price.value(10.0) == pytest.approx(0.0, abs=0.05)


def test_drafts_are_kept_in_the_burst_and_replaced_when_calm():
    """In the burst only prompts that are mostly cached are worth a run."""
    policy = TierPolicy()
    weight = value_density(1, 9_190, 170, 5_400)
    state = DraftState('small', 40.0, 2, weight, expected_s=0.5)
    state.objective_left_s = state.deadline_left_s = OBJECTIVE_S
    state.price = price_at_entry(7, CALM_MS)
    assert policy.next_tier(TIERS, state) == 'large'
    state.price = price_at_entry(7, BURST_MS)
    assert not policy.next_tier(TIERS, state)
    state.weight = value_density(0, 9_190, 50, 300)
    assert policy.next_tier(TIERS, state) == 'large'


def test_services_without_streams_have_no_price():
    assert not pool_price([PoolMember(9_000.0)], pause_objective_s=0.0)
    assert not pool_price([], pause_objective_s=1.0)


def test_a_replica_knows_the_work_of_all_entries():
    replica = Replica('r', 's', 'r:1', 'a', 'v1', 8)
    replica.backlog_ms = 20.0
    replica.others_backlog_ms = 300
    assert replica.total_backlog_ms == pytest.approx(320.0)


@pytest.mark.parametrize('backlog_ms', [450, 700])
def test_a_pool_that_keeps_up_has_no_price(backlog_ms):
    """Replicas of a quiet day with long prompts have this queued on average."""
    members = [PoolMember(backlog_ms) for _ in range(39)]
    assert not pool_price(members, pause_objective_s=1.0)
