"""Reads the replica list at the entry when the copy of control is stale.

One control process reads the list for all entries. When its copy is too old,
because there is no leader or the leader is unreachable, each entry reads the
list itself until control sends a newer copy, so that every entry notices a
draining replica in time.
"""

import asyncio
import random
from collections.abc import Callable

from snipebridge.clock import Clock
from snipebridge.logs import log_decision, log_event
from snipebridge.relay.replicas import ReplicaRegistry
from snipebridge.settings.models import ReplicaListSettings
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.replica_list import ReplicaListReader

# A check only compares two numbers; the age limit is above a second.
_CHECK_INTERVAL_S = 0.1
# Random factor on the interval of control: more often than control, and
# spread over the entries.
_INTERVAL_FACTORS = (0.4, 0.8)


class ReplicaListFallback:
    """Reads the replica list while the copy of control is stale."""

    __slots__ = (
        '_replicas',
        '_clock',
        '_on_replica_removed',
        '_reader',
        '_rng',
        '_settings',
    )

    def __init__(
        self,
        replicas: ReplicaRegistry,
        reader: ReplicaListReader,
        settings: ReplicaListSettings,
        clock: Clock,
        rng: random.Random,
        on_replica_removed: Callable[[str], None],
    ) -> None:
        """Update the registry; `on_replica_removed` gets removed ids."""
        self._replicas = replicas
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._on_replica_removed = on_replica_removed

    async def run(self) -> None:
        """Check the age of the list periodically until cancelled.

        Nothing is read before the first list from control: until then the
        entry serves no requests.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            age_s = self._clock.monotonic_s() - self._replicas.requested_at_s
            if self._settings.fallback_after_s < age_s < float('inf'):
                await self._read(age_s)
                # Entries that lose control together must not read together.
                factor = self._rng.uniform(*_INTERVAL_FACTORS)
                await asyncio.sleep(self._settings.interval_s * factor)

    async def _read(self, age_s: float) -> None:
        try:
            read = await self._reader.read()
        except UpstreamError as error:
            log_event('list_unread', code=error.code, message=error.message)
            return
        # Makes control send its complete list again, whatever its edition.
        self._replicas.edition = 0
        now_s = self._clock.monotonic_s()
        gone = self._replicas.update_list(
            read.replicas, read.requested_at_s, now_s
        )
        for name in gone:
            self._on_replica_removed(name)
        log_decision(
            'list_read_here',
            age_s=round(age_s, 2),
            replicas=len(read.replicas),
            gone=gone,
        )
