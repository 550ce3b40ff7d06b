"""Seeded schedules of lost and replaced control hosts, without a network.

The cores of `tests.consensus.hosts` run under the real `VoterDuty`, in
simulated time. Hosts are replaced, frozen, restarted, killed together, and
lose their disks, each event within the losses that the log must bear. At the
end every acknowledged entry must be there and a new one must be taken.
"""

import heapq
import random
from dataclasses import dataclass
from functools import partial

from snipebridge.consensus.changes import (
    Pending,
    next_membership,
    next_removal,
)
from snipebridge.consensus.errors import ConsensusError
from snipebridge.consensus.messages import Timing
from snipebridge.fleet.electorate import Candidate, OrderKind, vote_moves
from snipebridge.fleet.joining import (
    ASK_INTERVAL_S,
    LEAVE_INTERVAL_S,
    LEAVE_LIMIT_S,
)
from snipebridge.fleet.state import RoutedState
from snipebridge.fleet.voters import CHANGE_LIMIT_S, VoterDuty
from snipebridge.rpc.consensus_pb2 import Member
from tests.consensus.history import History, Violation
from tests.consensus.hosts import Host
from tests.consensus.schedules import Outcome, Schedule

# A host counts as lost for so long after it is back, or is new.
CATCH_UP_S = 4.0
ROUND_S = 0.2
EVENTS = 8
CALM_S = 20.0
# Connections to a process that ended are refused twice by then.
REFUSED_AFTER_S = 0.4


@dataclass(slots=True)
class Rules:
    """What a schedule leaves out, to show which failures it finds."""

    asks_without_leader: bool = True
    tells_of_stops: bool = True
    refuses: bool = True


class ControlHost(Host):
    """A host with what a control process does beside the core."""

    def __init__(self, name, schedule, *, joins=False):
        """Build the duty; it is anew in each term."""
        super().__init__(name, schedule, joins=joins)
        self.clock = self
        self.replica = self
        self.routed = RoutedState()
        self.duty = VoterDuty(self, schedule.tolerated_losses)
        self.office = 0
        self.order = None
        self.ended_s = 0.0
        self.is_removed = False
        self.is_draining = False

    def monotonic_s(self):
        """Return the time of the schedule; the core's clock drifts."""
        return self.schedule.now_s

    def term(self):
        """Return the current term."""
        return self.core.state.term

    def members(self):
        """Return the members as of the applied state."""
        electorate = self.core.state.electorate
        return list(electorate.at(self.applied_index).members)

    def hears(self, member):
        """Tell whether the member's folder answered lately."""
        since_s = self.clock_s() - self.schedule.timing.election_timeout_s
        seen = self.core.seen_identity(member.name, since_s)
        return bool(seen) and seen == member.identity

    def is_refused_by(self, name):
        """Tell whether the process of a host ended some time ago."""
        host = self.schedule.hosts[name]
        ended_for_s = self.schedule.now_s - host.ended_s
        return (
            self.schedule.rules.refuses
            and host.core is None
            and ended_for_s > REFUSED_AFTER_S
        )

    def is_caught_up(self, member):
        """Tell whether a member holds all that is committed."""
        return self.core.is_caught_up(member.name, member.identity)

    def is_in_office(self):
        """Tell whether this host answers as the leader; begin an office."""
        if self.frozen or self.is_draining or not self.holds_lease():
            return False
        if self.applied_index < self.core.term_start_index:
            return False
        if self.office != self.term():
            self.office = self.term()
            self.order = None
            self.routed = RoutedState(since_s=self.schedule.now_s)
        return True

    def has_vote(self):
        """Tell whether the own log names this folder as a voter."""
        state = self.core.state
        return state.electorate.counts(state.name, state.identity)

    def follows_leader(self):
        """Tell whether a leader sends its log here."""
        state = self.core.state
        heard_for_s = self.clock_s() - state.heard_s
        timeout_s = self.schedule.timing.election_timeout_s
        is_heard = bool(state.leader_name) and heard_for_s < timeout_s
        return self.core.is_leader or is_heard

    def crash(self):
        """End the process."""
        super().crash()
        self.is_draining = False
        self.ended_s = self.schedule.now_s

    def start(self):
        """Start the process, unless the host was removed for good."""
        if not self.is_removed:
            super().start()


