"""Adapter to the platform's list of live and leaving hosts, which lags."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import orjson

from snipebridge.upstreams.client import UpstreamCall, UpstreamClient
from snipebridge.upstreams.errors import InvalidResponseError

_TIMEOUT_S = 2.0


@dataclass(slots=True)
class HostList:
    """One reading of the list: the state of each host by name."""

    sequence: int
    states: Mapping[str, str]


class HostDirectory(Protocol):
    """Where the list of hosts comes from."""

    async def read(self) -> HostList:
        """Return the list as it is published now."""


class HttpHostDirectory:
    """The list over HTTP."""

    __slots__ = ('_client', '_url')

    def __init__(self, client: UpstreamClient, url: str) -> None:
        """Keep where the list is published."""
        self._client = client
        self._url = url.rstrip('/')

    async def read(self) -> HostList:
        """Return the list as it is published now."""
        answer = await self._client.fetch(
            UpstreamCall(
                url=f'{self._url}/hosts',
                method='GET',
                connect_timeout_s=_TIMEOUT_S,
                first_byte_timeout_s=_TIMEOUT_S,
                idle_timeout_s=_TIMEOUT_S,
            ),
        )
        try:
            page = orjson.loads(answer.body)
            states = {host['name']: host['state'] for host in page['hosts']}
            return HostList(int(page['sequence']), states)
        except (ValueError, KeyError, TypeError) as error:
            raise InvalidResponseError('the host list is malformed') from error


def make_host_directory(
    client: UpstreamClient, url: str
) -> HostDirectory | None:
    """Return the adapter, or None where no list is set."""
    return HttpHostDirectory(client, url) if url else None
