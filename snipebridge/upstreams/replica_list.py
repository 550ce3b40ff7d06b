"""Reads the platform's paginated list of replicas.

``GET <url>?page_token=<token>`` returns ``replicas`` and ``next``, the token
of the next page, null on the last. An entry that lacks a field, or has one of
a wrong type or an unknown state, is skipped and reported.
"""

import reprlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import quote

import orjson

from snipebridge.clock import Clock
from snipebridge.rpc.control_pb2 import ListedReplica
from snipebridge.upstreams.client import UpstreamCall, UpstreamClient
from snipebridge.upstreams.errors import InvalidResponseError, StatusError
from snipebridge.upstreams.heads import name_fault
from snipebridge.upstreams.lenient_json import read_members

# A page takes a few milliseconds; a failed read is repeated at the next poll.
_PAGE_TIMEOUT_S = 1.0
# Far more pages than any list has; ends a read whose pages form a cycle.
_PAGE_LIMIT = 200
_OK_STATUS = 200
_STATES = frozenset(('ready', 'draining'))
# Width of the protobuf fields that carry the numbers to entry processes.
_NUMBER_BITS = 32
_LAST_PORT = 65_535
_PORT_DIGITS = 5


@dataclass(slots=True)
class ReplicaListSnapshot:
    """The list and the monotonic time at which it was requested."""

    requested_at_s: float
    replicas: list[ListedReplica] = field(default_factory=list)
    # The errors of the entries that were skipped.
    invalid_entries: list[str] = field(default_factory=list)


class ReplicaListReader(Protocol):
    """Source of the replicas of all services."""

    async def read(self) -> ReplicaListSnapshot:
        """Return the complete list; raises `UpstreamError` on failure."""


class HttpReplicaListReader:
    """Reads the replica list over HTTP."""

    __slots__ = ('_client', '_clock', '_url')

    def __init__(self, client: UpstreamClient, url: str, clock: Clock) -> None:
        """Keep the URL of the list."""
        self._client = client
        self._url = url
        self._clock = clock

    async def read(self) -> ReplicaListSnapshot:
        """Return the complete list; raises `UpstreamError` on failure."""
        snapshot = ReplicaListSnapshot(requested_at_s=self._clock.monotonic_s())
        token = ''
        for _ in range(_PAGE_LIMIT):
            page = await self._read_page(token)
            entries = page.get('replicas') or ()
            if not isinstance(entries, list | tuple):
                raise InvalidResponseError('the replica list has no entries')
            for entry in entries:
                _append_replica(snapshot, entry)
            token = page.get('next') or ''
            if not token:
                return snapshot
        raise InvalidResponseError('the replica list exceeds the page limit')

    async def _read_page(self, token: str) -> Mapping[str, Any]:
        query = f'?page_token={quote(str(token), safe="")}' if token else ''
        response = await self._client.fetch(
            UpstreamCall(
                url=f'{self._url}{query}',
                method='GET',
                connect_timeout_s=_PAGE_TIMEOUT_S,
                first_byte_timeout_s=_PAGE_TIMEOUT_S,
                idle_timeout_s=_PAGE_TIMEOUT_S,
            )
        )
        if response.status != _OK_STATUS:
            raise StatusError(response.status, response.body, 0.0)
        page = parse_json_leniently(response.body)
        if not isinstance(page, dict):
            raise InvalidResponseError('the replica list is not a JSON object')
        return page


def parse_json_leniently(body: bytes) -> Any:
    """Parse JSON, tolerating invalid UTF-8 and values that can't be parsed.

    >>> parse_json_leniently(b'{"id": "a' + bytes([255]) + b'"}')['id'][0]
    'a'
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        text = body.decode('utf-8', errors='replace')
    try:
        return read_members(text)
    except ValueError as error:
        raise InvalidResponseError(
            f'the replica list is not JSON: {error}'
        ) from error


def _append_replica(snapshot: ReplicaListSnapshot, entry: Any) -> None:
    try:
        snapshot.replicas.append(parse_replica(entry))
    except (KeyError, TypeError, ValueError) as error:
        snapshot.invalid_entries.append(f'{type(error).__name__}: {error}')


def parse_replica(entry: Any) -> ListedReplica:
    """Return the replica that an entry of the list describes.

    Raises `KeyError`, `TypeError` or `ValueError` for an invalid entry.
    """
    if not isinstance(entry, Mapping):
        raise TypeError(f'found {_show(entry)}, allowed is an object')
    state = _read_text(entry, 'state')
    if state not in _STATES:
        raise ValueError(f'state: found {_show(state)}')
    address = _read_text(entry, 'address')
    if not _is_address(address):
        raise ValueError(f'address: found {_show(address)}')
    return ListedReplica(
        id=_read_id(entry),
        service=_read_text(entry, 'service'),
        address=address,
        data_centre=_read_text(entry, 'data_centre'),
        software=_read_text(entry, 'version'),
        slots=_read_number(entry, 'slots'),
        draining=state == 'draining',
        warm_up_left_ms=_read_number(entry, 'warm_up_left_ms'),
    )


def _is_address(address: str) -> bool:
    """Tell whether a text is a host and the number of a port.

    >>> [_is_address(one) for one in ('a:80', 'a:0', 'a:99999', ':80', 'a:٨')]
    [True, False, False, False, False]
    """
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal()
    if not host or not is_number or len(port) > _PORT_DIGITS:
        return False
    return host.isascii() and 0 < int(port) <= _LAST_PORT


def _read_id(entry: Mapping[str, Any]) -> str:
    """Return the id, which the replica compares with a header."""
    identity = _read_text(entry, 'id')
    if name_fault(identity):
        raise ValueError(f'id: found {_show(identity)}')
    return identity


def _read_text(entry: Mapping[str, Any], name: str) -> str:
    """Return a text; in headers and addresses it must be one line."""
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f'{name}: found {_show(value)}, allowed is a text')
    if not value.isprintable():
        raise ValueError(f'{name}: found {_show(value)}')
    return value


def _read_number(entry: Mapping[str, Any], name: str) -> int:
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'{name}: found {_show(value)}, allowed is a number')
    if not 0 <= value < (1 << _NUMBER_BITS):
        raise ValueError(f'{name}: found {_show(value)}, allowed is 0 or more')
    return int(value)


def _show(value: Any) -> str:
    """Return a value for a message, shortened: it may be nested deeply."""
    return reprlib.repr(value)


def make_replica_list(
    client: UpstreamClient, url: str, clock: Clock
) -> ReplicaListReader:
    """Return the reader of the list at a URL."""
    return HttpReplicaListReader(client, url, clock)