class VoterSchedule(Schedule):
    """Draws one event after another, as close as the bound allows."""

    def __init__(self, seed, rules=None):
        """Begin with the founders."""
        self.rules = rules or Rules()
        self.rng = random.Random(seed)
        self.seed = seed
        self.now_s = 0.0
        self.timing = Timing(0.7, 0.12)
        self.history = History()
        self.events = []
        self.sequence = 0
        self.loss = 0
        self.doubling = 0
        self.slow_s = 0.002
        self.cuts = set()
        self.lost_identities = {}
        self.tolerated_losses = 1
        self.spares = 0
        self.story = []
        self.is_over = False
        names = [f'm{number}' for number in range(3)]
        self.listed = [Member(name=name, address=name) for name in names]
        self.hosts = {name: ControlHost(name, self) for name in names}
        for host in self.hosts.values():
            host.start()

    def run(self):
        """Play the events, then a calm in which a command must be taken."""
        self.at(0.2, self._client)
        self.at(0.1, self._round)
        self.at(0.1, self._ask)
        self.at(5.0, partial(self._next_event, EVENTS))
        while not self.is_over:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
            self.check_leases()
        return self.outcome()

    def outcome(self, failure=''):
        """Add the story to a failure."""
        told = f'{failure} {self.story}' if failure else ''
        return super().outcome(told)

    def _client(self):
        host = self.leader()
        if host is not None and not (host.frozen or host.is_draining):
            host.propose(1)
        self.at(self.rng.expovariate(20), self._client)

    def _round(self):
        for host in list(self.hosts.values()):
            if host.leads() and host.is_in_office():
                self._take_step(host)
        self.at(ROUND_S, self._round)

    def _take_step(self, host):
        """Order a change, or take the next step of one that is under way."""
        try:
            while self._has_order(host) and self._change(host):
                host.order = None
        except ConsensusError:
            host.order = None
        if host.order is not None:
            self.at(0.01, partial(self._go_on, host, host.office))

    def _go_on(self, host, office):
        if host.leads() and host.is_in_office() and host.office == office:
            self._take_step(host)

    def _has_order(self, host):
        if host.order is None:
            order = host.duty.due_order()
            if order is not None:
                member = host.duty.wanted_member(order)
                host.order = order, member, self.now_s
        return host.order is not None

    def _change(self, host):
        order, member, ordered_s = host.order
        if self.now_s - ordered_s > CHANGE_LIMIT_S:
            return True
        if order.kind is OrderKind.REMOVE:
            step = next_removal(host.core, member.name)
        else:
            step = next_membership(host.core, member, host.clock_s(ordered_s))
        if isinstance(step, Pending):
            return step is Pending.DONE and self._is_in_force(host)
        if self._is_in_force(host):
            host.core.propose_membership(step, host.clock_s())
            host._pump()
        return False

    def _is_in_force(self, host):
        return host.core.state.electorate.index <= host.applied_index

    def _ask(self):
        """Let each process that has no vote, or hears no leader, ask."""
        for host in self.hosts.values():
            if host.core is None or host.frozen:
                continue
            is_content = host.has_vote() and (
                host.follows_leader() or not self.rules.asks_without_leader
            )
            if not is_content:
                self._tell_leaders(host, is_leaving=False)
        self.at(ASK_INTERVAL_S, self._ask)

    def _tell_leaders(self, host, *, is_leaving):
        """Ask the leader; return whether it says to wait, None without one."""
        for leader in self.hosts.values():
            if leader is host or not leader.leads():
                continue
            if not leader.is_in_office():
                continue
            if not is_leaving:
                candidate = Candidate(host.name, host.disk.identity, host.name)
                leader.routed.ask(candidate, self.now_s)
                return False
            leader.routed.leave(host.name, self.now_s)
            members = leader.members()
            votes = any(one.voter and one.name == host.name for one in members)
            routed = leader.routed
            return votes and (
                not routed.knows_candidates(self.now_s)
                or vote_moves(
                    members,
                    routed.candidates(self.now_s),
                    routed.voters.wanted,
                )
            )
        return None

    def _next_event(self, left):
        if not left:
            self.at(CATCH_UP_S, self._end)
            return
        kind = self.rng.choice(
            [
                self._replace,
                self._replace_disturbed,
                self._replace_late,
                self._freeze_one,
                self._restart_one,
                self._stop_and_start,
                self._wipe,
                self._wipe,
                self._kill_all,
                self._add_spare,
            ]
        )
        kind(lambda quiet_s: self._follow(quiet_s, left - 1))

    def _follow(self, quiet_s, left):
        """Draw the next event a little after the time that the bound asks."""
        self.at(quiet_s + 0.05, partial(self._next_event, left))

    def _note(self, text):
        self.story.append(f'{self.now_s:.1f} {text}')

    def _new_host(self):
        name = f's{self.spares}'
        self.spares += 1
        self.hosts[name] = ControlHost(name, self, joins=True)
        self.hosts[name].start()
        return name

    def _replace(self, then):
        """Replace a host as planned or by killing it, its successor up."""
        old = self._some_host()
        name = self._new_host()
        beside_s = self.rng.uniform(CATCH_UP_S, CATCH_UP_S + 4)
        if self.rng.random() < 0.7:
            self._note(f'{old.name} is replaced by {name} as planned')
            end = partial(self._remove, then=partial(then, 0.0))
            self.at(beside_s, partial(self._stop, old, end))
            return
        self._note(f'{old.name} is killed, {name} beside it')
        # A leader that ends without a word is followed by an election.
        self.at(beside_s, partial(self._remove, old, partial(then, CATCH_UP_S)))

    def _replace_disturbed(self, then):
        """Replace a host as planned; another one is lost for a while before.

        That one's vote may go to the successor, and the old host's vote has
        to go to whoever has none then.
        """
        old, other = self.rng.sample(self._running(), 2)
        name = self._new_host()
        self._note(f'{name} starts beside {old.name}')
        end = partial(self._remove, then=partial(then, 0.0))
        disturb = self.rng.choice([self._freeze_one, self._restart_one])

        def stop(quiet_s):
            self._note(f'{old.name} stops after {quiet_s:.1f} s')
            self.at(quiet_s, partial(self._stop, old, end))

        self.at(CATCH_UP_S, partial(disturb, stop, other))

    def _replace_late(self, then):
        """Kill a host for good; its successor starts later."""
        old = self._some_host()
        self._note(f'{old.name} is killed, its successor comes later')
        self._remove(old)
        later_s = self.rng.uniform(0.1, 3.0)
        self.at(later_s, self._new_host)
        then(later_s + CATCH_UP_S)

    def _freeze_one(self, then, host=None):
        host = host or self._some_host()
        frozen_s = self.rng.uniform(0.5, 6.8)
        self._note(f'{host.name} is frozen for {frozen_s:.1f} s')
        host.frozen = True
        self.at(frozen_s, host.thaw)
        then(frozen_s + CATCH_UP_S)

    def _restart_one(self, then, host=None):
        host = host or self._some_host()
        down_s = self.rng.uniform(0.1, 6.0)
        self._note(f'{host.name} is down for {down_s:.1f} s')
        self._down(host, down_s)
        then(down_s + CATCH_UP_S)

    def _stop_and_start(self, then):
        host = self._some_host()
        self._note(f'{host.name} is restarted as planned')

        def end(ended):
            self._down(ended, 1.5)
            then(1.5 + CATCH_UP_S)

        self._stop(host, end)

    def _wipe(self, then):
        host = self._some_host()
        down_s = self.rng.uniform(0.1, 3.0)
        self._note(f'{host.name} loses its disk, down for {down_s:.1f} s')
        host.lose_disk()
        host.joins = True
        self.at(down_s, host.start)
        then(down_s + CATCH_UP_S)

    def _kill_all(self, then):
        self._note('all are killed')
        for host in self._running():
            self._down(host, self.rng.uniform(0.1, 2.0))
        then(2.0 + CATCH_UP_S)

    def _add_spare(self, then):
        self._note(f'{self._new_host()} is added')
        then(CATCH_UP_S)

    def _running(self):
        return [host for host in self.hosts.values() if host.core is not None]

    def _down(self, host, down_s):
        host.crash()
        host.joins = True
        self.at(down_s, host.start)

    def _remove(self, host, then=None):
        host.is_removed = True
        host.crash()
        if then is not None:
            then()

    def _some_host(self):
        leader = self.leader()
        if leader is not None and self.rng.random() < 0.4:
            return leader
        return self.rng.choice(self._running())

    def _stop(self, host, end):
        """Stop as planned: hand over the lead, then the vote, then end."""
        host.is_draining = True
        self._leave(host, end, self.now_s)

    def _leave(self, host, end, started_s):
        is_over = self.now_s - started_s > LEAVE_LIMIT_S
        if host.leads():
            host.hand_over()
        if self.rules.tells_of_stops and not is_over:
            waits = self._tell_leaders(host, is_leaving=True)
            if waits or waits is None:
                self.at(
                    LEAVE_INTERVAL_S,
                    partial(self._leave, host, end, started_s),
                )
                return
        end(host)

    def _end(self):
        acknowledged = self.history.acknowledged_index
        self.at(CALM_S, partial(self._check, acknowledged))

    def _check(self, acknowledged):
        if self.history.acknowledged_index <= acknowledged:
            raise Violation('no command is taken any more')
        self.history.check_acknowledged()
        self.is_over = True


def run_voter_schedule(seed, rules=None) -> Outcome:
    """Run one schedule; a violated check is told in the outcome."""
    schedule = VoterSchedule(seed, rules)
    try:
        return schedule.run()
    except (Violation, ConsensusError) as violation:
        return schedule.outcome(f'{type(violation).__name__}: {violation}')
