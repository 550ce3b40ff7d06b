"""Entry hosts that belong to the system.

An entry is a member from its first heartbeat until it has left for good;
until then the configuration is in force only when the entry has it or its
lease is over.
"""

from dataclasses import asdict, dataclass

from snipebridge.controllers.results import accepted, duplicate, invalid
from snipebridge.rpc.commands_pb2 import CommandResult, EntryCommand


@dataclass(slots=True)
class EntryHost:
    """One entry host and where other entries reach it."""

    name: str
    data_centre: str
    address: str


class EntryMembers:
    """Replicated state: the registered entry hosts by name.

    >>> members = EntryMembers()
    >>> members.apply(EntryCommand(name='e1')).code == CommandResult.OK
    True
    >>> sorted(members.hosts)
    ['e1']
    """

    __slots__ = ('hosts',)

    def __init__(self) -> None:
        """Start without an entry."""
        self.hosts: dict[str, EntryHost] = {}

    def apply(self, command: EntryCommand) -> CommandResult:
        """Register an entry, change its address, or take it out."""
        if not command.name:
            return invalid('an entry needs a name')
        if command.left:
            removed = self.hosts.pop(command.name, None)
            return duplicate() if removed is None else accepted()
        host = EntryHost(command.name, command.data_centre, command.address)
        if self.hosts.get(command.name) == host:
            return duplicate()
        self.hosts[command.name] = host
        return accepted()

    def dump(self) -> list:
        """Return the state as JSON types."""
        return [asdict(host) for _, host in sorted(self.hosts.items())]

    def load(self, state: list) -> None:
        """Replace the state by a dumped one."""
        self.hosts = {host['name']: EntryHost(**host) for host in state}
