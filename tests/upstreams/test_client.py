"""The HTTP client with malformed, truncated and late responses."""

import asyncio

import pytest

from snipebridge.errors import Ran
from snipebridge.upstreams.client import UpstreamCall, make_upstream_client
from snipebridge.upstreams.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from tests.upstreams.servers import raw_server, send, send_nothing

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


async def _fetch(respond, limit_s: float = 5.0):
    async with raw_server(respond) as url:
        return await make_upstream_client().fetch(_call(url, limit_s))


def test_complete_response():
    """Status, headers and body arrive as sent."""
    response = asyncio.run(_fetch(send(_HEAD, b'ab', b'cd')))
    assert (response.status, response.body) == (200, b'abcd')


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
def test_body_framing(head, parts):
    """Bodies end by close, last chunk or length, also after a 100 response."""
    response = asyncio.run(_fetch(send(head, *parts)))
    assert (response.status, response.body) == (200, b'abcd')


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
def test_malformed_response_is_invalid(parts):
    """Invalid HTTP, oversized headers and missing chunks are errors."""
    with pytest.raises(InvalidResponseError):
        asyncio.run(_fetch(send(*parts)))


def test_header_injection_is_refused():
    """A header that contains a line break is not sent."""
    call = _call('http://127.0.0.1:1')
    call.headers = {'Accept': 'a\r\nX-Request-Id: other'}

    async def fetch():
        async with raw_server(send(_HEAD, b'abcd')) as url:
            call.url = url
            await make_upstream_client().fetch(call)

    with pytest.raises(ConnectError):
        asyncio.run(fetch())


def test_refused_connection_did_not_run():
    """A refused connection certainly sent nothing."""
    with pytest.raises(ConnectError) as caught:
        asyncio.run(
            make_upstream_client().fetch(_call('http://127.0.0.1:1')),
        )
    assert caught.value.ran is Ran.NO


@pytest.mark.parametrize(
    'parts',
    [(), (b'HTTP/1.1 200',), (_HEAD,), (_HEAD, b'abc')],
)
def test_truncated_response_is_invalid(parts):
    """A response truncated at any point is an error."""
    with pytest.raises(InvalidResponseError) as caught:
        asyncio.run(_fetch(send(*parts)))
    assert caught.value.ran is Ran.UNKNOWN


def test_no_response_times_out():
    """A response that does not arrive in time is an error."""
    with pytest.raises(ResponseTimeoutError):
        asyncio.run(_fetch(send_nothing, limit_s=0.05))


def test_slow_consumer_does_not_time_out():
    """The time the consumer needs does not count against the upstream."""

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


@pytest.mark.parametrize('size_bytes', [1_000_000, 4_000_000])
def test_end_during_the_upload_does_not_complete_a_response(size_bytes):
    """Guards against a part of a body that is taken for all of it."""

    async def end_early(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        writer.write_eof()
        await asyncio.sleep(0.1)
        writer.close()

    async def fetch():
        server = await asyncio.start_server(end_early, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        call = _call(f'http://127.0.0.1:{port}')
        call.body = b'x' * size_bytes
        async with server:
            await make_upstream_client().fetch(call)

    with pytest.raises(InvalidResponseError):
        asyncio.run(fetch())
