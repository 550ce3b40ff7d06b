"""Responses whose status is no status of a response."""

import asyncio

import pytest

from snipebridge.upstreams.client import UpstreamCall, make_upstream_client
from snipebridge.upstreams.connections import ConnectionPool
from snipebridge.upstreams.errors import InvalidResponseError
from tests.upstreams.servers import raw_server, send

SOUND = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright'
STATUSES = (b'000', b'099', b'101', b'600', b'999', b'1000', b'-1', b'2e2')
FORMS = (
    b'HTTP/1.1 %s X\r\nContent-Length: 5\r\n\r\nwrong',
    b'HTTP/1.1 %s X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n',
    b'HTTP/1.1 %s X\r\n\r\n',
)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
INTERIM_BODIES = (
    b'HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nwrong',
    b'HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n',
    b'HTTP/1.1 199 X\r\nContent-Length: 5\r\n\r\nwrong',
)


async def fetch_routed(url):
    """Return status and body as a routed request gets them."""
    connection = await ConnectionPool().connect(url.partition('//')[2])
    connection.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', 'GET')
    try:
        status = await connection.wait_head(1.0)
        body = b''
        while chunk := await connection.read(1.0):
            body += chunk
    finally:
        connection.abort()
    return status, body


async def fetch_chat(url):
    """Return status and body as the chat form gets them."""
    response = await make_upstream_client().fetch(UpstreamCall(url, 'GET'))
    return response.status, response.body


def play(fetch, *parts):
    """Fetch from a server that sends parts."""

    async def session():
        async with raw_server(send(*parts)) as url:
            return await fetch(url)

    return asyncio.run(asyncio.wait_for(session(), 5))


@pytest.mark.parametrize('fetch', [fetch_routed, fetch_chat])
@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('after', [b'', SOUND])
def test_status_that_is_none_is_invalid(status, form, after, fetch):
    """Guards against bytes in trouble that are passed on as an answer.

    Of two responses the first one counts, and its body is not that of the
    second one.
    """
    with pytest.raises(InvalidResponseError):
        play(fetch, form % status, after)
    with pytest.raises(InvalidResponseError):
        play(fetch, form % status + after)


@pytest.mark.parametrize('fetch', [fetch_routed, fetch_chat])
@pytest.mark.parametrize('interim', INTERIM_BODIES)
def test_interim_response_has_no_body(interim, fetch):
    """Guards against a body that is put before that of the answer."""
    with pytest.raises(InvalidResponseError):
        play(fetch, interim + SOUND)


@pytest.mark.parametrize('fetch', [fetch_routed, fetch_chat])
def test_interim_response_is_skipped(fetch):
    """Guards against an answer that is lost since hints came before it."""
    assert play(fetch, INTERIM, INTERIM + SOUND) == (200, b'right')


@pytest.mark.parametrize('fetch', [fetch_routed, fetch_chat])
@pytest.mark.parametrize('status', [200, 299, 418, 599])
def test_statuses_without_a_name_are_passed_on(status, fetch):
    """Guards against a check that knows only some statuses."""
    sent = b'HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok' % status
    assert play(fetch, sent) == (status, b'ok')
