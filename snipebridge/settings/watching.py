"""Reading a settings file again when it changes, with or without a signal."""

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress

from snipebridge.logs import log_event
from snipebridge.settings.errors import SettingsError
from snipebridge.settings.loading import load_settings
from snipebridge.settings.models import Settings

# A look costs one system call.
LOOK_INTERVAL_S = 1.0

OnChange = Callable[[Settings], None]


class SettingsWatch:
    """Tells a process of the new settings, while it goes on with the old.

    A file that can't be read or is wrong changes nothing and is logged.
    """

    __slots__ = ('_asked', '_path', '_seen')

    def __init__(self, path: str) -> None:
        """Take the file as it is now for the one that is in force."""
        self._path = path
        self._asked = asyncio.Event()
        self._seen = _fingerprint(path)

    def ask(self) -> None:
        """Look at once, as after SIGHUP."""
        self._asked.set()

    async def run(self, on_change: OnChange) -> None:
        """Look again and again until cancelled."""
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._asked.wait(), LOOK_INTERVAL_S)
            found = _fingerprint(self._path)
            if found != self._seen or self._asked.is_set():
                self._seen = found
                self._reload(on_change)
            self._asked.clear()

    def _reload(self, on_change: OnChange) -> None:
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            log_event('settings_refused', error=error.message)
            return
        on_change(settings)
        log_event('settings_reloaded', path=self._path)


def _fingerprint(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)
