"""Asks other entries for connections to replicas."""

import asyncio
from collections.abc import Sequence

from snipebridge.clock import Clock
from snipebridge.policy.replica_paths import Peer, ReplicaPaths
from snipebridge.rpc.control_pb2 import EntryMember
from snipebridge.upstreams.connections import ReplicaConnection
from snipebridge.upstreams.errors import ConnectError, HelperError
from snipebridge.upstreams.tunnels import open_tunnel

# How long a helper may take, and how many are asked at a time and in turn.
_HELPER_TIMEOUT_S = 0.35
_HELPERS_AT_ONCE = 2
_HELPER_ROUNDS = 3


class Helpers:
    """The other entries, as ways to replicas."""

    __slots__ = ('_clock', '_paths', '_peers', 'own_address')

    def __init__(self, paths: ReplicaPaths, clock: Clock) -> None:
        """Start without another entry."""
        self._paths = paths
        self._clock = clock
        self._peers: Sequence[Peer] = ()
        # host:port at which this entry opens tunnels for others.
        self.own_address = ''

    @property
    def count(self) -> int:
        """How many other entries are known."""
        return len(self._peers)

    def set_peers(self, entries: Sequence[EntryMember]) -> None:
        """Take the entries of the fleet from a heartbeat."""
        self._peers = [
            Peer(one.name, one.data_centre, one.address)
            for one in entries
            if _is_address(one.address)
            and one.address != self.own_address
            and not one.leaving
        ]

    def is_peer(self, host: str) -> bool:
        """Tell whether another entry is at this host."""
        return any(_host(one.address) == host for one in self._peers)

    async def connect(self, replica: str) -> ReplicaConnection:
        """Return a connection through the first helper that has one.

        Raises `HelperError` if no helper could tell whether the replica is
        there, and `ConnectError` if one or two say that it is not.
        """
        now_s = self._clock.monotonic_s()
        if self._paths.is_gone(replica, now_s):
            raise ConnectError(f'no other entry reaches {replica} either')
        helpers = self._paths.helpers(self._peers, now_s)
        for position in range(_HELPER_ROUNDS):
            first = position * _HELPERS_AT_ONCE
            asked = helpers[first : first + _HELPERS_AT_ONCE]
            if not asked:
                break
            connection, is_gone = await self._ask(asked, replica)
            if connection is not None:
                return connection
            if is_gone:
                self._paths.record_gone(replica, self._clock.monotonic_s())
                raise ConnectError(f'no other entry reaches {replica} either')
        raise HelperError(f'no helper for {replica}')

    async def _ask(
        self, helpers: Sequence[str], replica: str
    ) -> tuple[ReplicaConnection | None, bool]:
        """Return the first connection, or whether all say it is gone."""
        tasks = [
            asyncio.create_task(self._ask_one(helper, replica))
            for helper in helpers
        ]
        pending = set(tasks)
        winner = None
        try:
            while pending and winner is None:
                finished, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                winner = next(filter(_is_connected, finished), None)
        finally:
            for task in tasks:
                if task is not winner:
                    task.cancel()
                    task.add_done_callback(abort_unused)
        if winner is not None:
            return winner.result(), False
        errors = [task.exception() for task in tasks]
        return None, not any(isinstance(one, HelperError) for one in errors)

    async def _ask_one(self, helper: str, replica: str) -> ReplicaConnection:
        address = f'{helper}/{replica}'
        try:
            connection = await open_tunnel(
                helper,
                replica,
                lambda: ReplicaConnection(address, is_tunnelled=True),
                _HELPER_TIMEOUT_S,
                _host(self.own_address),
            )
        except HelperError:
            self._paths.record_helper_failed(helper, self._clock.monotonic_s())
            raise
        self._paths.record_helper(helper)
        return connection


def _is_connected(task: asyncio.Task[ReplicaConnection]) -> bool:
    return task.exception() is None


def abort_unused(task: asyncio.Task[ReplicaConnection]) -> None:
    """Close a connection that came second."""
    if not task.cancelled() and task.exception() is None:
        task.result().abort()


def _is_address(address: str) -> bool:
    return address.rpartition(':')[2].isdecimal()


def _host(address: str) -> str:
    return address.rpartition(':')[0]
