"""Errors that end a request and are reported to the caller."""

from snipebridge.errors import Ran, SnipebridgeError


class RequestError(SnipebridgeError):
    """A refusal or failure with its HTTP status.

    ``ran`` tells whether the request may have run. ``retry_after_s`` tells
    the caller when to retry; 0 means that a retry cannot succeed.
    """

    status = 500
    code = 'internal'

    def __init__(
        self,
        message: str,
        ran: Ran = Ran.NO,
        retry_after_s: float = 0,
    ) -> None:
        """Keep the details that are reported to the caller."""
        super().__init__(message)
        self.ran = ran
        self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
    """The request is malformed."""

    status = 400
    code = 'bad_request'


class BodyTooLargeError(RequestError):
    """The body exceeds the size limit of the listener."""

    status = 413
    code = 'body_too_large'


class UnauthorizedError(RequestError):
    """The key is missing or wrong."""

    status = 401
    code = 'unauthorized'


class ForbiddenError(RequestError):
    """The client account may not use the requested model or service."""

    status = 403
    code = 'forbidden'


class NotFoundError(RequestError):
    """The model or service does not exist."""

    status = 404
    code = 'not_found'


class KeyReusedError(RequestError):
    """The idempotency key was used for a different request or has expired."""

    status = 409
    code = 'idempotency_key_reused'


class InProgressError(RequestError):
    """A request with this key is in progress, or its outcome is unknown."""

    status = 409
    code = 'outcome_unknown'


class ResponseNotStoredError(RequestError):
    """The request with this key ran, but its response is not stored."""

    status = 409
    code = 'answer_not_kept'


class OverloadedError(RequestError):
    """There is no capacity for the request in time."""

    status = 429
    code = 'overloaded'


class UnavailableError(RequestError):
    """No replica can serve the request now."""

    status = 503
    code = 'unavailable'


class VersionUnavailableError(UnavailableError):
    """The chosen version cannot serve the request; another one may."""

    code = 'version_unavailable'


class NoLeaseError(RequestError):
    """The entry's lease has expired, so it dispatches no requests."""

    status = 503
    code = 'no_lease'


class UpstreamFailedError(RequestError):
    """The upstream failed after the request was sent."""

    status = 502
    code = 'upstream_failed'


class DeadlineError(RequestError):
    """The deadline has passed or cannot be met."""

    status = 504
    code = 'deadline'


class BillingError(RequestError):
    """The bill or the outcome of the request was not recorded in time."""

    status = 503
    code = 'billing_unavailable'
