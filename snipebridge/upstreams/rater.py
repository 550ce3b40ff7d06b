"""Adapter to the rating service for answers."""

from dataclasses import dataclass
from typing import Protocol

import orjson

from snipebridge.upstreams.client import UpstreamCall, UpstreamClient
from snipebridge.upstreams.errors import InvalidResponseError, StatusError

_OK = 200
_CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class RatingRequest:
    """An answer to be rated."""

    request_id: str
    version: str
    task: str
    prompt: str
    answer: str


class Rater(Protocol):
    """A service that scores answers from 0 to 1."""

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        """Return the score of an answer."""


class HttpRater:
    """Rating service over HTTP."""

    __slots__ = ('_client', '_url')

    def __init__(self, client: UpstreamClient, url: str) -> None:
        """Keep the client and the base URL of the service."""
        self._client = client
        self._url = url.rstrip('/')

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        """Return the score of an answer."""
        fields = {
            'request_id': request.request_id,
            'version': request.version,
            'task': request.task,
            'prompt': request.prompt,
            'answer': request.answer,
        }
        response = await self._client.fetch(
            UpstreamCall(
                url=f'{self._url}/rate',
                method='POST',
                headers={'Content-Type': 'application/json'},
                body=orjson.dumps(fields),
                connect_timeout_s=min(_CONNECT_TIMEOUT_S, timeout_s),
                first_byte_timeout_s=timeout_s,
                idle_timeout_s=timeout_s,
            ),
        )
        if response.status != _OK:
            raise StatusError(response.status, response.body, 0)
        return _read_score(response.body, request.request_id)


def make_rater(client: UpstreamClient, url: str) -> Rater | None:
    """Return the adapter, or None if no URL is configured."""
    return HttpRater(client, url) if url else None


def _read_score(body: bytes, request_id: str) -> float:
    try:
        rating = orjson.loads(body)
        score = float(rating['score'])
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidResponseError('the rating has no numeric score') from error
    if rating.get('request_id') != request_id:
        raise InvalidResponseError('the rating has the id of another request')
    return min(1.0, max(0.0, score))
