"""Adapter to the platform's host list, which lags behind the real states."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import orjson

from snipebridge.upstreams.client import UpstreamCall, UpstreamClient
from snipebridge.upstreams.errors import InvalidResponseError

_TIMEOUT_S = 2.0


@dataclass(slots=True)
class HostList:
    """Snapshot of the list: the state of each host by name."""

    sequence: int
    states: Mapping[str, str]


class HostDirectory(Protocol):
    """Source of the host list."""

    async def read(self) -> HostList:
        """Return the currently published list."""


class HttpHostDirectory:
    """Host directory over HTTP."""

    __slots__ = ('_client', '_url')

    def __init__(self, client: UpstreamClient, url: str) -> None:
        """Keep the client and the base URL of the list."""
        self._client = client
        self._url = url.rstrip('/')

    async def read(self) -> HostList:
        """Return the currently published list."""
        response = await self._client.fetch(
            UpstreamCall(
                url=f'{self._url}/hosts',
                method='GET',
                connect_timeout_s=_TIMEOUT_S,
                first_byte_timeout_s=_TIMEOUT_S,
                idle_timeout_s=_TIMEOUT_S,
            ),
        )
        try:
            document = orjson.loads(response.body)
            states = {host['name']: host['state'] for host in document['hosts']}
            return HostList(int(document['sequence']), states)
        except (ValueError, KeyError, TypeError) as error:
            raise InvalidResponseError('the host list is malformed') from error


def make_host_directory(
    client: UpstreamClient, url: str
) -> HostDirectory | None:
    """Return the adapter, or None if no URL is configured."""
    return HttpHostDirectory(client, url) if url else None
