"""Reading the platform's list of replicas, page by page.

``GET <url>?page_token=<token>`` returns ``replicas`` and ``next``, the token
of the following page, null on the last. An entry that lacks a field, or has
one of a wrong type or an unknown state, is skipped and reported.
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

# One page takes some milliseconds; a list that does not come is read again.
_PAGE_TIMEOUT_S = 1.0
# Far above any list: ends the reading of pages that lead in a circle.
_PAGES_LIMIT = 200
_OK_STATUS = 200
_STATES = frozenset(('ready', 'draining'))
# Lists travel to entries in fields of this width.
_NUMBER_BITS = 32


@dataclass(slots=True)
class ReplicaListSnapshot:
    """The list as of a moment of the steady clock."""

    requested_at_s: float
    replicas: list[ListedReplica] = field(default_factory=list)
    # What is wrong with the entries that were left out.
    invalid_entries: list[str] = field(default_factory=list)


class ReplicaListReader(Protocol):
    """Where the replicas of all services are learned."""

    async def read(self) -> ReplicaListSnapshot:
        """Return the whole list; raises `UpstreamError` without one."""


class HttpReplicaListReader:
    """The list over HTTP."""

    __slots__ = ('_client', '_clock', '_url')

    def __init__(self, client: UpstreamClient, url: str, clock: Clock) -> None:
        """Keep where the list is."""
        self._client = client
        self._url = url
        self._clock = clock

    async def read(self) -> ReplicaListSnapshot:
        """Return the whole list; raises `UpstreamError` without one."""
        found = ReplicaListSnapshot(requested_at_s=self._clock.monotonic_s())
        token = ''
        for _ in range(_PAGES_LIMIT):
            page = await self._read_page(token)
            for entry in page.get('replicas') or ():
                _add_entry(found, entry)
            token = page.get('next') or ''
            if not token:
                return found
        raise InvalidResponseError('the pages of the list have no end')

    async def _read_page(self, token: str) -> Mapping[str, Any]:
        query = f'?page_token={quote(str(token), safe="")}' if token else ''
        answer = await self._client.fetch(
            UpstreamCall(
                url=f'{self._url}{query}',
                method='GET',
                connect_timeout_s=_PAGE_TIMEOUT_S,
                first_byte_timeout_s=_PAGE_TIMEOUT_S,
                idle_timeout_s=_PAGE_TIMEOUT_S,
            )
        )
        if answer.status != _OK_STATUS:
            raise StatusError(answer.status, answer.body, 0.0)
        page = parse_json_leniently(answer.body)
        if not isinstance(page, dict):
            raise InvalidResponseError('the list is not a JSON object')
        return page


def parse_json_leniently(body: bytes) -> Any:
    """Return JSON, also where one text in it is not valid UTF-8.

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
        raise InvalidResponseError(f'not JSON: {error}') from error


def _add_entry(found: ReplicaListSnapshot, entry: Any) -> None:
    try:
        found.replicas.append(parse_replica(entry))
    except (KeyError, TypeError, ValueError) as error:
        found.invalid_entries.append(f'{type(error).__name__}: {error}')


def parse_replica(entry: Any) -> ListedReplica:
    """Return one replica of the list.

    Raises `KeyError`, `TypeError` or `ValueError` for an invalid entry.
    """
    state = entry['state']
    if state not in _STATES:
        raise ValueError(f'state: found {state!r}')
    address = _text(entry, 'address')
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'address: found {address!r}')
    return ListedReplica(
        id=_text(entry, 'id'),
        service=_text(entry, 'service'),
        address=address,
        data_centre=_text(entry, 'data_centre'),
        software=_text(entry, 'version'),
        slots=_number(entry, 'slots'),
        draining=state == 'draining',
        warm_up_left_ms=_number(entry, 'warm_up_left_ms'),
    )


def _text(entry: Mapping[str, Any], name: str) -> str:
    found = entry[name]
    if not isinstance(found, str) or not found:
        raise TypeError(f'{name}: found {found!r}, allowed is a text')
    return found


def _number(entry: Mapping[str, Any], name: str) -> int:
    found = entry[name]
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{name}: found {found!r}, allowed is a number')
    if not 0 <= found < (1 << _NUMBER_BITS):
        raise ValueError(f'{name}: found {found!r}, allowed is 0 or more')
    return int(found)


def make_replica_list(
    client: UpstreamClient, url: str, clock: Clock
) -> ReplicaListReader:
    """Return the reader of the list at an address."""
    return HttpReplicaListReader(client, url, clock)
