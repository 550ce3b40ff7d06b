"""Creates and classifies command results.

>>> is_key_reuse(key_reuse('k', number=3))
True
"""

from snipebridge.rpc.commands_pb2 import CommandResult

# Matched by `is_key_reuse`, also in results from other processes.
_KEY_REUSE = 'the key was used before with another content'


def accepted(**fields) -> CommandResult:
    """Return the result of a command that was applied."""
    return CommandResult(code=CommandResult.OK, **fields)


def duplicate(**fields) -> CommandResult:
    """Return the result of a repeated command, which changed nothing."""
    return CommandResult(code=CommandResult.DUPLICATE, **fields)


def conflict(message: str, **fields) -> CommandResult:
    """Return the result of a command that conflicts with another one."""
    return CommandResult(code=CommandResult.CONFLICT, message=message, **fields)


def invalid(message: str, **fields) -> CommandResult:
    """Return the result of a command that is invalid in any state."""
    return CommandResult(code=CommandResult.INVALID, message=message, **fields)


def expired(message: str) -> CommandResult:
    """Return the result of a command whose key may have expired."""
    return CommandResult(code=CommandResult.EXPIRED, message=message)


def key_reuse(key: str, **fields) -> CommandResult:
    """Return the conflict of a key reused with different content."""
    return conflict(f'{_KEY_REUSE}: {key}', **fields)


def is_key_reuse(result: CommandResult) -> bool:
    """Return whether a conflict is due to a reused key."""
    return result.code == CommandResult.CONFLICT and result.message.startswith(
        _KEY_REUSE
    )
