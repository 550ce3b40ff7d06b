"""Calls end with an error that tells whether anything was sent."""

import asyncio

import pytest

from snipebridge.errors import Ran
from snipebridge.upstreams.client import UpstreamCall, make_upstream_client
from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from tests.upstreams.servers import raw_server, send_nothing, send

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'


def _call(url: str, limit_s: float = 5.0) -> UpstreamCall:
    return UpstreamCall(
        url=url,
        method='POST',
        body=b'{}',
        connect_timeout_s=1.0,
        first_byte_timeout_s=limit_s,
        idle_timeout_s=limit_s,
    )


async def _fetch(answer, limit_s: float = 5.0):
    async with raw_server(answer) as url:
        return await make_upstream_client().fetch(_call(url, limit_s))


def test_whole_answer():
    """Status, headers and body arrive as sent."""
    answer = asyncio.run(_fetch(send(_HEAD, b'ab', b'cd')))
    assert (answer.status, answer.body) == (200, b'abcd')


@pytest.mark.parametrize(
    ('head', 'parts'),
    [
        (b'HTTP/1.1 200 OK\r\n\r\n', (b'ab', b'cd')),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            (b'2\r\nab\r\n', b'2\r\ncd\r\n0\r\n', b'\r\n'),
        ),
        (b'HTTP/1.1 100 Continue\r\n\r\n' + _HEAD, (b'abcd',)),
    ],
)
def test_each_way_to_end_a_body(head, parts):
    """End of connection, last chunk and length, after an interim answer."""
    answer = asyncio.run(_fetch(send(head, *parts)))
    assert (answer.status, answer.body) == (200, b'abcd')


@pytest.mark.parametrize(
    'parts',
    [
        (b'not HTTP at all\r\n\r\n',),
        (b'HTTP/1.1 200 OK\r\nX: ', b'x' * 70_000, b'\r\n\r\n'),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'2\r\nab\r\n',
        ),
    ],
)
def test_malformed_answer_is_broken(parts):
    """What is no whole HTTP answer has an unknown outcome."""
    with pytest.raises(InvalidResponseError):
        asyncio.run(_fetch(send(*parts)))


def test_request_can_not_be_split():
    """A header with a line break is not sent."""
    call = _call('http://127.0.0.1:1')
    call.headers = {'Accept': 'a\r\nX-Request-Id: other'}

    async def fetch():
        async with raw_server(send(_HEAD, b'abcd')) as url:
            call.url = url
            await make_upstream_client().fetch(call)

    with pytest.raises(ConnectError):
        asyncio.run(fetch())


def test_refused_connection_did_not_run():
    """Nothing was sent, and that is certain."""
    with pytest.raises(ConnectError) as caught:
        asyncio.run(
            make_upstream_client().fetch(_call('http://127.0.0.1:1')),
        )
    assert caught.value.ran is Ran.NO


@pytest.mark.parametrize(
    'parts',
    [(), (b'HTTP/1.1 200',), (_HEAD,), (_HEAD, b'abc')],
)
def test_early_end_is_broken(parts):
    """An answer cut off anywhere is never taken for whole."""
    with pytest.raises(InvalidResponseError) as caught:
        asyncio.run(_fetch(send(*parts)))
    assert caught.value.ran is Ran.UNKNOWN


def test_silence_ends_the_call():
    """A connection on which nothing comes is given up."""
    with pytest.raises(ResponseTimeoutError):
        asyncio.run(_fetch(send_nothing, limit_s=0.05))


def test_slow_reader_is_no_silence():
    """Waiting for a slow caller does not count against the upstream."""

    class SlowSink:
        def __init__(self):
            self.chunks = []

        def receive_head(self, status, headers):
            self.status = status

        def receive_chunk(self, chunk):
            self.chunks.append(chunk)
            return asyncio.sleep(0.2)

    async def stream():
        sink = SlowSink()
        async with raw_server(send(_HEAD, b'abcd')) as url:
            await make_upstream_client().stream(_call(url, 0.05), sink)
        return sink

    assert b''.join(asyncio.run(stream()).chunks) == b'abcd'
