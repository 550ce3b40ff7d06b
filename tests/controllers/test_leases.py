"""Leases and the number in force everywhere, with simulated time."""

import random

import pytest

from snipebridge.controllers.leases import EntryLeases, EntryReport

LEASE_S = 3.0
PREDECESSOR_S = 1.0
# The longest wait of a new leader, including clock drift.
UNKNOWN_S = PREDECESSOR_S + LEASE_S * 1.01


def make_leases(*names):
    """Return the leases of a leader that was elected at time 0."""
    leases = EntryLeases(LEASE_S, PREDECESSOR_S)
    leases.start(names, now_s=0.0)
    return leases


def send_heartbeat(
    leases, name, number, now_s, granted=None, incarnation=1, **fields
):
    """Record a heartbeat; grant a lease if `granted` is set."""
    report = EntryReport(name, incarnation, number, **fields)
    may_grant = leases.record_heartbeat(report, now_s)
    if may_grant and granted is not None:
        leases.grant(name, granted, now_s)
    return may_grant


def number_in_force(leases, current, names, now_s):
    """Return the number in force."""
    return leases.in_force(current, names, now_s).number


def test_new_leader_waits_out_unknown_leases():
    """An entry without heartbeats may hold a lease of the predecessor."""
    leases = make_leases('e1', 'e2')
    send_heartbeat(leases, 'e1', 5, now_s=0.5, granted=5)
    early = leases.in_force(5, ['e1', 'e2'], now_s=UNKNOWN_S - 0.01)
    assert (early.number, early.lagging) == (0, ['e2'])
    send_heartbeat(leases, 'e1', 5, now_s=UNKNOWN_S, granted=5)
    later = leases.in_force(5, ['e1', 'e2'], now_s=UNKNOWN_S)
    assert (later.number, later.lagging) == (5, [])


def test_number_waits_for_each_lease_granted_before_it():
    """A disconnected entry delays the number until its lease expires."""
    leases = make_leases('e1')
    send_heartbeat(leases, 'e1', 4, now_s=10.0, granted=4)
    expires_s = 10.0 + LEASE_S * 1.01
    assert number_in_force(leases, 5, ['e1'], 10.0) == 4
    assert number_in_force(leases, 5, ['e1'], expires_s - 0.01) == 4
    assert number_in_force(leases, 5, ['e1'], expires_s) == 5


def test_older_lease_counts_until_the_entry_has_the_number():
    """The reply that carries the new number may have been lost."""
    leases = make_leases('e1')
    send_heartbeat(leases, 'e1', 4, now_s=10.0, granted=4)
    send_heartbeat(leases, 'e1', 4, now_s=11.0, granted=5)
    assert number_in_force(leases, 5, ['e1'], 12.0) == 4
    send_heartbeat(leases, 'e1', 5, now_s=12.5, granted=5)
    assert number_in_force(leases, 5, ['e1'], 12.5) == 5


def test_lease_granted_with_the_number_does_not_hold_it_back():
    """Without replies an entry lags only until its last lease expires."""
    leases = make_leases('e1')
    send_heartbeat(leases, 'e1', 4, now_s=10.0, granted=4)
    for now_s in (11.0, 12.0, 13.0):
        send_heartbeat(leases, 'e1', 4, now_s, granted=5)
    assert number_in_force(leases, 5, ['e1'], 13.02) == 4
    assert number_in_force(leases, 5, ['e1'], 13.04) == 5


def test_returning_entry_does_not_lower_the_number():
    """An entry without a lease gets one with the current number only."""
    leases = make_leases('e1')
    send_heartbeat(leases, 'e1', 4, now_s=0.0, granted=4)
    assert number_in_force(leases, 7, ['e1'], 20.0) == 7
    send_heartbeat(leases, 'e1', 4, now_s=20.0, granted=7)
    assert number_in_force(leases, 7, ['e1'], 20.1) == 7


