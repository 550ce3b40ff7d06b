"""Exit codes of the command line."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """What a finished command tells the shell.

    >>> int(ExitStatus.OK)
    0
    """

    OK = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    REFUSED = 4
    UNREACHABLE = 5
    CONFLICT = 6
    INTERRUPTED = 130
