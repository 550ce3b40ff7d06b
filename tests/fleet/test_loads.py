"""Loads of all entries, under reports that come, repeat and stop."""

import random

from snipebridge.fleet.loads import (
    REPORT_VALID_S,
    FleetLoads,
    make_load_order,
)
from snipebridge.rpc.control_pb2 import ReplicaUse


def uses(**running):
    """Return what an entry has under way."""
    return [
        ReplicaUse(replica=name, running=count, backlog_ms=10 * count)
        for name, count in running.items()
    ]


ORDER = make_load_order(7, ['r', 's', *(f'r{place}' for place in range(8))])


def seen(loads, entry, now_s):
    """Return what an entry is told, by replica, without the idle ones."""
    told = loads.of_others(entry, ORDER, now_s)
    assert told.edition == 7
    running = zip(ORDER.replicas, told.running, strict=True)
    return {name: count for name, count in running if count}


def test_entry_hears_of_the_others_only():
    """Its own use and what is old do not count."""
    loads = FleetLoads()
    loads.take('e1', uses(r=3), 0.0)
    loads.take('e2', uses(r=4, s=1), 1.0)
    assert seen(loads, 'e1', 1.0) == {'r': 4, 's': 1}
    assert seen(loads, 'e2', 1.0) == {'r': 3}
    assert seen(loads, 'e2', 1.0 + REPORT_VALID_S) == {}


def test_totals_are_those_of_the_last_reports():
    """Whatever came before, and in whatever order."""
    rng = random.Random(4)
    loads = FleetLoads()
    last = {}
    for step in range(2000):
        entry = f'e{rng.randrange(20)}'
        report = {f'r{rng.randrange(8)}': rng.randrange(1, 5)}
        last[entry] = report
        loads.take(entry, uses(**report), step / 1000)
    expected = {}
    for entry, report in last.items():
        for replica, running in report.items():
            if entry != 'e0':
                expected[replica] = expected.get(replica, 0) + running
    assert seen(loads, 'e0', 2.0) == expected


def test_loads_cost_a_few_bytes_a_replica():
    """Sixty replicas that all are in use take less than 300 bytes."""
    names = [f'i-{number:010x}' for number in range(60)]
    used = [
        ReplicaUse(replica=name, running=12, backlog_ms=900) for name in names
    ]
    loads = FleetLoads()
    loads.take('e1', used, 0.0)
    told = loads.of_others('e2', make_load_order(1 << 40, names), 0.0)
    assert set(told.running) == {12}
    assert told.ByteSize() < 300


def test_replica_named_twice_has_one_place():
    """As in the book of an entry, which holds each name once."""
    loads = FleetLoads()
    loads.take('e1', uses(r=3, s=1), 0.0)
    order = make_load_order(1, ['r', 's', 'r'])
    assert list(loads.of_others('e2', order, 0.0).running) == [3, 1]
