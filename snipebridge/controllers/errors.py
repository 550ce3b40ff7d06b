"""Errors of the controllers."""

from snipebridge.errors import SnipebridgeError


class ControllerError(SnipebridgeError):
    """A controller could not do what was asked."""

    code = 'controller'


class ControlUnreachableError(ControllerError):
    """No control leader acknowledged in time.

    Whether the commands were recorded is not known.
    """

    code = 'control_unreachable'
