"""Streams that end with their connection, whole or broken off."""

import asyncio

import eliot
import pytest

from fakes.platform_caller import CHAT_HEADERS, read_answer, request_bytes
from fakes.platform_replica import (
    BREAK_CLOSE,
    BREAK_LAST_CHUNK,
    BREAK_RESET,
    PlatformReplica,
)
from tests.relay.running_entry import RunningEntry

# Without a length or chunks, and how it breaks off.
BREAKS = (
    (False, BREAK_CLOSE),
    (False, BREAK_RESET),
    (False, BREAK_LAST_CHUNK),
    (True, BREAK_CLOSE),
    (True, BREAK_RESET),
)


def run(scenario) -> None:
    """Run a scenario within ten seconds."""
    asyncio.run(asyncio.wait_for(scenario, 10))


def engine_replicas(count, *, unframed, form=BREAK_CLOSE, breaks=2):
    """Return replicas whose streams break off after some events."""
    replicas = [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1')
        for number in range(count)
    ]
    for replica in replicas:
        replica.faults.unframed = unframed
        replica.faults.break_form = form
        replica.faults.breaks_after_events = breaks
    return replicas


@pytest.fixture
def attempts():
    """The log lines of attempts, as they are written."""
    lines = []

    def keep(message):
        if message['message_type'] == 'decision:attempt':
            lines.append(message)

    eliot.add_destinations(keep)
    # The first destination gets what was logged before it.
    lines.clear()
    yield lines
    eliot.remove_destination(keep)


def test_whole_stream_without_framing_reaches_the_caller():
    """An orderly end after a whole event is the end of the answer."""

    async def scenario():
        replicas = engine_replicas(1, unframed=True, breaks=0)
        async with RunningEntry(*replicas) as entry:
            answer = await entry.chat()
            assert answer.is_whole
            assert answer.body.count(b'id: ') == replicas[0].events

    run(scenario())


@pytest.mark.parametrize(('unframed', 'form'), BREAKS)
def test_log_tells_how_a_broken_stream_was_framed(attempts, unframed, form):
    """The line of an attempt has the framing and the bytes left over."""

    async def scenario():
        replicas = engine_replicas(1, unframed=unframed, form=form)
        async with RunningEntry(*replicas) as entry:
            await entry.chat()
            await entry.wait_until(lambda: attempts)
            assert attempts[0]['framing'] == (
                'connection_end' if unframed else 'chunks'
            )
            assert attempts[0]['unfinished_bytes'] == len(b'id: 3\nd')

    run(scenario())


def ids_of(answer):
    """Return the id lines of the events of an answer."""
    return [line for line in answer.body.split(b'\n') if line.startswith(b'id')]


@pytest.mark.parametrize(('unframed', 'form'), BREAKS)
def test_stream_cut_inside_an_event_is_not_ended_as_complete(unframed, form):
    """Nothing else can go on with it, and the answer looks broken off."""

    async def scenario():
        replicas = engine_replicas(1, unframed=unframed, form=form)
        async with RunningEntry(*replicas) as entry:
            answer = await entry.chat()
            assert not answer.is_whole
            assert ids_of(answer) == [b'id: 1', b'id: 2']
            assert answer.body.endswith(b'\n\n')

    run(scenario())


@pytest.mark.parametrize(('unframed', 'form'), BREAKS)
def test_stream_cut_inside_an_event_is_resumed(unframed, form):
    """The caller has each event once, from two replicas."""

    async def scenario():
        replicas = engine_replicas(2, unframed=unframed, form=form)
        async with RunningEntry(*replicas) as entry:
            answer = await entry.chat()
            assert answer.is_whole
            assert ids_of(answer) == [b'id: 1', b'id: 2', b'id: 3', b'id: 4']

    run(scenario())


def test_blank_lines_after_the_last_event_are_no_broken_event():
    """They are passed on, and the answer is whole."""

    async def scenario():
        replicas = engine_replicas(1, unframed=True, breaks=0)
        replicas[0].faults.after_last_event = b'\n'
        async with RunningEntry(*replicas) as entry:
            answer = await entry.chat()
            assert answer.is_whole
            assert answer.body.endswith(b'4\n\n\n')

    run(scenario())


@pytest.mark.parametrize('breaks', [0, 2])
def test_caller_of_http_1_0_can_tell_a_broken_stream_from_a_whole_one(breaks):
    """Its answer ends with the connection, so a broken one is reset."""

    async def scenario():
        replicas = engine_replicas(1, unframed=False, breaks=breaks)
        async with RunningEntry(*replicas) as entry:
            content = request_bytes('/chat/x', 'POST', b'p', CHAT_HEADERS)
            reader, writer = await entry.send_bytes(
                content.replace(b'HTTP/1.1', b'HTTP/1.0', 1)
            )
            answer = await read_answer(reader)
            writer.close()
            assert 'transfer-encoding' not in answer.headers
            assert answer.is_whole is not bool(breaks)

    run(scenario())
