"""When a number is in force everywhere, with the time passed in."""

import random

import pytest

from snipebridge.controllers.leases import EntryLeases, EntryReport

LEASE_S = 3.0
PREDECESSOR_S = 1.0
# What a new leader waits for at most, drift of clocks included.
UNKNOWN_S = PREDECESSOR_S + LEASE_S * 1.01


def make_leases(*names):
    """Return the leases of a leader that took office at zero."""
    leases = EntryLeases(LEASE_S, PREDECESSOR_S)
    leases.start(names, now_s=0.0)
    return leases


def beat(leases, name, number, now_s, granted=None, incarnation=1, **fields):
    """Take a heartbeat, and grant a lease with a number."""
    report = EntryReport(name, incarnation, number, **fields)
    heard = leases.record_heartbeat(report, now_s)
    if heard and granted is not None:
        leases.grant(name, granted, now_s)
    return heard


def number_in_force(leases, current, names, now_s):
    """Return the number in force."""
    return leases.in_force(current, names, now_s).number


def test_new_leader_waits_out_unknown_leases():
    """A silent entry may hold a lease of the predecessor."""
    leases = make_leases('e1', 'e2')
    beat(leases, 'e1', 5, now_s=0.5, granted=5)
    early = leases.in_force(5, ['e1', 'e2'], now_s=UNKNOWN_S - 0.01)
    assert (early.number, early.lagging) == (0, ['e2'])
    beat(leases, 'e1', 5, now_s=UNKNOWN_S, granted=5)
    later = leases.in_force(5, ['e1', 'e2'], now_s=UNKNOWN_S)
    assert (later.number, later.lagging) == (5, [])


def test_number_waits_for_each_lease_granted_before_it():
    """An entry that is cut off holds the number back until its lease ends."""
    leases = make_leases('e1')
    beat(leases, 'e1', 4, now_s=10.0, granted=4)
    over_s = 10.0 + LEASE_S * 1.01
    assert number_in_force(leases, 5, ['e1'], 10.0) == 4
    assert number_in_force(leases, 5, ['e1'], over_s - 0.01) == 4
    assert number_in_force(leases, 5, ['e1'], over_s) == 5


def test_lost_reply_leaves_the_older_lease_in_question():
    """A grant with the new number says nothing before the entry has it."""
    leases = make_leases('e1')
    beat(leases, 'e1', 4, now_s=10.0, granted=4)
    beat(leases, 'e1', 4, now_s=11.0, granted=5)
    assert number_in_force(leases, 5, ['e1'], 12.0) == 4
    beat(leases, 'e1', 5, now_s=12.5, granted=5)
    assert number_in_force(leases, 5, ['e1'], 12.5) == 5


def test_lease_granted_with_the_number_does_not_hold_it_back():
    """An entry that never gets the replies lags by its last lease only."""
    leases = make_leases('e1')
    beat(leases, 'e1', 4, now_s=10.0, granted=4)
    for now_s in (11.0, 12.0, 13.0):
        beat(leases, 'e1', 4, now_s, granted=5)
    assert number_in_force(leases, 5, ['e1'], 13.02) == 4
    assert number_in_force(leases, 5, ['e1'], 13.04) == 5


def test_entry_that_comes_back_takes_nothing_back():
    """An entry without a lease gets one only with the current number."""
    leases = make_leases('e1')
    beat(leases, 'e1', 4, now_s=0.0, granted=4)
    assert number_in_force(leases, 7, ['e1'], 20.0) == 7
    beat(leases, 'e1', 4, now_s=20.0, granted=7)
    assert number_in_force(leases, 7, ['e1'], 20.1) == 7


def test_older_process_of_an_entry_gets_no_lease():
    """Its heartbeats may arrive after those of its successor."""
    leases = make_leases('e1')
    assert beat(leases, 'e1', 3, now_s=0.0, incarnation=2)
    assert not beat(leases, 'e1', 5, now_s=0.1, incarnation=1)
    assert leases.incarnation('e1') == 2


def test_reordered_heartbeat_takes_no_number_back():
    """Within one process numbers only grow."""
    leases = make_leases('e1')
    beat(leases, 'e1', 5, now_s=0.0, granted=5)
    beat(leases, 'e1', 4, now_s=0.1, granted=5)
    assert number_in_force(leases, 5, ['e1'], 0.2) == 5


def test_entry_being_taken_out_gets_no_lease():
    """It has to register anew first."""
    leases = make_leases('e1')
    beat(leases, 'e1', 5, now_s=0.0, leaving=True)
    leases.retire('e1')
    assert not beat(leases, 'e1', 5, now_s=9.0)
    leases.remove('e1')
    assert beat(leases, 'e1', 5, now_s=9.1)


class Entry:
    """An entry as it is: it takes lease and configuration of a reply."""

    def __init__(self, rng):
        """Run a clock that is off by up to the bound."""
        self.number = 0
        self.ends_s = -1.0
        self.rate = rng.uniform(0.996, 1.004)

    def take(self, number, sent_s):
        """Count the lease from the sending of the heartbeat."""
        self.number = max(self.number, number)
        self.ends_s = max(self.ends_s, sent_s + LEASE_S / self.rate)


class LeaseWorld:
    """Two entries, leaders that change, and messages that linger."""

    def __init__(self, seed):
        """Start with a leader that knows nothing."""
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.current = 1
        self.reached = 0
        self.entries = {name: Entry(self.rng) for name in ('e1', 'e2')}
        self.requests = []
        self.replies = []
        self.lead()

    def lead(self):
        """Let another leader take office."""
        self.leases = EntryLeases(LEASE_S, PREDECESSOR_S)
        self.leases.start(self.entries, self.now_s)

    def send(self, name):
        """Send a heartbeat."""
        self.requests.append((name, self.entries[name].number, self.now_s))

    def receive(self):
        """Deliver any heartbeat to the leader."""
        if self.requests:
            name, number, sent_s = self._pop(self.requests)
            beat(self.leases, name, number, self.now_s, granted=self.current)
            self.replies.append((name, self.current, sent_s))

    def reply(self):
        """Deliver any reply to its entry, or lose it."""
        if self.replies:
            name, number, sent_s = self._pop(self.replies)
            if self.rng.random() < 0.8:
                self.entries[name].take(number, sent_s)

    def step(self):
        """Do one thing by chance."""
        self.now_s += self.rng.choice((0.0, 0.1, 0.5, 1.5))
        kind = self.rng.choice(('send', 'receive', 'reply', 'patch', 'lead'))
        if kind == 'send':
            self.send(self.rng.choice(tuple(self.entries)))
        elif kind == 'patch' and self.rng.random() < 0.3:
            self.current += 1
        elif kind == 'lead' and self.rng.random() < 0.1:
            self.lead()
        elif kind in {'receive', 'reply'}:
            getattr(self, kind)()

    def check(self):
        """No entry with a lease works by less than is in force."""
        reached = number_in_force(
            self.leases, self.current, self.entries, self.now_s
        )
        for entry in self.entries.values():
            if entry.ends_s > self.now_s:
                assert entry.number >= reached

    def _pop(self, queue):
        return queue.pop(self.rng.randrange(len(queue)))


@pytest.mark.parametrize('seed', range(200))
def test_in_force_is_true_under_any_schedule(seed):
    """Heartbeats and replies are late, lost and out of order."""
    world = LeaseWorld(seed)
    for _ in range(120):
        world.step()
        world.check()
