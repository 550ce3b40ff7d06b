"""Errors of the adapters to outside systems."""

from snipebridge.errors import Ran, SnipebridgeError


class UpstreamError(SnipebridgeError):
    """An outside system could not be used.

    ``ran`` is `Ran.NO` only when the request certainly did not run there.
    """

    code = 'upstream'
    ran = Ran.UNKNOWN


class ConnectError(UpstreamError):
    """No connection could be made, so nothing was sent."""

    code = 'upstream_connect'
    ran = Ran.NO


class ResponseTimeoutError(UpstreamError):
    """The upstream said nothing for longer than allowed."""

    code = 'upstream_silent'


class InvalidResponseError(UpstreamError):
    """The answer ended early, or belongs to another request."""

    code = 'upstream_broken_answer'


class StatusError(UpstreamError):
    """The upstream answered with a status that is an error."""

    code = 'upstream_status'

    def __init__(self, status: int, body: bytes, retry_after_s: float) -> None:
        """Keep what the upstream answered."""
        super().__init__(f'the upstream answered {status}')
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s
