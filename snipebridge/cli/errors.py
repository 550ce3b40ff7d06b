"""Errors of the command line."""

from snipebridge.errors import SnipebridgeError
from snipebridge.exits import ExitStatus


class CommandError(SnipebridgeError):
    """A command that failed, with the exit code it ends with."""

    code = 'command'

    def __init__(self, message: str, exit_status: ExitStatus) -> None:
        """Keep the message for people and the code for the shell."""
        super().__init__(message)
        self.exit_status = exit_status
