"""The routing configuration in force.

>>> routings = RoutingState()
>>> routings.apply(RoutingCommand(version=7, document=b'{}')).number
7
>>> routings.apply(RoutingCommand(version=3, document=b'{}')).number
7
"""

import base64

from snipebridge.controllers.results import accepted, duplicate
from snipebridge.rpc.commands_pb2 import CommandResult, RoutingCommand


class RoutingState:
    """Replicated state: the document with the highest version.

    A document whose version is not higher is acknowledged and ignored, so a
    late or repeated command never replaces a newer document.
    """

    __slots__ = ('document', 'version')

    def __init__(self) -> None:
        """Start without a document, at version 0."""
        self.version = 0
        self.document = b''

    def apply(self, command: RoutingCommand) -> CommandResult:
        """Store a document unless the current one is as new or newer."""
        if command.version <= self.version:
            return duplicate(number=self.version)
        self.version = command.version
        self.document = command.document
        return accepted(number=self.version)

    def dump(self) -> list:
        """Return the state as JSON types."""
        return [self.version, base64.b64encode(self.document).decode()]

    def load(self, state: list) -> None:
        """Replace the state with a dumped one."""
        self.version, document = state
        self.document = base64.b64decode(document)
