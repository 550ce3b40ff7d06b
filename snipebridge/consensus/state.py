"""What all parts of the consensus core share."""

import random
from collections.abc import Sequence

from snipebridge.consensus.errors import ReplicaFailedError
from snipebridge.consensus.log import Log
from snipebridge.consensus.membership import Electorate
from snipebridge.consensus.messages import Recovered, Role, Snapshot, Timing
from snipebridge.rpc.consensus_pb2 import (
    Envelope,
    LogEntry,
    Member,
    Membership,
)

NEVER_S = float('-inf')


class State:
    """Term, vote, log, membership and time of one replica."""

    __slots__ = (
        'commit_index',
        'deadline_s',
        'early_messages',
        'electorate',
        'heard_s',
        'identity',
        'installing',
        'leader_name',
        'log',
        'messages',
        'name',
        'now_s',
        'rng',
        'role',
        'snapshot',
        'synced_term',
        'term',
        'timing',
        'voted_for',
    )

    def __init__(
        self,
        name: str,
        recovered: Recovered,
        initial: Sequence[Member],
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Begin as a follower with what the data folder holds."""
        self.name = name
        self.identity = recovered.identity
        self.timing = timing
        self.rng = rng
        self.now_s = now_s
        self.role = Role.FOLLOWER
        self.leader_name = ''
        self.early_messages: list[Envelope] = []
        self.messages: list[Envelope] = []
        self.installing: Snapshot | None = None
        self._restore(recovered, initial)
        # A promise to a leader, made before a crash, is not on disk: it is
        # kept by waiting out an election timeout after each start.
        self.heard_s = NEVER_S if recovered.is_blank else now_s
        self.deadline_s = now_s
        if self.electorate.electors() != [name]:
            self.postpone_election()

    @property
    def key(self) -> str:
        """Return the name to record a vote under."""
        return vote_key(self.name, self.identity)

    @property
    def leader_is_fresh(self) -> bool:
        """Tell whether a leader was heard within the election timeout."""
        silence_s = self.now_s - self.heard_s
        return silence_s < self.timing.election_timeout_s

    def pass_time(self, now_s: float) -> None:
        """Take the time of the driver; it never runs backwards."""
        self.now_s = max(self.now_s, now_s)

    def postpone_election(self) -> None:
        """Wait between one and two election timeouts."""
        timeout_s = self.timing.election_timeout_s
        self.deadline_s = self.now_s + timeout_s * (1 + self.rng.random())

    def follow(self, term: int, leader_name: str = '') -> None:
        """Become a follower in a term, of a leader where one is known."""
        if term > self.term:
            self.term = term
            self.voted_for = ''
        if self.role is not Role.FOLLOWER or leader_name:
            self.postpone_election()
        self.role = Role.FOLLOWER
        self.leader_name = leader_name

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries; a membership is in force from here on."""
        self.log.append(entries)
        for entry in entries:
            if entry.kind == LogEntry.MEMBERSHIP:
                membership = Membership.FromString(entry.payload)
                self.electorate.append(entry.index, membership)

    def truncate_after(self, index: int) -> None:
        """Drop entries that another leader overwrites."""
        if index < self.commit_index:
            raise ReplicaFailedError(
                f'asked to drop entry {index + 1}, which is committed',
            )
        self.log.truncate_after(index)
        self.electorate.truncate_after(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot."""
        self.log.reset(snapshot.last_index, snapshot.last_term)
        self.electorate.reset(snapshot.last_index, snapshot.membership)
        self.commit_index = snapshot.last_index
        self.snapshot = snapshot
        self.installing = snapshot

    def send(self, recipient: str, *, term: int | None = None, **body) -> None:
        """Queue a message that leaves after the next sync."""
        self.messages.append(self._envelope(recipient, term, body))

    def send_early(self, recipient: str, **body) -> None:
        """Queue a leader's message, which need not wait for the sync.

        It waits all the same while the term itself is not synced: a leader
        that forgot its term could send other entries under it.
        """
        envelope = self._envelope(recipient, None, body)
        if self.synced_term == self.term:
            self.early_messages.append(envelope)
        else:
            self.messages.append(envelope)

    def _envelope(self, recipient: str, term: int | None, body) -> Envelope:
        return Envelope(
            sender=self.name,
            sender_identity=self.identity,
            recipient=recipient,
            term=self.term if term is None else term,
            **body,
        )

    def _restore(self, recovered: Recovered, initial) -> None:
        self.term = recovered.hard_state.term
        self.voted_for = recovered.hard_state.voted_for
        self.synced_term = self.term
        self.snapshot = recovered.snapshot
        self.log = Log(
            recovered.start_index, recovered.start_term, recovered.entries
        )
        self.electorate = Electorate(initial)
        self.commit_index = 0
        if self.snapshot is not None:
            self.commit_index = self.snapshot.last_index
            self.electorate.reset(self.commit_index, self.snapshot.membership)
        for entry in recovered.entries:
            if (
                entry.kind == LogEntry.MEMBERSHIP
                and entry.index > self.commit_index
            ):
                membership = Membership.FromString(entry.payload)
                self.electorate.append(entry.index, membership)


def vote_key(name: str, identity: str) -> str:
    """Name a candidate by member and data folder.

    >>> vote_key('a', '17')
    'a/17'
    """
    return f'{name}/{identity}'
