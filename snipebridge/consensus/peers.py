"""Replication from a leader to the other members."""

from snipebridge.consensus.lease import Rounds
from snipebridge.consensus.progress import MAX_BATCH_BYTES, Flow, Progress
from snipebridge.consensus.state import State
from snipebridge.consensus.transfer import make_chunk
from snipebridge.rpc.consensus_pb2 import (
    AppendReply,
    AppendRequest,
    Envelope,
    LogEntry,
    Member,
    SnapshotReply,
)


class Peers:
    """Progress of each other member, and the messages to it."""

    __slots__ = ('_progress', '_rounds', '_state', '_seen')

    def __init__(self, state: State, rounds: Rounds) -> None:
        """Start without members; `track_members` adds them."""
        self._state = state
        self._rounds = rounds
        self._progress: dict[str, Progress] = {}
        self._seen: dict[str, tuple[int, str]] = {}

    def track_members(self) -> None:
        """Follow the membership in force."""
        kept = {}
        for member in self._state.electorate.current.members:
            if member.name == self._state.name:
                continue
            progress = self._progress.get(member.name)
            if progress is None or member.identity not in {
                '',
                progress.identity,
            }:
                progress = self._start(member.name, member.identity)
            kept[member.name] = progress
        self._progress = kept

    def is_self(self, member: Member) -> bool:
        """Tell whether a member is this replica on this data folder."""
        state = self._state
        return (member.name, member.identity) == (state.name, state.identity)

    def synced_index(self, member: Member) -> int:
        """Return how far a voter is known to hold the log on disk."""
        if self.is_self(member):
            return self._state.log.synced_index
        progress = self._progress.get(member.name)
        return progress.match_index if progress else 0

    def is_caught_up(self, name: str, identity: str) -> bool:
        """Tell whether a learner holds all that is committed, and lives."""
        progress = self._progress.get(name)
        return (
            progress is not None
            and self.is_live(Member(name=name, identity=identity))
            and progress.match_index >= self._state.commit_index
        )

    def is_live(self, member: Member) -> bool:
        """Tell whether a data folder answered within an election timeout."""
        if self.is_self(member):
            return True
        state = self._state
        progress = self._progress.get(member.name)
        if progress is None or progress.identity != member.identity:
            return False
        silence_s = state.now_s - self._rounds.sent_s(member.name)
        return silence_s < state.timing.election_timeout_s

    def heard_from(self, envelope: Envelope) -> Progress | None:
        """Return the progress of the sender, if its identity is the member's.

        A learner that was added without an identity is bound to the one it
        answers with; when that changes, its disk is new and it starts over.
        """
        state = self._state
        member = state.electorate.member(envelope.sender)
        progress = self._progress.get(envelope.sender)
        if progress is None or member is None:
            return None
        identity = envelope.sender_identity
        self._see(envelope)
        if member.identity not in {'', identity}:
            return None
        if progress.identity != identity:
            progress = self._start(envelope.sender, identity)
            self._progress[envelope.sender] = progress
        return progress

    def send_heartbeats(self) -> None:
        """Send the open round to each member."""
        for name, progress in self._progress.items():
            progress.paused = False
            self._resend_stalled_chunk(name, progress)
            previous = progress.next_index - 1
            if progress.flow is Flow.SNAPSHOT:
                previous = 0
            if self._state.log.term_at(previous) is None:
                previous = 0
            self._send_append(name, previous, [])

    def replicate_all(self) -> None:
        """Send what flow control lets go to each member."""
        for name, progress in self._progress.items():
            self._replicate(name, progress)

    def back_off(self, progress: Progress, reply: AppendReply) -> None:
        """Probe from where the logs may still agree."""
        log = self._state.log
        if progress.flow is Flow.SNAPSHOT:
            return
        if reply.hint_index < progress.match_index:
            return
        index = min(reply.hint_index, log.last_index)
        while (log.term_at(index) or 0) > reply.hint_term:
            index -= 1
        progress.probe(index + 1)

    def continue_snapshot(
        self,
        name: str,
        progress: Progress,
        reply: SnapshotReply,
    ) -> None:
        """Send the next chunk, or go on with the log after the last."""
        snapshot = progress.snapshot
        if progress.flow is not Flow.SNAPSHOT or snapshot is None:
            return
        if reply.last_index != snapshot.last_index:
            return
        if reply.installed:
            progress.matched(reply.last_index)
            progress.probe(reply.last_index + 1)
            return
        progress.offset_bytes = reply.next_offset_bytes
        self._send_chunk(name, progress)

    def seen_identity(self, name: str, since_s: float) -> str:
        """Return the identity that answered a round opened since a time."""
        number, identity = self._seen.get(name, (0, ''))
        opened_s = self._rounds.opened_s(number)
        return identity if opened_s and opened_s >= since_s else ''

    def _see(self, envelope: Envelope) -> None:
        number = envelope.append_reply.round
        if number and number >= self._seen.get(envelope.sender, (0, ''))[0]:
            self._seen[envelope.sender] = (number, envelope.sender_identity)

    def _start(self, name: str, identity: str) -> Progress:
        self._rounds.forget(name)
        return Progress(self._state.log.last_index, identity)

    def _replicate(self, name: str, progress: Progress) -> None:
        log = self._state.log
        if progress.flow is Flow.SNAPSHOT:
            return
        if progress.next_index <= log.start_index:
            progress.begin_snapshot(self._state.snapshot)
            self._send_chunk(name, progress)
            return
        while progress.can_send() and progress.next_index <= log.last_index:
            entries = log.between(
                progress.next_index, log.last_index, MAX_BATCH_BYTES
            )
            self._send_append(name, progress.next_index - 1, entries)
            progress.sent(entries[-1].index)

    def _send_append(
        self,
        name: str,
        previous_index: int,
        entries: list[LogEntry],
    ) -> None:
        state = self._state
        state.send_early(
            name,
            append_request=AppendRequest(
                previous_index=previous_index,
                previous_term=state.log.term_at(previous_index) or 0,
                commit_index=state.commit_index,
                entries=entries,
                round=self._rounds.number,
            ),
        )

    def _send_chunk(self, name: str, progress: Progress) -> None:
        progress.sent_s = self._state.now_s
        chunk = make_chunk(progress.snapshot, progress.offset_bytes)
        self._state.send_early(name, snapshot_chunk=chunk)

    def _resend_stalled_chunk(self, name: str, progress: Progress) -> None:
        silence_s = self._state.now_s - progress.sent_s
        timeout_s = self._state.timing.election_timeout_s
        if progress.flow is Flow.SNAPSHOT and silence_s > timeout_s:
            self._send_chunk(name, progress)
