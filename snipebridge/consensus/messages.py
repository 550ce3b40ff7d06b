"""Typed values that go into and out of the consensus core."""

import enum
from dataclasses import dataclass, field

from snipebridge.rpc.consensus_pb2 import (
    Envelope,
    HardState,
    LogEntry,
    Membership,
)

LEASE_FRACTION = 0.9
"""Share of the election timeout that a leader lease lasts.

The rest is the bound on how much faster one clock may run than another.
"""


@enum.unique
class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(slots=True, frozen=True)
class Timing:
    """Periods of the core."""

    election_timeout_s: float = 1.0
    heartbeat_interval_s: float = 0.15

    @property
    def lease_s(self) -> float:
        """Return how long a lease lasts after its round was sent."""
        return self.election_timeout_s * LEASE_FRACTION


@dataclass(slots=True, frozen=True)
class Snapshot:
    """State of the machine and the membership as of one log index."""

    last_index: int
    last_term: int
    membership: Membership
    content: bytes


@dataclass(slots=True)
class Recovered:
    """What a data folder holds when a replica starts.

    The entries follow the position `start_index`, `start_term`.
    """

    identity: str
    hard_state: HardState
    snapshot: Snapshot | None = None
    start_index: int = 0
    start_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def is_blank(self) -> bool:
        """Tell whether the folder has never taken part in a term."""
        return not (self.hard_state.term or self.snapshot or self.entries)


@dataclass(slots=True, frozen=True)
class LogBatch:
    """Entries to sync, and the position that they follow."""

    previous_index: int
    previous_term: int
    entries: list[LogEntry]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.previous_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.previous_term


@dataclass(slots=True, frozen=True)
class ReadGrant:
    """The answer to a read: where the machine must stand, or a refusal."""

    request: int
    index: int
    granted: bool


@dataclass(slots=True)
class Ready:
    """What the core asks of its driver, in the order of the fields.

    Early messages may leave before the sync. The hard state, the snapshot to
    install and the batch are synced next; then the messages leave, the
    machine takes the snapshot and the committed entries, and the reads are
    answered.
    """

    early_messages: list[Envelope]
    hard_state: HardState | None
    snapshot: Snapshot | None
    batch: LogBatch
    messages: list[Envelope]
    committed: list[LogEntry]
    reads: list[ReadGrant]

    @property
    def needs_sync(self) -> bool:
        """Tell whether anything has to reach the disk."""
        return bool(self.hard_state or self.snapshot or self.batch.entries)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to do."""
        sends = self.early_messages or self.messages
        return not (sends or self.needs_sync or self.committed or self.reads)
