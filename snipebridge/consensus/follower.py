"""What a replica does with the messages of a leader."""

from collections.abc import Sequence

from snipebridge.consensus.state import State
from snipebridge.consensus.transfer import SnapshotAssembly
from snipebridge.rpc.consensus_pb2 import (
    AppendReply,
    AppendRequest,
    Envelope,
    LogEntry,
    SnapshotReply,
)


class Follower:
    """Takes entries and snapshots; its answers leave after the sync."""

    __slots__ = ('_assembly', '_state')

    def __init__(self, state: State) -> None:
        """Start without a snapshot under way."""
        self._state = state
        self._assembly = SnapshotAssembly()

    def on_append(self, envelope: Envelope) -> None:
        """Append what fits and answer how far the logs agree."""
        state = self._state
        request = envelope.append_request
        if envelope.term < state.term:
            self._answer(envelope, AppendReply())
            return
        self._hear(envelope)
        reply = AppendReply(round=request.round)
        if request.previous_index < state.commit_index:
            request = _after(request, state.commit_index, state.log.term_at)
        if state.log.term_at(request.previous_index) == request.previous_term:
            reply.success = True
            reply.match_index = self._take(request)
        else:
            reply.hint_index, reply.hint_term = self._hint(request)
        self._answer(envelope, reply)

    def on_chunk(self, envelope: Envelope) -> None:
        """Take a part of a snapshot; install it when it is whole."""
        state = self._state
        chunk = envelope.snapshot_chunk
        if envelope.term < state.term:
            state.send(envelope.sender, snapshot_reply=SnapshotReply())
            return
        self._hear(envelope)
        reply = SnapshotReply(last_index=chunk.last_index)
        if chunk.last_index > state.commit_index:
            snapshot = self._assembly.add(chunk)
            reply.next_offset_bytes = self._assembly.next_offset_bytes
            if snapshot is not None:
                self._install(snapshot)
        reply.installed = chunk.last_index <= state.commit_index
        state.send(envelope.sender, snapshot_reply=reply)

    def _hear(self, envelope: Envelope) -> None:
        state = self._state
        state.follow(envelope.term, envelope.sender)
        state.heard_s = state.now_s

    def _take(self, request: AppendRequest) -> int:
        state = self._state
        fresh = self._fresh(request.entries)
        if fresh:
            if fresh[0].index <= state.log.last_index:
                state.truncate_after(fresh[0].index - 1)
            state.append(fresh)
        match_index = request.previous_index + len(request.entries)
        known = min(request.commit_index, match_index)
        state.commit_index = max(state.commit_index, known)
        return match_index

    def _fresh(self, entries: Sequence[LogEntry]) -> list[LogEntry]:
        for position, entry in enumerate(entries):
            if self._state.log.term_at(entry.index) != entry.term:
                return list(entries[position:])
        return []

    def _hint(self, request: AppendRequest) -> tuple[int, int]:
        state = self._state
        index = min(request.previous_index, state.log.last_index)
        while (
            index > state.commit_index
            and state.log.term_at(index) > request.previous_term
        ):
            index -= 1
        return index, state.log.term_at(index) or 0

    def _install(self, snapshot) -> None:
        state = self._state
        if state.log.term_at(snapshot.last_index) == snapshot.last_term:
            state.commit_index = snapshot.last_index
        else:
            state.install(snapshot)

    def _answer(self, envelope: Envelope, reply: AppendReply) -> None:
        self._state.send(envelope.sender, append_reply=reply)


def _after(request: AppendRequest, commit_index: int, term_at) -> AppendRequest:
    """Drop the entries that are committed here and so agree already."""
    skipped = commit_index - request.previous_index
    return AppendRequest(
        previous_index=commit_index,
        previous_term=term_at(commit_index),
        commit_index=request.commit_index,
        entries=request.entries[skipped:],
        round=request.round,
    )
