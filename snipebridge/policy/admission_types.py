"""Requests to and results of admission control."""

import enum
from dataclasses import dataclass


@enum.unique
class RefusalReason(enum.StrEnum):
    """Reason for which a request is not admitted."""

    DEADLINE = 'deadline'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    QUEUE_FULL = 'queue_full'
    WAITED_TOO_LONG = 'waited_too_long'


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """Properties of a request that decide on its admission.

    Priority 0 is the highest. `deadline_s` is an absolute time on the clock
    of `now_s`, `expected_s` the expected duration once the request is
    admitted, and `cost` what the account is charged for it in fair queueing.
    """

    account: str
    weight: float
    pool: str
    priority: int = 1
    deadline_s: float | None = None
    expected_s: float = 0.0
    cost: float = 1.0


@dataclass(slots=True, frozen=True)
class Admitted:
    """The request may run; its ticket has to be released at its end."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Queued:
    """The request is queued until it is admitted, refused or cancelled."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Refused:
    """The request is refused; no part of it ran.

    The ticket is 0 for a request that was never queued.
    """

    reason: RefusalReason
    retry_after_s: float
    ticket: int = 0
