"""Adapter to plain services, called with any method and path."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from snipebridge.upstreams.client import (
    UpstreamCall,
    UpstreamClient,
    UpstreamResponse,
)
from snipebridge.upstreams.errors import InvalidResponseError

_REQUEST_ID_HEADER = 'X-Request-Id'


@dataclass(slots=True)
class ServiceCall:
    """One call of a plain service."""

    url: str
    request_id: str
    method: str
    headers: Mapping[str, str]
    body: bytes
    connect_timeout_s: float
    first_byte_timeout_s: float
    idle_timeout_s: float


class Service(Protocol):
    """A plain service."""

    async def call(self, call: ServiceCall) -> UpstreamResponse:
        """Make the call once and return the response of any status."""


class HttpService:
    """Plain service over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, client: UpstreamClient) -> None:
        """Keep the client that makes the calls."""
        self._client = client

    async def call(self, call: ServiceCall) -> UpstreamResponse:
        """Make the call once and return the response of any status."""
        response = await self._client.fetch(
            UpstreamCall(
                url=call.url,
                method=call.method,
                headers={
                    **call.headers,
                    _REQUEST_ID_HEADER: call.request_id,
                },
                body=call.body,
                connect_timeout_s=call.connect_timeout_s,
                first_byte_timeout_s=call.first_byte_timeout_s,
                idle_timeout_s=call.idle_timeout_s,
            ),
        )
        echoed_id = response.headers.get(_REQUEST_ID_HEADER, call.request_id)
        if echoed_id != call.request_id:
            raise InvalidResponseError(
                'the response has the id of another request'
            )
        return response


def make_service(client: UpstreamClient) -> Service:
    """Return the adapter for plain services over HTTP."""
    return HttpService(client)
