"""The platform's list: pages, foreign entries, bytes that are no text."""

import asyncio

import pytest

from fakes.platform_list import PlatformList
from fakes.platform_replica import PlatformReplica
from snipebridge.clock import SystemClock
from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.replica_list import (
    make_replica_list,
    parse_json_leniently,
    parse_replica,
)

GOOD = {
    'id': 'r1',
    'service': 's',
    'address': '10.0.0.1:80',
    'data_centre': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'draining',
    'warm_up_left_ms': 7,
}


def read(platform):
    """Read the list of a platform that runs on loopback."""

    async def session():
        platform.start()
        try:
            url = f'http://127.0.0.1:{platform.port}/instances'
            reader = make_replica_list(
                make_upstream_client(), url, SystemClock()
            )
            return await reader.read()
        finally:
            platform.stop()

    return asyncio.run(session())


def make_platform(count):
    """Return a list of some replicas."""
    replicas = [PlatformReplica(f'r{one}', 's', 'h') for one in range(count)]
    for replica in replicas:
        replica.port = 80
    return PlatformList(replicas)


def test_all_pages_are_read():
    """More replicas than fit on a page; the moment is that of asking."""
    platform = make_platform(8)
    found = read(platform)
    assert [one.id for one in found.replicas] == [f'r{n}' for n in range(8)]
    assert platform.calls == 3
    assert not found.invalid_entries


def test_foreign_entries_are_left_out():
    """They name no replica; the others hold, and the faults are told."""
    platform = make_platform(2)
    platform.foreign = [None, 7, {'id': 'x'}, {**GOOD, 'slots': 'many'}]
    found = read(platform)
    assert [one.id for one in found.replicas] == ['r0', 'r1']
    assert len(found.invalid_entries) == 4


def test_unread_list_is_an_error():
    """Over the rate there is no list, and the old one stays in use."""
    platform = make_platform(1)
    platform.is_down = True
    with pytest.raises(UpstreamError):
        read(platform)


@pytest.mark.parametrize(
    'change',
    [
        {'id': ''},
        {'id': 5},
        {'address': 'nowhere'},
        {'address': '10.0.0.1:http'},
        {'state': 'resting'},
        {'slots': -1},
        {'slots': True},
        {'warm_up_left_ms': 1e30},
        {'version': None},
    ],
)
def test_entry_of_another_writer(change):
    """A field of another type, or a state that is not known."""
    with pytest.raises((KeyError, TypeError, ValueError)):
        parse_replica({**GOOD, **change})


def test_entry_is_decoded():
    """State and warming are what the product calls them."""
    entry = parse_replica(GOOD)
    assert entry.draining
    assert entry.software == 'v1'
    assert entry.warm_up_left_ms == 7


def test_bytes_that_are_no_text_spoil_one_entry_only():
    """Invalid UTF-8 in one text leaves the others readable."""
    page = parse_json_leniently(
        b'{"replicas": [{"id": "a\xff\xfe"}, {"id": "b"}]}'
    )
    assert page['replicas'][1]['id'] == 'b'
