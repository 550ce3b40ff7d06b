"""What a replica does while it leads: replicate, commit, hold the lease."""

import math
from collections.abc import Sequence

from snipebridge.consensus.errors import (
    MembershipBusyError,
    MembershipChangeError,
)
from snipebridge.consensus.lease import Rounds
from snipebridge.consensus.membership import (
    check_change,
    quorum_size,
    quorum_value,
)
from snipebridge.consensus.messages import Role
from snipebridge.consensus.peers import Peers
from snipebridge.consensus.reads import PendingReads
from snipebridge.consensus.state import State
from snipebridge.rpc.consensus_pb2 import (
    Envelope,
    HandOver,
    LogEntry,
    Membership,
)


class Leader:
    """One leadership, from the vote to the step down.

    The first entry of the term is a no-op, or the first membership of a
    new cluster. Until it is committed the leader holds no lease and grants
    no read, since it can't know yet what its predecessors committed.
    """

    __slots__ = (
        '_elected_s',
        '_heartbeat_s',
        '_rounds',
        '_state',
        'peers',
        'reads',
        'term_start_index',
    )

    def __init__(self, state: State, granted: dict[str, str]) -> None:
        """Take office with the grants of the vote."""
        state.role = Role.LEADER
        state.leader_name = state.name
        self._state = state
        self._rounds = Rounds()
        self._elected_s = state.now_s
        self._heartbeat_s = state.now_s
        self.reads = PendingReads()
        self.peers = Peers(state, self._rounds)
        if state.electorate.is_blank:
            first = state.electorate.identified(granted)
            self._append(LogEntry.MEMBERSHIP, [first.SerializeToString()])
        else:
            self._append(LogEntry.NO_OP, [b''])
        self.term_start_index = state.log.last_index
        self.peers.track_members()

    def tick(self) -> None:
        """Step down without a quorum; send a heartbeat when it is due."""
        state = self._state
        contact_s = max(self._elected_s, self._quorum_sent_s())
        if state.now_s - contact_s > state.timing.election_timeout_s:
            state.follow(state.term)
            return
        if state.now_s >= self._heartbeat_s:
            self._begin_round()

    def flush(self) -> None:
        """Send what was proposed and asked since the last call."""
        if self.reads.waits_for_round(self._rounds.number):
            self._begin_round()
        self.peers.replicate_all()

    def propose(self, payloads: Sequence[bytes]) -> int:
        """Append commands; return the index of the first."""
        first = self._state.log.last_index + 1
        self._append(LogEntry.COMMAND, payloads)
        return first

    def hand_over(self) -> bool:
        """Step down for a live voter that holds the whole log, if any.

        The lease ends with the step down, before the message leaves.
        """
        state = self._state
        for member in state.electorate.voters():
            if self.peers.is_self(member) or not self.peers.is_live(member):
                continue
            if self.peers.synced_index(member) == state.log.last_index:
                state.send(member.name, hand_over=HandOver())
                state.follow(state.term)
                return True
        return False

    def propose_membership(self, membership: Membership) -> int:
        """Append a membership; return its index."""
        state = self._state
        if state.commit_index < self.term_start_index:
            raise MembershipBusyError('the term has no committed entry yet')
        if state.electorate.index > state.commit_index:
            raise MembershipBusyError('another change is under way')
        check_change(state.electorate.current, membership)
        self._check_promotions(membership)
        self._check_live_quorum(membership)
        self._append(LogEntry.MEMBERSHIP, [membership.SerializeToString()])
        self.peers.track_members()
        return state.log.last_index

    def read_index(self, request: int) -> None:
        """Ask for an index that covers all that was acknowledged."""
        state = self._state
        index = max(state.commit_index, self.term_start_index)
        if self.holds_lease(state.now_s):
            self.reads.grant(request, index)
        else:
            self.reads.add(request, index, self._rounds.number + 1)

    def holds_lease(self, now_s: float) -> bool:
        """Tell whether no other replica can lead at this time."""
        state = self._state
        expiry_s = self._quorum_sent_s() + state.timing.lease_s
        return (
            state.role is Role.LEADER
            and state.commit_index >= self.term_start_index
            and now_s < expiry_s
        )

    def on_append_reply(self, envelope: Envelope) -> None:
        """Take the answer to a batch or a heartbeat."""
        reply = envelope.append_reply
        progress = self.peers.heard_from(envelope)
        if progress is None:
            return
        self._rounds.acknowledge(envelope.sender, reply.round)
        if reply.success:
            progress.matched(reply.match_index)
            self.advance_commit()
        else:
            self.peers.back_off(progress, reply)
        self._answer_reads()

    def on_snapshot_reply(self, envelope: Envelope) -> None:
        """Take the answer to a chunk."""
        progress = self.peers.heard_from(envelope)
        if progress is None:
            return
        reply = envelope.snapshot_reply
        self.peers.continue_snapshot(envelope.sender, progress, reply)
        self.advance_commit()

    def advance_commit(self) -> None:
        """Commit what a quorum has synced, if it is of this term."""
        state = self._state
        index = quorum_value(
            self.peers.synced_index(member)
            for member in state.electorate.voters()
        )
        if index <= state.commit_index:
            return
        if state.log.term_at(index) != state.term:
            return
        state.commit_index = index
        self._answer_reads()
        self._leave_if_removed()

    def _append(self, kind: int, payloads: Sequence[bytes]) -> None:
        state = self._state
        first = state.log.last_index + 1
        state.append(
            [
                LogEntry(
                    term=state.term,
                    index=first + position,
                    kind=kind,
                    payload=payload,
                )
                for position, payload in enumerate(payloads)
            ]
        )

    def _begin_round(self) -> None:
        state = self._state
        self._rounds.begin(state.now_s)
        self._heartbeat_s = state.now_s + state.timing.heartbeat_interval_s
        self.peers.send_heartbeats()

    def _quorum_sent_s(self) -> float:
        return quorum_value(
            math.inf
            if self.peers.is_self(member)
            else self._rounds.sent_s(member.name)
            for member in self._state.electorate.voters()
        )

    def _quorum_round(self) -> int:
        rounds = self._rounds
        return quorum_value(
            rounds.number
            if self.peers.is_self(member)
            else rounds.acknowledged(member.name)
            for member in self._state.electorate.voters()
        )

    def _answer_reads(self) -> None:
        state = self._state
        if state.commit_index >= self.term_start_index:
            self.reads.confirm(self._quorum_round())

    def _leave_if_removed(self) -> None:
        state = self._state
        electorate = state.electorate
        if electorate.index > state.commit_index:
            return
        if not electorate.counts(state.name, state.identity):
            self._begin_round()
            state.follow(state.term)

    def _check_live_quorum(self, membership: Membership) -> None:
        """Refuse a change that would leave the cluster without a quorum."""
        voters = [member for member in membership.members if member.voter]
        live = sum(self.peers.is_live(member) for member in voters)
        if live < quorum_size(len(voters)):
            raise MembershipChangeError(
                f'only {live} of the {len(voters)} voters would be live',
            )

    def _check_promotions(self, membership: Membership) -> None:
        electorate = self._state.electorate
        for member in membership.members:
            if not member.voter or electorate.counts(
                member.name, member.identity
            ):
                continue
            if not self.peers.is_caught_up(member.name, member.identity):
                raise MembershipChangeError(
                    f'{member.name} is not a learner that has caught up',
                )
