"""Seeded random schedules of faults against the consensus core.

A schedule runs several cores in simulated time: messages are lost, doubled
and reordered, hosts crash between any two steps of a sync, freeze, lose
their disk and are replaced, clocks drift, and members change. Each check
raises `Violation`.
"""

import heapq
import random
from dataclasses import dataclass
from functools import partial

from snipebridge.consensus.errors import ConsensusError
from snipebridge.consensus.membership import quorum_size
from snipebridge.consensus.messages import Timing
from snipebridge.rpc.consensus_pb2 import Member, Membership
from tests.consensus.history import History, Violation
from tests.consensus.hosts import Host

CALM_S = 40.0
UNSEEN_LOSS_S = 3.0
MAX_EVENTS = 200_000


@dataclass(slots=True)
class Outcome:
    """What one schedule did."""

    seed: int
    failure: str = ''
    committed: int = 0
    leaders: int = 0
    lost_disks: int = 0
    memberships: int = 0
    snapshots: int = 0
    handed: int = 0


class Schedule:
    """One run: hosts, the network between them, faults and checks."""

    def __init__(self, seed: int, storm_s: float = 12.0) -> None:
        """Draw the shape of the run from the seed."""
        self.rng = random.Random(seed)
        self.seed = seed
        self.now_s = 0.0
        self.storm_s = storm_s
        self.timing = Timing()
        self.history = History()
        self.events = []
        self.sequence = 0
        self.loss = self.rng.choice([0.0, 0.02, 0.2])
        self.doubling = self.rng.choice([0.0, 0.05])
        self.slow_s = self.rng.choice([0.005, 0.03, 0.3])
        self.operations_a_second = self.rng.choice([20, 20, 2, 0.3])
        self.faults_a_second = self.rng.choice([0.6, 1.2, 4.0])
        self.cuts = set()
        self.lost_identities = {}
        self.disturbed = True
        count = self.rng.choice([1, 3, 3, 3, 3, 3, 5, 5])
        names = [f'm{number}' for number in range(count)]
        # The list of the settings; operators extend it before an add, so a
        # member that lost its disk never starts a cluster of the few that
        # the list named at first.
        self.listed = [Member(name=name, address=name) for name in names]
        self.hosts = {name: Host(name, self) for name in names}
        self.spare_names = ['s0', 's1']
        self.wanted = None
        for host in self.hosts.values():
            host.start()

    def run(self) -> Outcome:
        """Run the storm, then the calm in which all must agree again."""
        self.at(0.5, self._fault)
        self.at(0.2, self._client)
        self.at(1.0, self._operator)
        self._run_until(self.storm_s)
        self._calm()
        self._run_until(self.storm_s + CALM_S)
        self._check_agreement()
        return self.outcome()

    def outcome(self, failure: str = '') -> Outcome:
        """Count what happened."""
        return Outcome(
            self.seed,
            failure,
            committed=len(self.history.entries),
            leaders=len(self.history.leaders),
            lost_disks=len(self.lost_identities),
            memberships=len(self.history.memberships),
            snapshots=self.history.installed,
            handed=self.history.handed,
        )

    def at(self, delay_s: float, action) -> None:
        """Run an action later."""
        self.sequence += 1
        when_s = self.now_s + delay_s
        heapq.heappush(self.events, (when_s, self.sequence, action))

    def transmit(self, envelope) -> None:
        """Carry a message, or lose, double or delay it."""
        copies = 1 + (self.rng.random() < self.doubling)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay_s = self.rng.expovariate(1 / self.slow_s)
            self.at(delay_s, partial(self._deliver, envelope))

    def check_leases(self) -> None:
        """Check that at most one replica holds a lease at this instant."""
        holders = [
            host.name for host in self.hosts.values() if host.holds_lease()
        ]
        if len(holders) > 1:
            raise Violation(f'lease held by {holders} at {self.now_s:.3f}')

    def leader(self):
        """Return a running host that leads, if any."""
        leading = [host for host in self.hosts.values() if host.leads()]
        return self.rng.choice(leading) if leading else None

    def _run_until(self, end_s: float) -> None:
        count = 0
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
            self.check_leases()
            count += 1
            if count > MAX_EVENTS:
                raise Violation('the schedule does not come to rest')
            if not self.disturbed and self._agrees():
                return

    def _deliver(self, envelope) -> None:
        link = (envelope.sender, envelope.recipient)
        host = self.hosts.get(envelope.recipient)
        if link not in self.cuts and host is not None:
            host.receive(envelope)

    def _client(self) -> None:
        host = self.leader()
        if host is not None and not host.frozen:
            if self.rng.random() < 0.7:
                host.propose(self.rng.choice([1, 1, 3, 40]))
            else:
                host.read()
        if self.disturbed:
            self.at(
                self.rng.expovariate(self.operations_a_second), self._client
            )

    def _fault(self) -> None:
        if not self.disturbed:
            return
        kind = self.rng.choice(
            [
                self._crash,
                self._crash,
                self._freeze,
                self._partition,
                self._one_way,
                self._heal,
                self._lose_disk,
                self._rival,
                self._hand_over,
            ]
        )
        kind()
        self.at(self.rng.expovariate(self.faults_a_second), self._fault)

    def _some_host(self) -> Host:
        leader = self.leader()
        if leader is not None and self.rng.random() < 0.4:
            return leader
        return self.rng.choice(list(self.hosts.values()))

    def _crash(self) -> None:
        host = self._some_host()
        host.crash()
        longest_s = self.rng.choice([0.1, 2.5])
        self.at(self.rng.uniform(0.01, longest_s), host.start)

    def _freeze(self) -> None:
        host = self._some_host()
        host.frozen = True
        self.at(self.rng.uniform(0.05, 3.0), host.thaw)

    def _partition(self) -> None:
        names = list(self.hosts)
        inside = {name for name in names if self.rng.random() < 0.5}
        self.cuts = {
            (one, other)
            for one in names
            for other in names
            if (one in inside) != (other in inside)
        }
        self.at(self.rng.uniform(0.3, 3.0), self._heal)

    def _one_way(self) -> None:
        pair = self.rng.sample(list(self.hosts), 2) if self._is_many() else []
        if pair:
            self.cuts.add(tuple(pair))

    def _hand_over(self) -> None:
        leader = self.leader()
        if leader is not None and not leader.frozen:
            leader.hand_over()

    def _rival(self) -> None:
        """Hide the leader from one host, and restart the others meanwhile."""
        leader = self.leader()
        names = [name for name in self.hosts if self.hosts[name] is not leader]
        if leader is None or not names:
            return
        rival = self.rng.choice(names)
        self.cuts.add((leader.name, rival))
        if self.rng.random() < 0.5:
            self.cuts.add((rival, leader.name))
        for name in names:
            if name != rival and self.rng.random() < 0.5:
                self.at(self.rng.uniform(0.8, 2.2), self._restart(name))
        self.at(self.rng.uniform(1.5, 3.0), self._heal)

    def _restart(self, name: str):
        def restart():
            self.hosts[name].crash()
            self.at(0.02, self.hosts[name].start)

        return restart

    def _is_many(self) -> bool:
        return len(self.hosts) > 1

    def _heal(self) -> None:
        self.cuts = set()

    def _lose_disk(self) -> None:
        host = self._some_host()
        if not self._is_survivable(host.disk.identity):
            return
        self.lost_identities[host.disk.identity] = self.now_s
        host.lose_disk()
        self.at(self.rng.uniform(0.01, 1.0), host.start)

    def _is_survivable(self, identity: str) -> bool:
        """Tell whether a quorum of disks stays, by each live membership."""
        lost = {*self.lost_identities, identity}
        memberships = self.history.live_memberships()
        if not self.history.memberships:
            return len(lost) <= len(self.hosts) - quorum_size(len(self.hosts))
        return all(_survives(one, lost) for one in memberships)

    def loses_quorum_unseen(self, membership: Membership) -> bool:
        """Tell whether a change meets a disk that was lost just now.

        The leader refuses a change that leaves no live quorum, but it
        can't know of a loss before an answer is missing. A change at that
        very moment may stop the cluster by the rule of majorities, which
        no protocol avoids, so the check for agreement leaves it out.
        """
        unseen_s = self.now_s - UNSEEN_LOSS_S
        recent = {
            identity
            for identity, lost_s in self.lost_identities.items()
            if lost_s > unseen_s
        }
        return bool(recent) and not _survives(membership, self.lost_identities)

    def _operator(self) -> None:
        if self.wanted is None:
            self.wanted = self._draw_order()
        host = self.leader()
        if host is not None and self.wanted is not None and not host.frozen:
            try:
                done = host.change(*self.wanted)
            except ConsensusError:
                done = self.rng.random() < 0.1
            if done:
                self.wanted = None
        self.at(self.rng.uniform(0.05, 0.3), self._operator)

    def _draw_order(self):
        """Repair what is lost first; else now and then add or remove one."""
        leader = self.leader()
        if leader is None:
            return None
        for member in leader.core.membership.members:
            if member.identity in self.lost_identities:
                return Member(name=member.name, voter=True), False, self.now_s
        if not self.disturbed or self.rng.random() > 0.1:
            return None
        may_add = self.spare_names and self.history.memberships
        if may_add and self.rng.random() < 0.6:
            name = self.spare_names.pop()
            self.listed.append(Member(name=name, address=name))
            self.hosts[name] = Host(name, self, joins=True)
            self.hosts[name].start()
            wanted = Member(name=name, address=name, voter=True)
            return wanted, False, self.now_s
        members = leader.core.membership.members
        if len(members) < 3:
            return None
        return self.rng.choice(list(members)), True, self.now_s

    def _calm(self) -> None:
        self.disturbed = False
        self.loss = 0
        self.slow_s = 0.005
        self._heal()
        for host in self.hosts.values():
            host.thaw()
            host.start()

    def _newest_leader(self):
        """Return the leader of the highest term; an older one may linger."""
        leading = [host for host in self.hosts.values() if host.leads()]
        return max(leading, key=lambda host: host.core.state.term, default=None)

    def _agrees(self) -> bool:
        leader = self._newest_leader()
        if leader is None or self.wanted is not None:
            return False
        members = leader.core.membership.members
        if any(one.identity in self.lost_identities for one in members):
            return False
        last = leader.core.state.log.last_index
        return bool(members) and all(
            self.hosts[member.name].applied_index == last for member in members
        )

    def _check_agreement(self) -> None:
        if not self._agrees():
            raise Violation('no agreement after the faults ended')
        self.history.check_acknowledged()


def _survives(membership: Membership, lost) -> bool:
    voters = [one.identity for one in membership.members if one.voter]
    gone = sum(identity in lost for identity in voters)
    return gone <= len(voters) - quorum_size(len(voters))


def run_schedule(seed: int) -> Outcome:
    """Run one schedule; a violated check is told in the outcome."""
    schedule = Schedule(seed)
    try:
        return schedule.run()
    except (Violation, ConsensusError) as violation:
        return schedule.outcome(f'{type(violation).__name__}: {violation}')
