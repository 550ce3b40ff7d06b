"""Reads the platform's paginated list of replicas.

``GET <url>?page_token=<token>`` returns ``replicas`` and ``next``, the token
of the next page, null on the last. An entry that lacks a field, or has one of
a wrong type or an unknown state, is skipped and reported.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import quote

import orjson

from snipebridge.clock import Clock
from snipebridge.rpc.control_pb2 import ListedReplica
from snipebridge.upstreams.client import UpstreamCall, UpstreamClient
from snipebridge.upstreams.errors import InvalidResponseError, StatusError

# A page takes a few milliseconds; a failed read is repeated at the next poll.
_PAGE_TIMEOUT_S = 1.0
# Far more pages than any list has; ends a read whose pages form a cycle.
_PAGE_LIMIT = 200
_OK_STATUS = 200
_STATES = frozenset(('ready', 'draining'))
# Width of the protobuf fields that carry the numbers to entry processes.
_NUMBER_BITS = 32


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
            for entry in page.get('replicas') or ():
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
    """Parse JSON, tolerating invalid UTF-8 and control characters in strings.

    >>> parse_json_leniently(b'{"id": "a' + bytes([255]) + b'"}')['id'][0]
    'a'
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        text = body.decode('utf-8', errors='replace')
    try:
        return json.loads(text, strict=False)
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
    state = entry['state']
    if state not in _STATES:
        raise ValueError(f'state: found {state!r}')
    address = _read_text(entry, 'address')
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'address: found {address!r}')
    return ListedReplica(
        id=_read_text(entry, 'id'),
        service=_read_text(entry, 'service'),
        address=address,
        data_centre=_read_text(entry, 'data_centre'),
        software=_read_text(entry, 'version'),
        slots=_read_number(entry, 'slots'),
        draining=state == 'draining',
        warm_up_left_ms=_read_number(entry, 'warm_up_left_ms'),
    )


def _read_text(entry: Mapping[str, Any], name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f'{name}: found {value!r}, allowed is a text')
    return value


def _read_number(entry: Mapping[str, Any], name: str) -> int:
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'{name}: found {value!r}, allowed is a number')
    if not 0 <= value < (1 << _NUMBER_BITS):
        raise ValueError(f'{name}: found {value!r}, allowed is 0 or more')
    return int(value)


def make_replica_list(
    client: UpstreamClient, url: str, clock: Clock
) -> ReplicaListReader:
    """Return the reader of the list at a URL."""
    return HttpReplicaListReader(client, url, clock)
