"""What the choice of a replica reads and returns."""

from dataclasses import dataclass

from snipebridge.policy.health import UpstreamState
from snipebridge.policy.prefixes import Prefix


@dataclass(slots=True, frozen=True)
class ReplicaView:
    """A replica as the configuration describes it."""

    name: str
    data_centre: str
    pool: str
    versions: frozenset[str]
    slots: int
    state: UpstreamState = UpstreamState.LIVE


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that a replica reported `age_s` after it was measured."""

    running: int
    waiting: int
    slots: int
    age_s: float


@dataclass(slots=True, frozen=True)
class ReplicaRequest:
    """What the choice has to know of a request.

    An empty version fits each replica of the pool, as for plain services.
    """

    version: str
    prompt_tokens: int = 0
    prefixes: tuple[Prefix, ...] = ()
    priority: int = 1
    excluded: frozenset[str] = frozenset()
    pool: str = ''


@dataclass(slots=True)
class WaitEstimate:
    """A candidate and the wait that was expected of it."""

    name: str
    expected_wait_s: float
    prefill_tokens: int


@dataclass(slots=True, frozen=True)
class ReplicaDecision:
    """The chosen replica, why, and what it was weighed against."""

    name: str
    reason: str
    weighed: tuple[WaitEstimate, ...] = ()
    prefill_tokens: int = 0


@dataclass(slots=True, frozen=True)
class NoReplica:
    """No replica may take the request now."""

    reason: str
    retry_after_s: float
