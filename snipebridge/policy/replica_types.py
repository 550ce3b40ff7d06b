"""Input and output types of the replica selection."""

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
    """Load of a replica, measured `age_s` before the report."""

    running: int
    waiting: int
    slots: int
    age_s: float


@dataclass(slots=True, frozen=True)
class ReplicaRequest:
    """Properties of a request that replica selection depends on.

    An empty version, as requests of plain services have it, matches any
    replica of the pool.
    """

    version: str
    prompt_tokens: int = 0
    prefixes: tuple[Prefix, ...] = ()
    priority: int = 1
    excluded: frozenset[str] = frozenset()
    pool: str = ''


@dataclass(slots=True)
class WaitEstimate:
    """A compared candidate and its expected wait."""

    name: str
    expected_wait_s: float
    prefill_tokens: int


@dataclass(slots=True, frozen=True)
class ReplicaDecision:
    """The chosen replica, the reason and the compared candidates."""

    name: str
    reason: str
    weighed: tuple[WaitEstimate, ...] = ()
    prefill_tokens: int = 0


@dataclass(slots=True, frozen=True)
class NoReplica:
    """No replica is available for the request now."""

    reason: str
    retry_after_s: float
