"""Errors of routing configurations."""

from snipebridge.errors import SnipebridgeError


class DocumentError(SnipebridgeError):
    """A routing configuration that is invalid."""

    code = 'invalid_routing'
