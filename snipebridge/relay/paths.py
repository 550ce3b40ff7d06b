"""Connects to replicas, directly or through another entry.

A connection that fails or takes unusually long is tried through helpers, other
entries that reach the replica. The choice of the replica, retries, limits and
everything else of a request stay with the entry that took it.
"""

import asyncio
import random
from collections.abc import Callable

from snipebridge.clock import Clock
from snipebridge.logs import log_decision
from snipebridge.policy.replica_paths import CUT_THRESHOLD, ReplicaPaths
from snipebridge.relay.replicas import ReplicaRegistry
from snipebridge.relay.tunnelling import Helpers, abort_unused
from snipebridge.upstreams.connections import (
    REACHABLE_TIMEOUT_S,
    ConnectionPool,
    ReplicaConnection,
)
from snipebridge.upstreams.errors import (
    ConnectError,
    HelperError,
    RefusedError,
)

# A handshake that takes longer is tried through a helper at the same time.
_SLOW_CONNECT_S = 0.12
# An entry that has reached a replica within this time can tell whether another
# one is gone.
_REACHED_VALID_S = 3.0
_RETRY_INTERVAL_S = 0.1


class PathFinder:
    """The connections of one entry to replicas."""

    __slots__ = (
        '_checks',
        '_clock',
        '_paths',
        '_pool',
        '_reached_s',
        '_registry',
        '_rng',
        'helpers',
        'on_change',
    )

    def __init__(
        self,
        registry: ReplicaRegistry,
        pool: ConnectionPool,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
    ) -> None:
        """Connect for a pool, by the list in a registry."""
        self._registry = registry
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._paths = ReplicaPaths(data_centre, rng)
        self.helpers = Helpers(self._paths, clock)
        self._reached_s = float('-inf')
        # By replica, and that of all replicas under an empty name.
        self._checks: dict[str, asyncio.Task[None]] = {}
        # Called with a replica whose way has changed.
        self.on_change: Callable[[str], None] = _do_nothing

    @property
    def indirect_count(self) -> int:
        """How many replicas are reached through helpers."""
        return len(self._paths.indirect)

    def forget(self, replica: str) -> None:
        """Drop a replica that is no longer listed."""
        self._paths.forget(replica)

    # What a tunnel server asks.

    def is_peer(self, host: str) -> bool:
        """Tell whether another entry is at this host."""
        return self.helpers.is_peer(host)

    def address_of(self, replica: str) -> str:
        """Return host:port of a listed replica, empty for another one."""
        listed = self._registry.by_id.get(replica)
        return listed.address if listed else ''

    async def reaches_replicas(self) -> bool:
        """Tell whether this entry reaches some replica directly.

        One that has not used any lately tries a few of them.
        """
        if self._paths.indirect:
            return False
        age_s = self._clock.monotonic_s() - self._reached_s
        if age_s < _REACHED_VALID_S:
            return True
        names = list(self._registry.by_id)
        some = self._rng.sample(names, min(CUT_THRESHOLD, len(names)))
        return any(
            await asyncio.gather(
                *(self._is_direct(name, _SLOW_CONNECT_S) for name in some)
            )
        )

    def record_answer(self, replica: str) -> None:
        """Note that a replica has begun to answer."""
        if not self._paths.is_indirect(replica):
            self._reached_s = self._clock.monotonic_s()

    # What the pool asks.

    async def dial(
        self, replica: str, address: str, timeout_s: float
    ) -> ReplicaConnection:
        """Return a new connection; raises `ConnectError`."""
        if self._paths.is_indirect(replica):
            return await self._dial_through_helper(replica, address)
        direct = asyncio.create_task(self._pool.connect(address, timeout_s))
        try:
            await asyncio.wait({direct}, timeout=_SLOW_CONNECT_S)
            if _has_result(direct):
                return self._reached(replica, direct.result())
            return await self._dial_both(replica, direct)
        finally:
            if not direct.done():
                direct.cancel()

    async def can_reach(self, replica: str, address: str) -> bool:
        """Tell whether a connection to a replica can be opened now."""
        try:
            connection = await self.dial(replica, address, REACHABLE_TIMEOUT_S)
        except ConnectError:
            return False
        connection.abort()
        return True

    async def is_refused(self, replica: str, address: str) -> bool:
        """Tell whether nothing listens at a replica, as helpers confirm."""
        try:
            connection = await self.dial(replica, address, REACHABLE_TIMEOUT_S)
        except RefusedError:
            return True
        except ConnectError:
            return False
        connection.abort()
        return False

    def check(self, replica: str, address: str) -> None:
        """Find out in the background whether the way to a replica is cut."""
        if not self._paths.is_indirect(replica):
            self._start(replica, self._check(replica, address))

    async def run(self) -> None:
        """Try direct ways again until cancelled."""
        while True:
            await asyncio.sleep(_RETRY_INTERVAL_S)
            due = self._paths.due(self._clock.monotonic_s())
            if any(await asyncio.gather(*map(self._is_direct, due))):
                # Most ways are mended together.
                await self._retry_all()

    async def _dial_both(
        self, replica: str, direct: asyncio.Task[ReplicaConnection]
    ) -> ReplicaConnection:
        """Return the first connection, through a helper or the direct one."""
        helped = asyncio.create_task(self.helpers.connect(replica))
        try:
            await _wait_for_one(direct, helped)
            if _has_result(direct):
                helped.add_done_callback(abort_unused)
                return self._reached(replica, direct.result())
            connection = await helped
        except HelperError as error:
            return await self._after_helpers(replica, direct, error)
        except ConnectError:
            # Helpers confirm that it is gone, if it refuses at all.
            return self._reached(replica, await direct)
        finally:
            if not helped.done():
                helped.cancel()
        self._record_cut(replica, 'the direct connection failed')
        self._start('', self._check_others())
        return connection

    async def _after_helpers(
        self,
        replica: str,
        direct: asyncio.Task[ReplicaConnection],
        error: HelperError,
    ) -> ReplicaConnection:
        """Return the direct connection where no helper could tell."""
        try:
            return self._reached(replica, await direct)
        except RefusedError as refused:
            if not self.helpers.count:
                raise
            # It may as well be the way that refuses.
            raise ConnectError(refused.message) from error

    async def _dial_through_helper(
        self, replica: str, address: str
    ) -> ReplicaConnection:
        try:
            return await self.helpers.connect(replica)
        except HelperError:
            # The direct way may work again, and is all that is left.
            connection = await self._pool.connect(address, REACHABLE_TIMEOUT_S)
            return self._reached(replica, connection)

    async def _check(self, replica: str, address: str) -> None:
        try:
            connection = await self.dial(replica, address, REACHABLE_TIMEOUT_S)
        except ConnectError:
            return
        connection.abort()

    async def _check_others(self) -> None:
        """Look at the other ways once one is known to be cut.

        Where several fail and none works, all are taken for cut.
        """
        failed = 0
        names = [
            name
            for name in self._registry.by_id
            if not self._paths.is_indirect(name)
        ]
        is_any_direct = False
        for first in range(0, len(names), CUT_THRESHOLD):
            some = names[first : first + CUT_THRESHOLD]
            works = await asyncio.gather(*map(self._is_direct, some))
            is_any_direct = is_any_direct or any(works)
            for name, is_direct in zip(some, works, strict=True):
                if not is_direct:
                    failed += 1
                    self._record_cut(name, 'checked beside a way that is cut')
            if failed >= CUT_THRESHOLD and not is_any_direct:
                for name in names[first + CUT_THRESHOLD :]:
                    self._record_cut(name, 'all ways that were checked are cut')
                return

    async def _is_direct(
        self, replica: str, timeout_s: float = REACHABLE_TIMEOUT_S
    ) -> bool:
        address = self.address_of(replica)
        if not address:
            return False
        try:
            connection = await self._pool.connect(address, timeout_s)
        except ConnectError:
            return False
        self._reached(replica, connection).abort()
        return True

    async def _retry_all(self) -> None:
        names = sorted(self._paths.indirect)
        for first in range(0, len(names), CUT_THRESHOLD):
            some = names[first : first + CUT_THRESHOLD]
            await asyncio.gather(*map(self._is_direct, some))

    def _reached(
        self, replica: str, connection: ReplicaConnection
    ) -> ReplicaConnection:
        self._reached_s = self._clock.monotonic_s()
        connection.on_timeout = lambda: self.check(replica, connection.address)
        if self._paths.record_direct(replica):
            self._changed(replica, 'direct', 'the direct way works again')
        return connection

    def _record_cut(self, replica: str, reason: str) -> None:
        if self._paths.record_cut(replica, self._clock.monotonic_s()):
            self._changed(replica, 'helper', reason)

    def _changed(self, replica: str, way: str, reason: str) -> None:
        log_decision(
            'replica_path',
            replica=replica,
            way=way,
            reason=reason,
            indirect=self.indirect_count,
            peers=self.helpers.count,
        )
        self.on_change(replica)

    def _start(self, name: str, check) -> None:
        if name in self._checks:
            check.close()
            return
        task = asyncio.create_task(check)
        self._checks[name] = task
        task.add_done_callback(lambda _: self._checks.pop(name, None))


async def _wait_for_one(
    direct: asyncio.Task[ReplicaConnection],
    helped: asyncio.Task[ReplicaConnection],
) -> None:
    """Wait until there is a connection, or the helpers have none."""
    if not direct.done():
        await asyncio.wait(
            {direct, helped}, return_when=asyncio.FIRST_COMPLETED
        )
    if not _has_result(direct):
        await asyncio.wait({helped})


def _has_result(task: asyncio.Task[ReplicaConnection]) -> bool:
    return task.done() and task.exception() is None


def _do_nothing(_: str) -> None:
    """Stand in for a callback that the process has not set yet."""
