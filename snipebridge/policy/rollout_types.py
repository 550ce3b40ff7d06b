"""Messages between control and entries about roll-outs."""

import enum
from dataclasses import dataclass, field

from snipebridge.policy.evidence import OutcomeSums


@enum.unique
class RolloutAction(enum.StrEnum):
    """Action on a roll-out."""

    ADVANCE = 'advance'
    HOLD = 'hold'
    STOP = 'stop'
    COMPLETE = 'complete'


@dataclass(slots=True)
class RolloutDecision:
    """An action and its reason, for the log and the operators."""

    action: RolloutAction
    reason: str
    stage: int


@dataclass(slots=True)
class Grant:
    """Permission for an entry to send requests to a version under roll-out.

    ``requests`` is the total that the entry may send under this ``grant_id``,
    including those already sent, which makes lost and duplicate grants
    harmless. A new ``grant_id`` replaces the old grant and restarts the count.
    """

    entry: str
    version: str
    grant_id: int
    requests: int
    valid_s: float
    share: float


@dataclass(slots=True)
class RolloutPair:
    """A version under roll-out and the stable version it may replace."""

    version: str
    stable: str


@dataclass(slots=True)
class RequestOutcome:
    """Outcome of one request, at its end or on the arrival of its rating.

    ``ended`` is False for a rating, which arrives after the end.
    """

    ended: bool = True
    error: bool = False
    good: bool | None = None
    first_token_s: float | None = None


@dataclass(slots=True)
class VersionReport:
    """Outcomes of one version since the last report of an entry."""

    version: str
    sums: OutcomeSums = field(default_factory=OutcomeSums)
    stopped: bool = False
