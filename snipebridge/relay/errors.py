"""Errors of routed requests, with the status of their responses."""

from http import HTTPStatus

from snipebridge.errors import Ran, SnipebridgeError


class RelayError(SnipebridgeError):
    """A request that the system ends with a response of its own.

    A status of 408, 421, 429 or 503 promises that the request has not run
    and will not, so only errors with ``ran`` NO have one of them.
    """

    status = HTTPStatus.BAD_GATEWAY
    ran = Ran.UNKNOWN

    def __init__(self, message: str, retry_after_s: float = 0.0) -> None:
        """Set when to retry; 0 sends no Retry-After header."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class NotRunError(RelayError):
    """The request has not run and may be sent again."""

    code = 'unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    ran = Ran.NO


class UnknownRouteError(RelayError):
    """No route of the configuration matches."""

    code = 'no_route'
    status = HTTPStatus.NOT_FOUND
    ran = Ran.NO


class UnknownModelError(RelayError):
    """The route has models to choose from, and not the one that was named."""

    code = 'unknown_model'
    status = HTTPStatus.MISDIRECTED_REQUEST
    ran = Ran.NO


class UnknownKeyError(RelayError):
    """The key belongs to no account."""

    code = 'bad_key'
    status = HTTPStatus.UNAUTHORIZED
    ran = Ran.NO


class TooLargeError(RelayError):
    """The body is longer than the configuration allows."""

    code = 'body_too_large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    ran = Ran.NO


class UpstreamFailedError(RelayError):
    """No replica sent a response that may be passed on."""

    code = 'upstream_failed'


class TimedOutError(RelayError):
    """The timeout of the caller or of the route has passed."""

    code = 'deadline'
    status = HTTPStatus.GATEWAY_TIMEOUT
