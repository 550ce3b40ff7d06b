"""What an entry knows of replicas, from lists, answers and other entries."""

from snipebridge.relay.knowledge import Knowledge
from snipebridge.relay.replicas import LOAD_VALID_S, ReplicaBook
from snipebridge.relay.reporting import RelayReporter
from snipebridge.relay.software import SoftwareChoice
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ListedReplica,
    ReplicaLoads,
)
from tests.clocks import ManualClock


def listed(name, **fields):
    """Return an entry of the list."""
    return ListedReplica(
        id=name, service='s', address=f'{name}:1', slots=4, **fields
    )


def names(book):
    """Return the replicas that may get new work."""
    return [replica.id for replica in book.of_service('s')]


def test_older_list_never_undoes_a_newer_one():
    """Lists come from control and from own reading, in any order."""
    book = ReplicaBook()
    book.take_list([listed('a'), listed('b')], 10.0, 10.0)
    assert book.take_list([listed('a', draining=True)], 12.0, 12.0) == ['b']
    assert names(book) == []
    book.take_list([listed('a'), listed('b')], 11.0, 12.5)
    assert names(book) == []


def test_replica_keeps_what_is_known_of_it():
    """Unless another one has its id at another address."""
    book = ReplicaBook()
    book.take_list([listed('a')], 1.0, 1.0)
    book.by_id['a'].running = 3
    book.take_list([listed('a'), listed('b')], 2.0, 2.0)
    assert book.by_id['a'].running == 3
    moved = listed('a')
    moved.address = 'elsewhere:1'
    book.take_list([moved], 3.0, 3.0)
    assert book.by_id['a'].running == 0


def test_own_word_of_a_replica_counts_for_a_while():
    """Corrected by what this entry has sent and got back since."""
    book = ReplicaBook()
    book.take_list([listed('a')], 1.0, 1.0)
    replica = book.by_id['a']
    replica.running = 2
    replica.note_load((7, 1, 4), 5.0)
    replica.running = 3
    assert replica.likely_running(5.0) == 9
    book.take_loads(ReplicaLoads(running=[4], backlog_ms=[70]))
    assert replica.likely_running(5.0 + LOAD_VALID_S + 0.1) == 7


def reply(edition, *replicas, age_s=0.5):
    """Return a heartbeat's reply with a list."""
    made = HeartbeatReply()
    made.replicas.edition = edition
    made.replicas.age_s = age_s
    made.replicas.replicas.extend(replicas)
    return made


def test_lists_of_heartbeats():
    """A new edition replaces the list, the same one keeps it fresh."""
    clock = ManualClock()
    book = ReplicaBook()
    reporter = RelayReporter(Knowledge(SoftwareChoice(5.0), book), clock)
    gone = []
    reporter.on_gone = gone.append
    reporter.fill(HeartbeatRequest())
    reporter.take(reply(1, listed('a'), listed('b')))
    first_s = book.asked_at_s
    clock.now_s += 1.0
    reporter.fill(HeartbeatRequest())
    reporter.take(reply(1))
    assert book.asked_at_s == first_s + 1.0
    assert names(book) == ['a', 'b']
    clock.now_s += 1.0
    reporter.fill(HeartbeatRequest())
    reporter.take(reply(2, listed('b')))
    assert (names(book), gone) == (['b'], ['a'])


def test_empty_list_ends_nothing():
    """What was known before is tried on."""
    clock = ManualClock()
    book = ReplicaBook()
    reporter = RelayReporter(Knowledge(SoftwareChoice(5.0), book), clock)
    reporter.fill(HeartbeatRequest())
    reporter.take(reply(1, listed('a')))
    reporter.take(reply(2))
    assert names(book) == ['a']


def test_paces_of_models_travel_both_ways():
    """An entry tells what it learned, and takes what the fleet has."""
    knowledge = Knowledge(SoftwareChoice(5.0))
    knowledge.paces.add_sample('m', uncached_tokens=1000, waited_ms=90.0)
    reporter = RelayReporter(knowledge, ManualClock())
    request = HeartbeatRequest()
    reporter.fill(request)
    assert [one.model for one in request.model_paces] == ['m']
    answer = reply(1, listed('a'))
    answer.model_paces.add(model='n', ms_per_token=0.25)
    reporter.take(answer)
    assert knowledge.paces.speed('n').ms_per_token == 0.25


def test_loads_of_others_belong_to_one_list():
    """Places of another edition, or too few of them, tell nothing."""
    book = ReplicaBook()
    book.take_list([listed('a'), listed('b')], 1.0, 1.0)
    book.edition = 4
    loads = ReplicaLoads(edition=4, running=[3, 5], backlog_ms=[10, 20])
    book.take_loads(loads)
    assert [one.others_running for one in book.by_id.values()] == [3, 5]
    assert [one.others_backlog_ms for one in book.by_id.values()] == [10, 20]
    loads.edition = 5
    book.take_loads(loads)
    assert [one.others_running for one in book.by_id.values()] == [0, 0]
    book.take_loads(ReplicaLoads(edition=4, running=[3], backlog_ms=[1]))
    assert [one.others_running for one in book.by_id.values()] == [0, 0]
