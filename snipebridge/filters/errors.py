"""Errors that end a request, as the caller sees them."""

from snipebridge.errors import Ran, SnipebridgeError


class RequestError(SnipebridgeError):
    """A refusal or failure with its HTTP status and what is known of the run.

    ``retry_after_s`` tells the caller when to come back; 0 means that
    repeating the same request can't help.
    """

    status = 500
    code = 'internal'

    def __init__(
        self,
        message: str,
        ran: Ran = Ran.NO,
        retry_after_s: float = 0,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(message)
        self.ran = ran
        self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
    """The request is malformed."""

    status = 400
    code = 'bad_request'


class BodyTooLargeError(RequestError):
    """The body is larger than the listener allows."""

    status = 413
    code = 'body_too_large'


class UnauthorizedError(RequestError):
    """The key is missing or wrong."""

    status = 401
    code = 'unauthorized'


class ForbiddenError(RequestError):
    """The client account may not use what it asked for."""

    status = 403
    code = 'forbidden'


class NotFoundError(RequestError):
    """The model or service does not exist."""

    status = 404
    code = 'not_found'


class KeyReusedError(RequestError):
    """The idempotency key was used for another request."""

    status = 409
    code = 'idempotency_key_reused'


class InProgressError(RequestError):
    """A request of this idempotency key runs, or its outcome is unknown."""

    status = 409
    code = 'outcome_unknown'


class ResponseNotStoredError(RequestError):
    """The request of this idempotency key ran; its answer is gone."""

    status = 409
    code = 'answer_not_kept'


class OverloadedError(RequestError):
    """There is no room for the request in time."""

    status = 429
    code = 'overloaded'


class UnavailableError(RequestError):
    """Nothing can serve the request now."""

    status = 503
    code = 'unavailable'


class VersionUnavailableError(UnavailableError):
    """The chosen version can't serve, though another one may."""

    code = 'version_unavailable'


class NoLeaseError(RequestError):
    """The entry has lost touch with control and gives out no work."""

    status = 503
    code = 'no_lease'


class UpstreamFailedError(RequestError):
    """The upstream failed after the request was sent."""

    status = 502
    code = 'upstream_failed'


class DeadlineError(RequestError):
    """The deadline can't be met."""

    status = 504
    code = 'deadline'


class BillingError(RequestError):
    """The answer is whole, but its bill could not be made durable in time."""

    status = 503
    code = 'billing_unavailable'
