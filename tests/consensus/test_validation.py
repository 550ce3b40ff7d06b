"""Messages that no sound replica sends reach neither the log nor the end."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebridge.consensus.errors import ReplicaFailedError
from snipebridge.consensus.validation import NUMBER_LIMIT, envelope_fault
from snipebridge.rpc.consensus_pb2 import (
    AppendReply,
    AppendRequest,
    Envelope,
    LogEntry,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from tests.consensus.test_core import make_entries, start, sync
from tests.random_messages import messages

TERM = 4


def _from_b(**body):
    return Envelope(
        sender='b', sender_identity='b-id', recipient='a', term=TERM, **body
    )


def _append(*entries, previous_index=2, previous_term=1):
    return _from_b(
        append_request=AppendRequest(
            previous_index=previous_index,
            previous_term=previous_term,
            entries=entries,
        )
    )


@pytest.mark.parametrize(
    'envelope',
    [
        Envelope(sender='b', sender_identity='b-id', recipient='a'),
        Envelope(recipient='a', vote_reply=VoteReply(granted=True)),
        _append(LogEntry(index=4, term=1)),
        _append(LogEntry(index=3, term=TERM + 1)),
        _append(LogEntry(index=3, term=3), LogEntry(index=4, term=2)),
        _append(LogEntry(index=3, term=2, kind=9)),
        _append(
            LogEntry(index=3, term=2, kind=LogEntry.MEMBERSHIP, payload=b'\xff')
        ),
        _append(LogEntry(index=3, term=2, kind=LogEntry.MEMBERSHIP)),
        _append(previous_index=NUMBER_LIMIT),
        _from_b(append_reply=AppendReply(success=True, match_index=99)),
        _from_b(snapshot_chunk=SnapshotChunk(last_index=0, done=True)),
        _from_b(snapshot_chunk=SnapshotChunk(last_index=9, membership=b'\xff')),
        _from_b(snapshot_reply=SnapshotReply(last_index=NUMBER_LIMIT)),
        _from_b(vote_request=VoteRequest(last_index=NUMBER_LIMIT)),
    ],
)
def test_a_message_that_no_replica_sends_is_refused(envelope):
    assert envelope_fault(envelope, last_index=2)


def test_a_term_near_the_limit_of_its_field_is_refused():
    envelope = _from_b(vote_request=VoteRequest())
    assert not envelope_fault(envelope, last_index=2)
    envelope.term = NUMBER_LIMIT
    assert envelope_fault(envelope, last_index=2)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(messages(Envelope), max_size=6), st.booleans())
def test_no_sequence_of_messages_stops_a_core(envelopes, leads):
    core = start(make_entries(1, 1), term=1)
    if leads:
        core.tick(10.0)
        for sender in 'bc':
            sync(core)
            for pre_vote in (True, False):
                core.step(
                    Envelope(
                        sender=sender,
                        sender_identity=f'{sender}-id',
                        recipient='a',
                        term=core.state.term + pre_vote,
                        vote_reply=VoteReply(granted=True, pre_vote=pre_vote),
                    ),
                    10.0,
                )
    for envelope in envelopes:
        envelope.recipient = 'a'
        if envelope_fault(envelope, core.state.log.last_index):
            continue
        try:
            core.step(envelope, 11.0)
        except ReplicaFailedError:
            # Two leaders that contradict each other on a committed entry:
            # a replica that sees this must not go on.
            return
        sync(core)
        log = core.state.log
        assert core.state.commit_index <= log.last_index
        assert all(
            log.term_at(index) is not None
            for index in range(log.start_index, log.last_index + 1)
        )
    core.tick(20.0)
