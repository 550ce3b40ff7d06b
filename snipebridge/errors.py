"""Base class of all errors, and what an error tells about the request.

Each layer defines its own subclasses and turns the errors of the layer
below into them, so that a caller never sees a driver's exception.
"""

import enum


@enum.unique
class Ran(enum.StrEnum):
    """Whether the request ran on an upstream.

    ``NO`` is used only when it is certain.
    """

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class SnipebridgeError(Exception):
    """An error with a stable code for programs and a message for people.

    >>> SnipebridgeError('out of disk').code
    'internal'
    """

    code = 'internal'

    def __init__(self, message: str) -> None:
        """Keep the message for people."""
        super().__init__(message)
        self.message = message
