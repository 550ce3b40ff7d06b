"""A log of one member in memory, for tests of what is built on a replica."""

from collections.abc import Sequence

from snipebridge.consensus.errors import NotLeaderError, OutcomeUnknownError
from snipebridge.consensus.interfaces import StateMachine
from snipebridge.rpc.commands_pb2 import Command, CommandResult
from snipebridge.rpc.consensus_pb2 import Member


class MemoryReplica:
    """Applies what is submitted at once; a test may take its lead away."""

    def __init__(self, machine: StateMachine, name: str = 'c1') -> None:
        """Lead from the start."""
        self.name = name
        self.machine = machine
        self.leads = True
        self.address = ''
        self.loses_acknowledgement = False
        self.now_ms = 1_000_000
        self.log: list[Command] = []
        self.changes: list[tuple[str, bool, bool]] = []
        self._term = 1

    async def start(self) -> None:
        """There is nothing to recover."""

    async def stop(self) -> None:
        """Give the lead up."""
        self.leads = False

    def add_to_server(self, server) -> None:
        """A single member has no peers to answer."""

    async def hand_over(self) -> None:
        """There is no other member."""

    def hears(self, member: Member) -> bool:
        """The only member hears itself."""
        return True

    def is_refused_by(self, name: str) -> bool:
        """The only member reaches itself."""
        return False

    def is_caught_up(self, member: Member) -> bool:
        """The only member holds its own log."""
        return True

    def is_leader(self) -> bool:
        """Tell what the test set."""
        return self.leads

    def term(self) -> int:
        """Return the term that the test set."""
        return self._term

    def next_term(self) -> None:
        """Act as a newly elected leader."""
        self._term += 1

    def leader_address(self) -> str:
        """Return the address that the test set."""
        return self.address

    async def submit(self, commands: Sequence[Command]) -> list[CommandResult]:
        """Apply the commands, or fail as the test asks."""
        if not self.leads:
            raise NotLeaderError('other', self.address)
        applied = [self._apply(command) for command in commands]
        if self.loses_acknowledgement:
            raise OutcomeUnknownError('the lead was lost')
        return applied

    async def read_barrier(self) -> None:
        """Confirm the lead."""
        if not self.leads:
            raise NotLeaderError('other', self.address)

    def members(self) -> Sequence[Member]:
        """Return the only member."""
        return [Member(name=self.name, voter=True)]

    async def change_member(self, member: Member, *, remove: bool) -> None:
        """Note the change."""
        self.changes.append((member.name, member.voter, remove))

    def _apply(self, command: Command) -> CommandResult:
        stamped = Command()
        stamped.CopyFrom(command)
        stamped.proposed_at_ms = self.now_ms
        self.log.append(stamped)
        return self.machine.apply(len(self.log), stamped)
