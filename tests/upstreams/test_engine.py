"""The engine adapter passes on complete responses of its own request only."""

import asyncio
import json

import pytest

from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.engine import EngineCall, make_engine
from snipebridge.upstreams.errors import InvalidResponseError, StatusError
from tests.upstreams.servers import raw_server, send

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
_DONE = b'data: [DONE]\n\n'


class _Listener:
    def __init__(self):
        self.received = b''
        self.tokens = 0

    def receive_tokens(self, events, text, tokens):
        self.received += events
        self.tokens += tokens


def _event(text, request_id='r1', finish=None, usage=None) -> bytes:
    choice = {'delta': {'content': text}, 'finish_reason': finish}
    chunk = {'id': request_id, 'choices': [choice]}
    if usage:
        chunk['usage'] = usage
    return f'data: {json.dumps(chunk)}\n\n'.encode()


def _end() -> bytes:
    usage = {'prompt_tokens': 3, 'completion_tokens': 2}
    return _event('', finish='stop', usage=usage)


async def _stream(*parts: bytes):
    listener = _Listener()
    async with raw_server(send(*parts)) as url:
        call = EngineCall(
            url=url,
            request_id='r1',
            version='small@1',
            account='a',
            priority=1,
            body={'messages': []},
            connect_timeout_s=1,
            first_byte_timeout_s=5,
            idle_timeout_s=5,
        )
        engine = make_engine(make_upstream_client())
        return await engine.stream_chat(call, listener), listener


def test_stream_end_is_withheld():
    """Tokens are relayed immediately; the end of the stream is returned."""
    stream = b''.join((_event('a '), _event('b'), _end(), _DONE))
    # Split at various points: events do not depend on packet boundaries.
    for split in range(1, len(stream), 17):
        end, listener = asyncio.run(
            _stream(_HEAD, stream[:split], stream[split:])
        )
        assert listener.received == _event('a ') + _event('b')
        assert end.final_chunk == _end() + _DONE
        assert (end.text, listener.tokens) == ('a b', 2)
        assert end.usage.prompt_tokens == 3


@pytest.mark.parametrize(
    'parts',
    [
        (_event('a', request_id='r2'), _end(), _DONE),
        (_event('a'), _event('b', request_id='r2'), _end(), _DONE),
        (_event('a'), _DONE),
        (_event('a'), _end()),
        (_event('a'),),
        (b'data: {"id": \n\n',),
    ],
)
def test_mismatched_or_truncated_stream_is_invalid(parts):
    """An event of another request or a missing end is an error."""
    with pytest.raises(InvalidResponseError):
        asyncio.run(_stream(_HEAD, *parts))


def test_mismatched_head_is_invalid():
    """A response whose head has another request id is not relayed."""
    head = _HEAD.replace(b'\r\n\r\n', b'\r\nX-Request-Id: r2\r\n\r\n')
    with pytest.raises(InvalidResponseError):
        asyncio.run(_stream(head, _event('a'), _end(), _DONE))


def test_status_keeps_retry_after():
    """The Retry-After header of the engine is kept in the error."""
    head = b'HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 2\r\n\r\n{}'
    with pytest.raises(StatusError) as caught:
        asyncio.run(_stream(head))
    assert (caught.value.status, caught.value.retry_after_s) == (503, 7.0)
