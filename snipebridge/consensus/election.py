"""Pre-vote and vote, for the candidate and for the voter."""

from dataclasses import dataclass, field

from snipebridge.consensus.messages import Role
from snipebridge.consensus.state import State, vote_key
from snipebridge.rpc.consensus_pb2 import Envelope, VoteReply, VoteRequest


@dataclass(slots=True)
class Tally:
    """Grants of one candidacy, name to identity of the data folder."""

    term: int
    pre_vote: bool
    granted: dict[str, str] = field(default_factory=dict)
    # The leader of the term before asked for this candidacy.
    handed_over: bool = False


class Election:
    """Candidacy of this replica, and its answers to other candidates.

    A replica whose name and identity are not those of a voter, by the
    committed membership or one that may replace it, never stands.
    A voter answers anyone whose log is good enough; it is the candidate that
    counts only the voices of the recorded identities. So a folder that was
    lost and made anew can neither stand nor be counted.
    """

    __slots__ = ('_joins', '_state', 'tally')

    def __init__(self, state: State, *, joins: bool) -> None:
        """Keep whether this replica was told that a cluster exists."""
        self._state = state
        self._joins = joins
        self.tally = Tally(0, pre_vote=True)

    def stand_at_once(self) -> bool:
        """Stand as the leader asked for; tell whether it won at once.

        The leader gave its lease up before it asked, so neither a pre-vote
        nor a wait for its silence is needed.
        """
        state = self._state
        if not self._may_stand():
            return False
        state.role = Role.CANDIDATE
        state.leader_name = ''
        state.term += 1
        state.voted_for = state.key
        state.postpone_election()
        return self._ask(Tally(state.term, pre_vote=False, handed_over=True))

    def tick(self) -> bool:
        """Stand when no leader was heard; tell whether it won at once."""
        state = self._state
        if state.now_s < state.deadline_s:
            return False
        state.postpone_election()
        if not self._may_stand():
            return False
        state.role = Role.PRE_CANDIDATE
        state.leader_name = ''
        return self._ask(Tally(state.term + 1, pre_vote=True))

    def on_request(self, envelope: Envelope) -> None:
        """Answer a candidate."""
        state = self._state
        if self._is_led(envelope):
            self._reply(envelope, granted=False)
            return
        if envelope.vote_request.pre_vote:
            granted = envelope.term > state.term and self._accepts(envelope)
            self._reply(envelope, granted=granted)
            return
        if envelope.term > state.term:
            state.follow(envelope.term)
        self._reply(envelope, granted=self._vote(envelope))

    def wins_by(self, envelope: Envelope, body: str) -> bool:
        """Take an answer or a hand-over; tell whether this replica leads."""
        if body == 'vote_reply':
            return self.on_reply(envelope)
        state = self._state
        is_from_leader = (
            envelope.term == state.term
            and envelope.sender == state.leader_name
            and state.role is Role.FOLLOWER
        )
        return is_from_leader and self.stand_at_once()

    def on_reply(self, envelope: Envelope) -> bool:
        """Count an answer; tell whether this replica now leads."""
        state = self._state
        reply = envelope.vote_reply
        if not reply.granted:
            if envelope.term > state.term:
                state.follow(envelope.term)
            return False
        if not self._is_current(envelope):
            return False
        self.tally.granted[envelope.sender] = envelope.sender_identity
        return self._count()

    def _is_led(self, envelope: Envelope) -> bool:
        """Tell whether a leader may still hold a lease by this voice."""
        state = self._state
        if state.role is Role.LEADER:
            return True
        return state.leader_is_fresh and not envelope.vote_request.handed_over

    def _may_stand(self) -> bool:
        state = self._state
        if not state.electorate.is_blank:
            return state.electorate.may_stand(
                state.name, state.identity, state.commit_index
            )
        return not self._joins and state.name in state.electorate.electors()

    def _ask(self, tally: Tally) -> bool:
        state = self._state
        self.tally = tally
        tally.granted[state.name] = state.identity
        request = VoteRequest(
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=tally.pre_vote,
            handed_over=tally.handed_over,
        )
        for name in state.electorate.electors():
            if name != state.name:
                state.send(name, term=tally.term, vote_request=request)
        return self._count()

    def _count(self) -> bool:
        state = self._state
        if not state.electorate.elects(self.tally.granted):
            return False
        if not self.tally.pre_vote:
            return True
        state.role = Role.CANDIDATE
        state.term += 1
        state.voted_for = state.key
        state.postpone_election()
        return self._ask(Tally(state.term, pre_vote=False))

    def _is_current(self, envelope: Envelope) -> bool:
        pre_vote = envelope.vote_reply.pre_vote
        role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        return (
            self._state.role is role
            and self.tally.pre_vote == pre_vote
            and self.tally.term == envelope.term
        )

    def _vote(self, envelope: Envelope) -> bool:
        state = self._state
        candidate = vote_key(envelope.sender, envelope.sender_identity)
        if envelope.term < state.term or not self._accepts(envelope):
            return False
        if state.voted_for not in {'', candidate}:
            return False
        state.voted_for = candidate
        state.postpone_election()
        return True

    def _accepts(self, envelope: Envelope) -> bool:
        request = envelope.vote_request
        if self._joins and not request.last_index:
            return False
        return self._state.log.is_up_to_date(
            request.last_index, request.last_term
        )

    def _reply(self, envelope: Envelope, *, granted: bool) -> None:
        self._state.send(
            envelope.sender,
            term=envelope.term if granted else self._state.term,
            vote_reply=VoteReply(
                granted=granted, pre_vote=envelope.vote_request.pre_vote
            ),
        )
