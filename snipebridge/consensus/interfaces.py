"""What the replicated log asks of a state machine and offers to the rest."""

from collections.abc import Sequence
from typing import Protocol

from snipebridge.rpc.commands_pb2 import Command, CommandResult
from snipebridge.rpc.consensus_pb2 import Member


class StateMachine(Protocol):
    """Deterministic state that the log drives.

    It does no I/O and reads no clock: the same commands in the same order
    give the same state on each replica.
    """

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply one committed command."""

    def snapshot(self) -> bytes:
        """Serialise the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by a serialised one."""


class Replica(Protocol):
    """One member of the replicated log, as the rest of control sees it."""

    name: str
    machine: StateMachine

    async def start(self) -> None:
        """Recover from the data folder and take part."""

    async def stop(self) -> None:
        """Stop; a leader hands leadership over first where it can."""

    async def hand_over(self) -> None:
        """Leave the lead to another member where there is one to take it."""

    def is_leader(self) -> bool:
        """Tell whether the leader lease of this replica is valid now."""

    def term(self) -> int:
        """Return the current term."""

    def leader_address(self) -> str:
        """Return host:port of the leader, empty when unknown."""

    async def submit(self, commands: Sequence[Command]) -> list[CommandResult]:
        """Append commands; return once durable on a quorum and applied.

        Raises `NotLeaderError` when nothing was appended and
        `OutcomeUnknownError` when leadership was lost meanwhile.
        """

    async def read_barrier(self) -> None:
        """Return once the machine reflects all that was acknowledged.

        Raises `NotLeaderError` on a replica that can't confirm leadership.
        """

    def members(self) -> Sequence[Member]:
        """Return the members of the log as of the applied state."""

    def hears(self, member: Member) -> bool:
        """Tell whether a member's data folder answered this leader lately."""

    def is_refused_by(self, name: str) -> bool:
        """Tell whether nothing listens at a member's address any more."""

    def is_caught_up(self, member: Member) -> bool:
        """Tell whether a member holds all that is committed, and lives."""

    async def change_member(self, member: Member, *, remove: bool) -> None:
        """Add, promote or remove one member; one change at a time."""
