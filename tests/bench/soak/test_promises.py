"""Each check of the soak sees what it is there for, and nothing in a good run.

A record of a sound run is spoiled in one place at a time.
"""

import copy

import pytest

from bench.soak.promises import (
    CHECKS,
    Acknowledged,
    Arrival,
    Call,
    Reading,
    Record,
    check_all,
)

EVENTS = b''.join(
    f'id: {number}\ndata: c {number}\n\n'.encode() for number in (1, 2, 3, 4)
)


def make_arrival(attempt_id, replica, service, arrived_s=10.0, *, ran=True):
    """Return a request as a replica gets it from a sound system."""
    headers = {'x-tenant': 'studio', 'x-attempt-id': attempt_id}
    return Arrival(attempt_id, replica, service, arrived_s, ran, headers)


def make_call(attempt_id, kind, body, signature):
    """Return a request that was served."""
    return Call(
        attempt_id,
        kind,
        key='k1',
        entry='e',
        sent_s=10.0,
        timeout_s=1.0,
        ended_s=10.2,
        status=200,
        is_whole=True,
        body=body,
        signature=signature,
        named=attempt_id,
    )


def sound_record():
    """Return what a run without a broken promise looks like."""
    first = {'version': 1}
    second = {'version': 4}
    return Record(
        calls=[
            make_call('a', 'look', b'answer of d1', 'd1.sig'),
            make_call('b', 'book', b'answer of d1', 'd1.sig'),
            make_call('c', 'chat', EVENTS, 'm1.sig'),
        ],
        arrivals=[
            make_arrival('a', 'd2', 'desk', ran=False),
            make_arrival('a', 'd1', 'desk'),
            make_arrival('b', 'd1', 'desk'),
            make_arrival('c', 'm1', 'models'),
            make_arrival('c', 'm2', 'models'),
        ],
        acknowledged=[Acknowledged(1, 0.0), Acknowledged(4, 5.0)],
        readings=[Reading(1, 4.0, first), Reading(4, 9.0, second)],
        sent={1: [first], 4: [{'version': 4, 'other': 1}, second]},
        calm=[(0.0, 20.0)],
        events=4,
    )


def test_sound_run_breaks_nothing():
    """Repeats, refusals by replicas and races are no broken promises."""
    assert not check_all(sound_record())


def of_nobody(record):
    """A success whose signature is of a replica that did not run it."""
    record.calls[0].signature = 'd2.sig2'


def of_another(record):
    """A success with another body than its replica's."""
    record.calls[1].body = b'answer of d2'


def to_another(record):
    """A success that names another request."""
    record.calls[0].named = 'b'


def without_an_event(record):
    """A stream that misses its second event."""
    record.calls[2].body = EVENTS[:14] + EVENTS[28:]


def too_short(record):
    """A stream that looks complete after half of its events."""
    record.calls[2].body = EVENTS[: len(EVENTS) // 2]


def of_another_stream(record):
    """A stream with events of another request."""
    record.calls[2].body = EVENTS.replace(b'c 3', b'x 3')


def ran_twice(record):
    """A request that must not repeat ran at two replicas."""
    record.arrivals.append(make_arrival('b', 'd2', 'desk'))


def refused_but_ran(record):
    """A refusal that says not run, after a run."""
    record.calls[1].status = 503


def asked_by_nobody(record):
    """A replica got a request that no caller sent."""
    record.arrivals.append(make_arrival('x', 'd1', 'desk'))


def under_another_account(record):
    """A replica got a request under another account."""
    record.arrivals[1].headers['x-tenant'] = 'other'


def with_the_key(record):
    """A replica got the caller's key."""
    record.arrivals[1].headers['x-key'] = 'k1'


def under_a_revoked_key(record):
    """A request ran whose key had been taken away long before."""
    record.revoked_s['k1'] = 2.0


def at_a_drained_replica(record):
    """A replica got a request long after it was shown as leaving."""
    record.left_s['d1'] = 6.0


def older_than_acknowledged(record):
    """An old configuration was read long after a newer one."""
    record.readings.append(Reading(1, 9.0, {'version': 1}))


def never_sent(record):
    """A configuration was read that nobody sent."""
    record.readings.append(Reading(4, 9.0, {'version': 4, 'odd': 1}))


def invalid_in_force(record):
    """An invalid configuration was read back."""
    record.sent[6] = [{'version': 6}]
    record.invalid_versions.add(6)
    record.readings.append(Reading(6, 9.0, {'version': 6}))


def invalid_taken(record):
    """An invalid configuration was acknowledged."""
    record.taken_invalid.append(6)


def at_another_service(record):
    """A request ran at a service that its route does not name."""
    record.arrivals.append(make_arrival('a', 'm1', 'models'))


def too_late(record):
    """A final answer long after the time of the route."""
    record.calls[0].ended_s = 12.0


def not_served(record):
    """A proper request in calm times without an answer."""
    record.calls[0].status = 0


def not_back(record):
    """A process was not ready again in time."""
    record.failures.append('a process was not done in time')


def ended_by_itself(record):
    """A process ended that nothing had struck."""
    record.own_ends.append('e at 3.0 s')


@pytest.mark.parametrize(
    ('spoil', 'check'),
    [
        (of_nobody, 'answers'),
        (of_another, 'answers'),
        (to_another, 'answers'),
        (without_an_event, 'streams'),
        (too_short, 'streams'),
        (of_another_stream, 'streams'),
        (ran_twice, 'once'),
        (refused_but_ran, 'refusals'),
        (asked_by_nobody, 'asked'),
        (under_another_account, 'asked'),
        (with_the_key, 'asked'),
        (under_a_revoked_key, 'revoked'),
        (at_a_drained_replica, 'drained'),
        (older_than_acknowledged, 'readings'),
        (never_sent, 'readings'),
        (invalid_in_force, 'readings'),
        (invalid_taken, 'invalid'),
        (at_another_service, 'routes'),
        (too_late, 'times'),
        (not_served, 'served'),
        (not_back, 'recovered'),
        (ended_by_itself, 'processes'),
    ],
)
def test_each_check_sees_its_case(spoil, check):
    """A record that is spoiled in one place is found out by its check."""
    record = copy.deepcopy(sound_record())
    spoil(record)

    assert check in {broken.check for broken in check_all(record)}


def test_every_check_has_a_case():
    """No check is there that nothing has shown to fail."""
    cases = test_each_check_sees_its_case.pytestmark[0].args[1]

    assert {check for _, check in cases} == set(CHECKS)
