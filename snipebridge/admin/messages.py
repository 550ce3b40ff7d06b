"""Requests and answers of the operators' interface, free of transport.

A control process that does not lead passes a request on to the leader, so
both travel as JSON between control processes too.
"""

from dataclasses import dataclass, field
from http import HTTPStatus

import orjson

from snipebridge.errors import Ran, SnipebridgeError

JSON_TYPE = 'application/json'
JSON_LINES_TYPE = 'application/jsonl'


@dataclass(slots=True)
class AdminRequest:
    """What an operator asks."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    authorization: str = ''
    if_match: str = ''
    idempotency_key: str = ''
    body: str = ''


@dataclass(slots=True)
class AdminResponse:
    """What an operator is told."""

    status: int
    body: str
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(default_factory=dict)


class AdminError(SnipebridgeError):
    """A request that is refused, with the HTTP status that says so."""

    def __init__(
        self,
        status: HTTPStatus,
        code: str,
        message: str,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
        **details,
    ) -> None:
        """Keep what the operator is told; details join the error object."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.details = details

    def response(self) -> AdminResponse:
        """Return the answer that tells the error."""
        error = {
            'code': self.code,
            'message': self.message,
            'ran': self.ran.value,
            'retry_after_s': self.retry_after_s,
            **self.details,
        }
        response = json_response({'error': error}, self.status)
        if self.retry_after_s is not None:
            response.headers['Retry-After'] = str(round(self.retry_after_s))
        return response


def json_response(
    document, status: HTTPStatus = HTTPStatus.OK
) -> AdminResponse:
    """Return a JSON answer.

    >>> json_response({'number': 1}).body
    '{"number":1}'
    """
    return AdminResponse(int(status), orjson.dumps(document).decode())
