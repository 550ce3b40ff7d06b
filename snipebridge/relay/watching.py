"""An entry's own reading of the list of replicas, as a fallback.

One control process reads the list for all entries. When its copy is too old,
because there is no leader or the leader is unreachable, each entry reads the
list itself until control sends a newer copy, so that a draining replica is
noticed in time everywhere.
"""

import asyncio
import random
from collections.abc import Callable

from snipebridge.clock import Clock
from snipebridge.logs import log_decision, log_event
from snipebridge.relay.replicas import ReplicaBook
from snipebridge.settings.models import ReplicaListSettings
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.replica_list import ReplicaListReader

# A look compares two numbers; the age that is looked for is above a second.
_LOOK_INTERVAL_S = 0.1
# Parts of the interval of control: sooner than it, and apart from each other.
_INTERVAL_PARTS = (0.4, 0.8)


class ListFallback:
    """Reads the list while the copy of control is too old."""

    __slots__ = ('_book', '_clock', '_on_gone', '_reader', '_rng', '_settings')

    def __init__(
        self,
        book: ReplicaBook,
        reader: ReplicaListReader,
        settings: ReplicaListSettings,
        clock: Clock,
        rng: random.Random,
        on_gone: Callable[[str], None],
    ) -> None:
        """Keep what reads and what is told."""
        self._book = book
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._on_gone = on_gone

    async def run(self) -> None:
        """Look again and again until cancelled.

        Nothing is read before control has told a first list: until then this
        entry serves nobody.
        """
        while True:
            await asyncio.sleep(_LOOK_INTERVAL_S)
            age_s = self._clock.monotonic_s() - self._book.asked_at_s
            if self._settings.fallback_after_s < age_s < float('inf'):
                await self._read(age_s)
                # Entries that lost control together do not ask together.
                part = self._rng.uniform(*_INTERVAL_PARTS)
                await asyncio.sleep(self._settings.interval_s * part)

    async def _read(self, age_s: float) -> None:
        try:
            read = await self._reader.read()
        except UpstreamError as error:
            log_event('list_unread', code=error.code, message=error.message)
            return
        # What control holds of an older edition is read in whole again.
        self._book.edition = 0
        now_s = self._clock.monotonic_s()
        gone = self._book.take_list(read.replicas, read.requested_at_s, now_s)
        for name in gone:
            self._on_gone(name)
        log_decision(
            'list_read_here',
            age_s=round(age_s, 2),
            replicas=len(read.replicas),
            gone=gone,
        )
