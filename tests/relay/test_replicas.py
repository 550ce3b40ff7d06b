"""Tests of the replica registry: lists, reported loads and heartbeats."""

from snipebridge.fleet.loads import FleetLoads, make_load_order
from snipebridge.relay.messages import LoadReport
from snipebridge.relay.replicas import LOAD_VALID_S, ReplicaRegistry
from snipebridge.relay.reporting import RelayReporter
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.relay.state import RelayState
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ListedReplica,
    ReplicaLoads,
)
from tests.clocks import ManualClock


def listed_replica(name, **fields):
    """Return one replica of a list."""
    return ListedReplica(
        id=name, service='s', address=f'{name}:1', slots=4, **fields
    )


def available_ids(registry):
    """Return the ids of replicas that accept new requests."""
    return [replica.id for replica in registry.available_for('s', 0.0)]


def test_older_list_does_not_replace_a_newer_one():
    """Lists of control and of the fallback reader arrive in any order."""
    registry = ReplicaRegistry()
    registry.update_list([listed_replica('a'), listed_replica('b')], 10.0, 10.0)
    assert registry.update_list(
        [listed_replica('a', draining=True)], 12.0, 12.0
    ) == ['b']
    assert available_ids(registry) == []
    registry.update_list([listed_replica('a'), listed_replica('b')], 11.0, 12.5)
    assert available_ids(registry) == []


def test_replica_keeps_its_state_across_lists():
    """Its state is reset only if its address changes."""
    registry = ReplicaRegistry()
    registry.update_list([listed_replica('a')], 1.0, 1.0)
    registry.by_id['a'].running = 3
    registry.update_list([listed_replica('a'), listed_replica('b')], 2.0, 2.0)
    assert registry.by_id['a'].running == 3
    moved = listed_replica('a')
    moved.address = 'elsewhere:1'
    registry.update_list([moved], 3.0, 3.0)
    assert registry.by_id['a'].running == 0


def test_reported_load_is_valid_for_a_time():
    """It is corrected by this entry's requests started or ended since."""
    registry = ReplicaRegistry()
    registry.update_list([listed_replica('a')], 1.0, 1.0)
    replica = registry.by_id['a']
    replica.running = 2
    replica.record_load(LoadReport(7, 1, 4), 5.0)
    replica.running = 3
    assert replica.estimated_running(5.0) == 9
    registry.apply_loads(ReplicaLoads(running=[4], backlog_ms=[70]))
    assert replica.estimated_running(5.0 + LOAD_VALID_S + 0.1) == 7


def heartbeat_reply(edition, *replicas, age_s=0.5):
    """Return a heartbeat reply with a replica list."""
    made = HeartbeatReply()
    made.replicas.edition = edition
    made.replicas.age_s = age_s
    made.replicas.replicas.extend(replicas)
    return made


def test_lists_of_heartbeats():
    """A new edition replaces the list, the same edition confirms it."""
    clock = ManualClock()
    registry = ReplicaRegistry()
    reporter = RelayReporter(RelayState(SoftwareSelector(5.0), registry), clock)
    gone = []
    reporter.on_replica_removed = gone.append
    reporter.fill_request(HeartbeatRequest())
    reporter.apply_reply(
        heartbeat_reply(1, listed_replica('a'), listed_replica('b'))
    )
    first_s = registry.requested_at_s
    clock.now_s += 1.0
    reporter.fill_request(HeartbeatRequest())
    reporter.apply_reply(heartbeat_reply(1))
    assert registry.requested_at_s == first_s + 1.0
    assert available_ids(registry) == ['a', 'b']
    clock.now_s += 1.0
    reporter.fill_request(HeartbeatRequest())
    reporter.apply_reply(heartbeat_reply(2, listed_replica('b')))
    assert (available_ids(registry), gone) == (['b'], ['a'])


def test_empty_list_is_ignored():
    """The replicas of the previous list stay in use."""
    clock = ManualClock()
    registry = ReplicaRegistry()
    reporter = RelayReporter(RelayState(SoftwareSelector(5.0), registry), clock)
    reporter.fill_request(HeartbeatRequest())
    reporter.apply_reply(heartbeat_reply(1, listed_replica('a')))
    reporter.apply_reply(heartbeat_reply(2))
    assert available_ids(registry) == ['a']


def test_prefill_speeds_are_exchanged_by_heartbeats():
    """An entry reports its own estimates and applies those of the fleet."""
    state = RelayState(SoftwareSelector(5.0))
    state.prefill_speeds.add_sample('m', uncached_tokens=1000, waited_ms=90.0)
    reporter = RelayReporter(state, ManualClock())
    request = HeartbeatRequest()
    reporter.fill_request(request)
    assert [one.model for one in request.model_paces] == ['m']
    answer = heartbeat_reply(1, listed_replica('a'))
    answer.model_paces.add(model='n', ms_per_token=0.25)
    reporter.apply_reply(answer)
    assert state.prefill_speeds.speed('n').ms_per_token == 0.25


def test_loads_of_other_entries_match_one_list_edition():
    """Loads of another edition, or of too few replicas, are discarded."""
    registry = ReplicaRegistry()
    registry.update_list([listed_replica('a'), listed_replica('b')], 1.0, 1.0)
    registry.edition = 4
    loads = ReplicaLoads(edition=4, running=[3, 5], backlog_ms=[10, 20])
    registry.apply_loads(loads)
    assert [one.others_running for one in registry.by_id.values()] == [3, 5]
    assert [one.others_backlog_ms for one in registry.by_id.values()] == [
        10,
        20,
    ]
    loads.edition = 5
    registry.apply_loads(loads)
    assert [one.others_running for one in registry.by_id.values()] == [0, 0]
    registry.apply_loads(ReplicaLoads(edition=4, running=[3], backlog_ms=[1]))
    assert [one.others_running for one in registry.by_id.values()] == [0, 0]


def test_stated_paces_reach_all_entries_once():
    """Each entry sees few answers; the leader puts what they state together."""
    leader, seen = FleetLoads(), ReplicaRegistry()
    told = ReplicaRegistry()
    for registry in (seen, told):
        registry.update_list([listed_replica('a'), listed_replica('b')], 1, 1)
        registry.edition = 4
    for percent in (300, 290, 310):
        seen.by_id['a'].record_load(LoadReport(1, 0, 4, percent), 5.0)
        leader.take_paces(seen.pop_stated_paces(), 5.0)
    assert not seen.pop_stated_paces()
    order = make_load_order(4, ['a', 'b'])
    told.apply_loads(leader.of_others('e2', order, 5.1))
    assert 250 < told.by_id['a'].pace_percent <= 310
    assert told.by_id['b'].pace_percent == 0
    told.apply_loads(leader.of_others('e2', order, 60.0))
    assert told.by_id['a'].pace_percent == 0


def test_heartbeats_do_not_grow_where_no_pace_is_stated():
    """Most services state none."""
    leader = FleetLoads()
    loads = leader.of_others('e', make_load_order(4, ['a', 'b']), 5.0)
    assert not loads.pace_percent
