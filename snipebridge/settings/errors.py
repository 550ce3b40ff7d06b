"""Errors of the settings layer."""

from snipebridge.errors import SnipebridgeError


class SettingsError(SnipebridgeError):
    """A settings file that can't be used.

    The message names the file, the key, what was found and what is allowed.
    """

    code = 'bad_settings'