def test_older_incarnation_of_an_entry_gets_no_lease():
    """Its heartbeats may arrive after those of its successor."""
    leases = make_leases('e1')
    assert send_heartbeat(leases, 'e1', 3, now_s=0.0, incarnation=2)
    assert not send_heartbeat(leases, 'e1', 5, now_s=0.1, incarnation=1)
    assert leases.incarnation('e1') == 2


def test_reordered_heartbeat_does_not_lower_the_number():
    """Within one incarnation the number never decreases."""
    leases = make_leases('e1')
    send_heartbeat(leases, 'e1', 5, now_s=0.0, granted=5)
    send_heartbeat(leases, 'e1', 4, now_s=0.1, granted=5)
    assert number_in_force(leases, 5, ['e1'], 0.2) == 5


def test_entry_being_removed_gets_no_lease():
    """It has to register again first."""
    leases = make_leases('e1')
    send_heartbeat(leases, 'e1', 5, now_s=0.0, leaving=True)
    leases.retire('e1')
    assert not send_heartbeat(leases, 'e1', 5, now_s=9.0)
    leases.remove('e1')
    assert send_heartbeat(leases, 'e1', 5, now_s=9.1)


class Entry:
    """An entry that applies the lease and configuration of a reply."""

    def __init__(self, rng):
        """Start with a clock rate within the drift bound."""
        self.number = 0
        self.expires_s = -1.0
        self.rate = rng.uniform(0.996, 1.004)

    def apply_reply(self, number, sent_s):
        """Apply a reply; the lease counts from the heartbeat."""
        self.number = max(self.number, number)
        self.expires_s = max(self.expires_s, sent_s + LEASE_S / self.rate)


class LeaseSimulation:
    """Simulates two entries, leader changes and delayed messages."""

    def __init__(self, seed):
        """Start with a leader that knows of no leases."""
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.current = 1
        self.reached = 0
        self.entries = {name: Entry(self.rng) for name in ('e1', 'e2')}
        self.requests = []
        self.replies = []
        self.start_leader()

    def start_leader(self):
        """Start another leader."""
        self.leases = EntryLeases(LEASE_S, PREDECESSOR_S)
        self.leases.start(self.entries, self.now_s)

    def send(self, name):
        """Send a heartbeat."""
        self.requests.append((name, self.entries[name].number, self.now_s))

    def receive(self):
        """Deliver a random heartbeat to the leader."""
        if self.requests:
            name, number, sent_s = self._pop(self.requests)
            send_heartbeat(
                self.leases, name, number, self.now_s, granted=self.current
            )
            self.replies.append((name, self.current, sent_s))

    def reply(self):
        """Deliver or lose a random reply."""
        if self.replies:
            name, number, sent_s = self._pop(self.replies)
            if self.rng.random() < 0.8:
                self.entries[name].apply_reply(number, sent_s)

    def step(self):
        """Execute one random action."""
        self.now_s += self.rng.choice((0.0, 0.1, 0.5, 1.5))
        kind = self.rng.choice(('send', 'receive', 'reply', 'patch', 'lead'))
        if kind == 'send':
            self.send(self.rng.choice(tuple(self.entries)))
        elif kind == 'patch' and self.rng.random() < 0.3:
            self.current += 1
        elif kind == 'lead' and self.rng.random() < 0.1:
            self.start_leader()
        elif kind in {'receive', 'reply'}:
            getattr(self, kind)()

    def check(self):
        """Check that no entry with a lease uses a number below the one in force."""
        reached = number_in_force(
            self.leases, self.current, self.entries, self.now_s
        )
        for entry in self.entries.values():
            if entry.expires_s > self.now_s:
                assert entry.number >= reached

    def _pop(self, queue):
        return queue.pop(self.rng.randrange(len(queue)))


@pytest.mark.parametrize('seed', range(200))
def test_in_force_is_true_under_any_schedule(seed):
    """Heartbeats and replies are delayed, lost and reordered."""
    simulation = LeaseSimulation(seed)
    for _ in range(120):
        simulation.step()
        simulation.check()
