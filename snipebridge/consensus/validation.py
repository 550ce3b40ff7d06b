"""Checks a message between replicas before the core takes it.

The core trusts the numbers of a message: an entry out of order would be
appended, and a term near the limit of its field could not be exceeded again.
A message that no sound replica sends is therefore refused as a whole, whether
it comes from another build or was damaged on its way.

>>> envelope_fault(Envelope(sender='b', sender_identity='i', term=3), 0)
'it has no body that is known here'
"""

from google.protobuf.message import DecodeError

from snipebridge.rpc.consensus_pb2 import (
    AppendReply,
    AppendRequest,
    Envelope,
    LogEntry,
    Membership,
    SnapshotChunk,
)

# Terms and indexes stay far below the width of their fields, so that adding to
# one never overflows.
NUMBER_BITS = 62
NUMBER_LIMIT = 1 << NUMBER_BITS


def envelope_fault(envelope: Envelope, last_index: int) -> str:
    """Return why a message must not be taken, empty if it may be.

    `last_index` is the index of the last entry held here.
    """
    if not envelope.sender or not envelope.sender_identity:
        return 'it does not name its sender'
    if envelope.term >= NUMBER_LIMIT:
        return f'term {envelope.term} is out of range'
    body = envelope.WhichOneof('body')
    if body is None:
        return 'it has no body that is known here'
    return _body_fault(envelope, body, last_index)


def _body_fault(envelope: Envelope, body: str, last_index: int) -> str:
    if body == 'append_request':
        return _append_fault(envelope.append_request, envelope.term)
    if body == 'append_reply':
        return _reply_fault(envelope.append_reply, last_index)
    if body == 'snapshot_chunk':
        return _chunk_fault(envelope.snapshot_chunk, envelope.term)
    if body == 'snapshot_reply':
        return _range_fault(envelope.snapshot_reply.last_index)
    if body == 'vote_request':
        request = envelope.vote_request
        return _range_fault(request.last_index, request.last_term)
    return ''


def _append_fault(request: AppendRequest, term: int) -> str:
    fault = _range_fault(
        request.previous_index, request.previous_term, request.commit_index
    )
    index, previous_term = request.previous_index, request.previous_term
    for entry in request.entries:
        index += 1
        if entry.index != index:
            return f'entry {entry.index} stands in place of entry {index}'
        if not previous_term <= entry.term <= term:
            return f'entry {index} has term {entry.term} out of order'
        previous_term = entry.term
        fault = fault or _entry_fault(entry)
    return fault


def _entry_fault(entry: LogEntry) -> str:
    if entry.kind not in LogEntry.Kind.values():
        return f'entry {entry.index} is of the unknown kind {entry.kind}'
    if entry.kind == LogEntry.MEMBERSHIP:
        return _membership_fault(entry.payload)
    return ''


def _reply_fault(reply: AppendReply, last_index: int) -> str:
    if reply.success and reply.match_index > last_index:
        return f'it holds entry {reply.match_index}, and {last_index} is last'
    return _range_fault(reply.hint_index, reply.hint_term)


def _chunk_fault(chunk: SnapshotChunk, term: int) -> str:
    if not 0 < chunk.last_index < NUMBER_LIMIT or chunk.last_term > term:
        return f'a snapshot of {chunk.last_index}, term {chunk.last_term}'
    return _membership_fault(chunk.membership)


def _membership_fault(payload: bytes) -> str:
    try:
        membership = Membership.FromString(payload)
    except DecodeError as error:
        return f'its membership is unreadable: {error}'
    names = [member.name for member in membership.members]
    if not names or not all(names) or len(set(names)) < len(names):
        return 'its membership is empty, or a name is missing or doubled'
    return ''


def _range_fault(*numbers: int) -> str:
    for number in numbers:
        if number >= NUMBER_LIMIT:
            return f'{number} is out of range'
    return ''
