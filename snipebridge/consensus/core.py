"""The consensus of one replica as a state machine without I/O.

It is driven by messages, ticks and proposals, each with the time, and
collects what has to be done in a `Ready`. The same inputs, seed and times
give the same outputs.

>>> core.tick(now_s)  # doctest: +SKIP
>>> ready = core.take_ready()  # doctest: +SKIP
>>> # sync what it holds, send, apply, then:
>>> core.synced(ready)  # doctest: +SKIP
"""

import random
from collections.abc import Sequence

from snipebridge.consensus.election import Election
from snipebridge.consensus.errors import NotLeaderError
from snipebridge.consensus.follower import Follower
from snipebridge.consensus.leader import Leader
from snipebridge.consensus.messages import (
    ReadGrant,
    Ready,
    Recovered,
    Role,
    Snapshot,
    Timing,
)
from snipebridge.consensus.state import State
from snipebridge.rpc.consensus_pb2 import (
    Envelope,
    HardState,
    LogEntry,
    Member,
    Membership,
)

MAX_COMMITTED_ENTRIES = 1024
# Messages after which this replica may lead.
_ELECTION_BODIES = frozenset(('vote_reply', 'hand_over'))


class Core:
    """Election, replication and membership of one replica."""

    __slots__ = (
        '_election',
        '_follower',
        '_handed_vote',
        '_leader',
        '_reads',
        'applied_index',
        'state',
    )

    def __init__(self, state: State, *, joins: bool) -> None:
        """Take the state that `make_core` built."""
        self.state = state
        self.applied_index = state.commit_index
        self._handed_vote = (state.term, state.voted_for)
        self._election = Election(state, joins=joins)
        self._follower = Follower(state)
        self._leader: Leader | None = None
        self._reads: list[ReadGrant] = []

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads its term, with or without a lease."""
        return self._leader is not None

    @property
    def term_start_index(self) -> int:
        """Return the first index of this leadership, 0 when there is none."""
        return self._leader.term_start_index if self._leader else 0

    @property
    def membership(self) -> Membership:
        """Return the membership in force."""
        return self.state.electorate.current

    def holds_lease(self, now_s: float) -> bool:
        """Tell whether no other replica can lead at this time."""
        return self._leader is not None and self._leader.holds_lease(now_s)

    def tick(self, now_s: float) -> None:
        """Let time pass."""
        self.state.pass_time(now_s)
        if self._leader is not None:
            self._leader.tick()
        elif self._election.tick():
            self._lead()
        self._leave_office()

    def step(self, envelope: Envelope, now_s: float) -> None:
        """Take a message."""
        state = self.state
        state.pass_time(now_s)
        if envelope.recipient != state.name or envelope.sender == state.name:
            return
        body = envelope.WhichOneof('body')
        if body == 'vote_request':
            self._election.on_request(envelope)
        elif body in _ELECTION_BODIES:
            if self._election.wins_by(envelope, body):
                self._lead()
        elif body == 'append_request':
            self._follower.on_append(envelope)
        elif body == 'snapshot_chunk':
            self._follower.on_chunk(envelope)
        else:
            self._step_reply(envelope, body)
        self._leave_office()

    def hand_over(self, now_s: float) -> bool:
        """Leave the lead to a voter that can take it at once, if there is one."""
        self.state.pass_time(now_s)
        handed = self._leader is not None and self._leader.hand_over()
        self._leave_office()
        return handed

    def propose(self, payloads: Sequence[bytes], now_s: float) -> int:
        """Append commands; return the index of the first.

        Raises `NotLeaderError` where this replica does not lead.
        """
        self.state.pass_time(now_s)
        return self._led().propose(payloads)

    def propose_membership(self, membership: Membership, now_s: float) -> int:
        """Append a change of one member; return its index."""
        self.state.pass_time(now_s)
        return self._led().propose_membership(membership)

    def read_index(self, request: int, now_s: float) -> None:
        """Ask for a read; the answer is in a later `Ready`."""
        self.state.pass_time(now_s)
        if self._leader is None:
            self._reads.append(ReadGrant(request, 0, granted=False))
        else:
            self._leader.read_index(request)

    def seen_identity(self, name: str, since_s: float) -> str:
        """Return the identity that a name answers with since a time, if any."""
        if self._leader is None:
            return ''
        if name == self.state.name:
            return self.state.identity
        return self._leader.peers.seen_identity(name, since_s)

    def is_caught_up(self, name: str, identity: str) -> bool:
        """Tell whether a learner holds all that is committed."""
        leader = self._leader
        return leader is not None and leader.peers.is_caught_up(name, identity)

    def take_ready(self) -> Ready:
        """Hand over what has to be done."""
        state = self.state
        if self._leader is not None:
            self._leader.flush()
            self._reads.extend(self._leader.reads.take())
        ready = Ready(
            early_messages=state.early_messages,
            hard_state=self._take_hard_state(),
            snapshot=state.installing,
            batch=state.log.take_batch(),
            messages=state.messages,
            committed=self._take_committed(),
            reads=self._reads,
        )
        state.early_messages = []
        state.messages = []
        state.installing = None
        self._reads = []
        return ready

    def take_early_messages(self) -> list[Envelope]:
        """Hand over the messages that need not wait for a sync under way."""
        if self._leader is not None:
            self._leader.flush()
        early = self.state.early_messages
        self.state.early_messages = []
        return early

    def synced(self, ready: Ready) -> None:
        """Note that the disk holds what a `Ready` asked to sync."""
        if ready.hard_state is not None:
            self.state.synced_term = ready.hard_state.term
        self.state.log.mark_synced(ready.batch)
        if self._leader is not None:
            self._leader.advance_commit()
            self._leave_office()

    def compact(self, content: bytes, trailing_entries: int) -> Snapshot:
        """Cut the log behind the applied index; return the snapshot to save.

        Some entries before the index stay for peers that lag a little.
        """
        state = self.state
        index = self.applied_index
        snapshot = Snapshot(
            index,
            state.log.term_at(index),
            state.electorate.at(index),
            content,
        )
        state.snapshot = snapshot
        state.log.cut(index - trailing_entries)
        state.electorate.cut(index)
        return snapshot

    def _led(self) -> Leader:
        if self._leader is None:
            name = self.state.leader_name
            raise NotLeaderError(name, self.address_of(name))
        return self._leader

    def address_of(self, name: str) -> str:
        """Return the address of a member, empty where it is not known.

        The settings go before the log, which may be older.
        """
        electorate = self.state.electorate
        for member in (*electorate.initial, *electorate.current.members):
            if member.name == name:
                return member.address
        return ''

    def _step_reply(self, envelope: Envelope, body: str) -> None:
        state = self.state
        if envelope.term > state.term:
            state.follow(envelope.term)
        if self._leader is None or envelope.term != state.term:
            return
        if body == 'append_reply':
            self._leader.on_append_reply(envelope)
        elif body == 'snapshot_reply':
            self._leader.on_snapshot_reply(envelope)

    def _lead(self) -> None:
        self._leader = Leader(self.state, self._election.tally.granted)
        self._leader.tick()

    def _leave_office(self) -> None:
        if self._leader is None or self.state.role is Role.LEADER:
            return
        self._leader.reads.refuse_all()
        self._reads.extend(self._leader.reads.take())
        self._leader = None

    def _take_hard_state(self) -> HardState | None:
        state = self.state
        if self._handed_vote == (state.term, state.voted_for):
            return None
        self._handed_vote = (state.term, state.voted_for)
        return HardState(term=state.term, voted_for=state.voted_for)

    def _take_committed(self) -> list[LogEntry]:
        state = self.state
        if state.installing is not None:
            self.applied_index = state.installing.last_index
        last = min(
            state.commit_index, self.applied_index + MAX_COMMITTED_ENTRIES
        )
        committed = state.log.between(self.applied_index + 1, last)
        self.applied_index = last
        return committed


def make_core(
    name: str,
    recovered: Recovered,
    initial: Sequence[Member],
    *,
    joins: bool,
    timing: Timing,
    rng: random.Random,
    now_s: float,
) -> Core:
    """Build the core of a replica from what its data folder holds.

    The initial members are those of the settings; their identities are not
    known. A replica that joins was told that a cluster exists: it never
    starts one.
    """
    state = State(name, recovered, initial, timing, rng, now_s)
    return Core(state, joins=joins)
