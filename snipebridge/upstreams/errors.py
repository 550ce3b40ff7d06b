"""Errors of the adapters to external systems."""

from snipebridge.errors import Ran, SnipebridgeError


class UpstreamError(SnipebridgeError):
    """A call to an external system failed.

    ``ran`` is `Ran.NO` only if the request certainly did not run there.
    """

    code = 'upstream'
    ran = Ran.UNKNOWN


class ConnectError(UpstreamError):
    """No connection was established, so nothing was sent."""

    code = 'upstream_connect'
    ran = Ran.NO


class InvalidHeadError(ConnectError):
    """The head of the request can't be written, so nothing was sent."""

    code = 'upstream_head'


class RefusedError(ConnectError):
    """The connection was refused: nothing listens at the address."""


class HelperError(ConnectError):
    """Another entry could not tell whether it reaches a replica."""

    code = 'upstream_helper'


class ResponseTimeoutError(UpstreamError):
    """The upstream sent nothing within the time limit."""

    code = 'upstream_silent'


class InvalidResponseError(UpstreamError):
    """The response is truncated, malformed or of another request."""

    code = 'upstream_broken_answer'


class StatusError(UpstreamError):
    """The upstream responded with an error status."""

    code = 'upstream_status'

    def __init__(self, status: int, body: bytes, retry_after_s: float) -> None:
        """Keep status, body and retry delay of the response."""
        super().__init__(f'the upstream responded with status {status}')
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s
