"""The registry of entry hosts.

An entry is a member from its first heartbeat until it has left the system.
A configuration number is in force only once each member uses it or has no
valid lease.
"""

from dataclasses import asdict, dataclass

from snipebridge.controllers.results import accepted, duplicate, invalid
from snipebridge.rpc.commands_pb2 import CommandResult, EntryCommand


@dataclass(slots=True)
class EntryHost:
    """One entry host and its address for other entries."""

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
        """Start without members."""
        self.hosts: dict[str, EntryHost] = {}

    def apply(self, command: EntryCommand) -> CommandResult:
        """Register an entry, change its address or remove it."""
        if not command.name:
            return invalid('an entry requires a name')
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
        """Replace the state with a dumped one."""
        self.hosts = {host['name']: EntryHost(**host) for host in state}
