"""The platform's replica list: pages, invalid entries, invalid UTF-8."""

import asyncio

import orjson
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

VALID_ENTRY = {
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
    """Return a platform list with a number of replicas."""
    replicas = [PlatformReplica(f'r{one}', 's', 'h') for one in range(count)]
    for replica in replicas:
        replica.port = 80
    return PlatformList(replicas)


def test_all_pages_are_read():
    """A list with more replicas than fit on one page is read completely."""
    platform = make_platform(8)
    snapshot = read(platform)
    assert [one.id for one in snapshot.replicas] == [f'r{n}' for n in range(8)]
    assert platform.calls == 3
    assert not snapshot.invalid_entries


def test_invalid_entries_are_skipped():
    """Invalid entries are skipped and reported; the others are read."""
    platform = make_platform(2)
    platform.foreign = [None, 7, {'id': 'x'}, {**VALID_ENTRY, 'slots': 'many'}]
    snapshot = read(platform)
    assert [one.id for one in snapshot.replicas] == ['r0', 'r1']
    assert len(snapshot.invalid_entries) == 4


def test_unavailable_list_is_an_error():
    """A list that is not available raises an error."""
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
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:٨٠'},
        {'address': 'h\u00f6st:80'},
        {'id': 'r1\r\nX-Tenant: other'},
        {'state': ['ready']},
        {'slots': float('nan')},
        {'state': 'resting'},
        {'slots': -1},
        {'slots': True},
        {'warm_up_left_ms': 1e30},
        {'version': None},
    ],
)
def test_invalid_entry(change):
    """A field of a wrong type or range, or an unknown state, is invalid."""
    with pytest.raises((KeyError, TypeError, ValueError)):
        parse_replica({**VALID_ENTRY, **change})


def test_entry_is_parsed():
    """The fields of an entry are mapped to those of a replica."""
    entry = parse_replica(VALID_ENTRY)
    assert entry.draining
    assert entry.software == 'v1'
    assert entry.warm_up_left_ms == 7


def test_invalid_utf8_affects_one_entry_only():
    """Invalid UTF-8 in one entry does not affect the others."""
    page = parse_json_leniently(
        b'{"replicas": [{"id": "a\xff\xfe"}, {"id": "b"}]}'
    )
    assert page['replicas'][1]['id'] == 'b'


@pytest.mark.parametrize(
    'odd',
    [
        '[' * 1_100 + ']' * 1_100,
        '{"a":' * 100_000 + '1' + '}' * 100_000,
        '{"slots": ' + '9' * 5_001 + '}',
        '{"slots": 1e999}',
        '{"id": "}],[{\\" "}',
        'NaN',
        '"\\ud800"',
    ],
)
def test_entry_that_no_parser_takes_does_not_hide_the_others(odd):
    """The list was not followed any more."""
    first = orjson.dumps({**VALID_ENTRY, 'id': 'a, "]'}).decode()
    last = orjson.dumps(VALID_ENTRY).decode()
    platform = make_platform(1)
    platform.raw_page = (
        f'{{"replicas": [{first}, {odd} , {last}], "next": null}}'
    )
    snapshot = read(platform)
    assert [one.id for one in snapshot.replicas] == ['a, "]', 'r1']
    assert len(snapshot.invalid_entries) == 1
    assert len(snapshot.invalid_entries[0]) < 200


@pytest.mark.parametrize(
    'page', ['', '[]', '7', '{"replicas": 7}', '{"replicas": [', '{,}', '{"a"']
)
def test_page_that_is_no_list_is_an_error(page):
    """The list that was read before stays in force."""
    platform = make_platform(1)
    platform.raw_page = page
    with pytest.raises(UpstreamError):
        read(platform)


@pytest.mark.parametrize('identity', [' r1', 'r1 '])
def test_id_that_no_header_can_have_is_skipped(identity):
    """Guards against a replica that refuses each request as not meant."""
    with pytest.raises(ValueError, match='id'):
        parse_replica({**VALID_ENTRY, 'id': identity})
