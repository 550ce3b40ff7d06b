"""Distributed directory of the versions that sessions are bound to.

Each session has two owners among the entries, chosen by rendezvous hashing
and in different data centres if there are several. A binding is written to
both before the first response starts. The entry that serves a session also
caches the binding, so that only the first request of a session at an entry
queries the owners.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence

import grpc
import xxhash

from snipebridge.clock import Clock
from snipebridge.rpc.channels import ChannelPool
from snipebridge.rpc.control_pb2 import (
    EntryMember,
    SessionKey,
    SessionRecord,
)
from snipebridge.rpc.control_pb2_grpc import PeerServicer, PeerStub

_PEER_TIMEOUT_S = 0.3
_MAX_SESSIONS = 200_000
_OWNERS_PER_SESSION = 2
_MS_PER_S = 1000


class SessionTable:
    """Bindings in memory with least recently used eviction.

    The earliest binding of a session wins, so that two entries that bind it
    concurrently agree in whatever order the bindings arrive.
    """

    __slots__ = ('_capacity', '_records')

    def __init__(self, capacity: int = _MAX_SESSIONS) -> None:
        """Start without bindings."""
        self._capacity = capacity
        self._records: OrderedDict[tuple[str, str], SessionRecord] = (
            OrderedDict()
        )

    def find(self, account: str, session: str) -> SessionRecord | None:
        """Return the binding of a session, if there is one."""
        record = self._records.get((account, session))
        if record is not None:
            self._records.move_to_end((account, session))
        return record

    def bind(self, record: SessionRecord) -> SessionRecord:
        """Store the earlier of this and the stored binding and return it."""
        key = (record.account, record.session)
        known = self._records.get(key)
        if known is None or _sort_key(record) < _sort_key(known):
            known = record
        self._records[key] = known
        self._records.move_to_end(key)
        while len(self._records) > self._capacity:
            self._records.popitem(last=False)
        return known

    def records(self) -> list[SessionRecord]:
        """Return all bindings for a handover."""
        return list(self._records.values())

    def drop_version(self, version: str) -> None:
        """Remove the bindings to a withdrawn version."""
        removed = [
            key
            for key, record in self._records.items()
            if record.version == version
        ]
        for key in removed:
            del self._records[key]


class SessionDirectory(PeerServicer):
    """Looks up and binds sessions across the entries."""

    def __init__(self, name: str, clock: Clock, pool: ChannelPool) -> None:
        """Start without other entries."""
        self._name = name
        self._clock = clock
        self._pool = pool
        self._members: tuple[EntryMember, ...] = ()
        self._withdrawn: frozenset[str] = frozenset()
        self.table = SessionTable()

    def set_members(self, members: Sequence[EntryMember]) -> None:
        """Set the live entries that control reports."""
        self._members = tuple(members)

    def set_withdrawn_versions(self, versions: frozenset[str]) -> None:
        """Remove bindings to withdrawn versions and ignore those of owners."""
        for version in versions - self._withdrawn:
            self.table.drop_version(version)
        self._withdrawn = versions

    async def find(self, account: str, session: str) -> str:
        """Return the version of a session, or an empty string if unbound."""
        known = self.table.find(account, session)
        if known is not None:
            return known.version
        key = SessionKey(account=account, session=session)
        calls = [
            self._look_up_at(owner, key)
            for owner in self._owners(account, session)
        ]
        replies = await asyncio.gather(*calls)
        valid = [record for record in replies if self._is_valid(record)]
        if not valid:
            return ''
        earliest = min(valid, key=_sort_key)
        return self.table.bind(earliest).version

    async def bind(self, account: str, session: str, version: str) -> str:
        """Bind a session on its owners; return the version in effect.

        If another entry bound the session earlier, that binding is used.
        """
        now_ms = self._clock.wall_ms()
        record = SessionRecord(
            account=account,
            session=session,
            version=version,
            bound_at_ms=now_ms,
            used_at_ms=now_ms,
        )
        effective = self.table.bind(record)
        calls = [
            self._bind_at(owner, effective)
            for owner in self._owners(account, session)
        ]
        for reply in await asyncio.gather(*calls):
            if self._is_valid(reply):
                effective = self.table.bind(reply)
        return effective.version

    async def hand_over(self) -> None:
        """Write all bindings to their owners among the remaining entries."""
        for record in self.table.records():
            owners = self._owners(record.account, record.session)
            await asyncio.gather(
                *(self._bind_at(owner, record) for owner in owners)
            )

    async def LookUpSession(self, request, context) -> SessionRecord:  # noqa: N802 - name of the RPC
        """Return the binding stored here to another entry."""
        known = self.table.find(request.account, request.session)
        return known or SessionRecord(
            account=request.account, session=request.session
        )

    async def BindSession(self, request, context) -> SessionRecord:  # noqa: N802 - name of the RPC
        """Store a binding for another entry."""
        if not self._is_valid(request):
            return request
        return self.table.bind(request)

    def _is_valid(self, record: SessionRecord | None) -> bool:
        """Tell whether a record binds to a version that is not withdrawn.

        An owner that has not received a withdrawal yet may still return the
        withdrawn version; its earlier binding must not win.
        """
        return (
            record is not None
            and bool(record.version)
            and record.version not in self._withdrawn
        )

    def _owners(self, account: str, session: str) -> list[EntryMember]:
        others = [
            member
            for member in self._members
            if member.name != self._name and not member.leaving
        ]
        ranked = sorted(
            others,
            key=lambda member: _rank(member.name, account, session),
            reverse=True,
        )
        return _pick_owners(ranked)

    async def _look_up_at(
        self, owner: EntryMember, key: SessionKey
    ) -> SessionRecord | None:
        stub = PeerStub(self._pool.channel(owner.address))
        try:
            record = await stub.LookUpSession(key, timeout=_PEER_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._handle_failure(owner, error)
            return None
        return record if record.version else None

    async def _bind_at(
        self, owner: EntryMember, record: SessionRecord
    ) -> SessionRecord | None:
        stub = PeerStub(self._pool.channel(owner.address))
        try:
            return await stub.BindSession(record, timeout=_PEER_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._handle_failure(owner, error)
            return None

    def _handle_failure(
        self, owner: EntryMember, error: grpc.aio.AioRpcError
    ) -> None:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._pool.discard(owner.address)


def _rank(name: str, account: str, session: str) -> int:
    key = f'{name}\0{account}\0{session}'
    return xxhash.xxh3_64_intdigest(key.encode())


def _pick_owners(ranked: Sequence[EntryMember]) -> list[EntryMember]:
    """Return the first, then preferably one of another data centre."""
    owners = list(ranked[:1])
    for member in ranked[1:]:
        if member.data_centre != owners[0].data_centre:
            owners.append(member)
            break
    for member in ranked[1:]:
        if len(owners) < _OWNERS_PER_SESSION and member not in owners:
            owners.append(member)
    return owners


def _sort_key(record: SessionRecord) -> tuple[int, str]:
    return (record.bound_at_ms, record.version)
