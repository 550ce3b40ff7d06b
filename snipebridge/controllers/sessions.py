"""Directory of sessions: which version a session is bound to.

Each session has two owners among the entries, chosen by rendezvous hashing
in different data centres where there is more than one. A binding is written
to both before the first answer starts. The entry that serves a session keeps
it in a cache of its own, so that only the first request of a session at an
entry asks anyone.
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
_CAPACITY_SESSIONS = 200_000
_OWNERS = 2
_MS_PER_S = 1000


class SessionTable:
    """Bindings held in memory, the least recently used dropped first.

    The earliest binding of a session wins, so that two entries that bind it
    at once agree whatever the order of arrival.
    """

    __slots__ = ('_capacity', '_records')

    def __init__(self, capacity: int = _CAPACITY_SESSIONS) -> None:
        """Start empty."""
        self._capacity = capacity
        self._records: OrderedDict[tuple[str, str], SessionRecord] = (
            OrderedDict()
        )

    def find(self, account: str, session: str) -> SessionRecord | None:
        """Return the binding, if there is one."""
        record = self._records.get((account, session))
        if record is not None:
            self._records.move_to_end((account, session))
        return record

    def bind(self, record: SessionRecord) -> SessionRecord:
        """Keep the earlier of this binding and the one known; return it."""
        key = (record.account, record.session)
        known = self._records.get(key)
        if known is None or _order(record) < _order(known):
            known = record
        self._records[key] = known
        self._records.move_to_end(key)
        while len(self._records) > self._capacity:
            self._records.popitem(last=False)
        return known

    def records(self) -> list[SessionRecord]:
        """Return all bindings, for a handover."""
        return list(self._records.values())

    def drop_version(self, version: str) -> None:
        """Forget the bindings to a version that was withdrawn."""
        gone = [
            key
            for key, record in self._records.items()
            if record.version == version
        ]
        for key in gone:
            del self._records[key]


class SessionDirectory(PeerServicer):
    """Finds and binds sessions across the entries."""

    def __init__(self, name: str, clock: Clock, pool: ChannelPool) -> None:
        """Start with no other entry known."""
        self._name = name
        self._clock = clock
        self._pool = pool
        self._members: tuple[EntryMember, ...] = ()
        self._withdrawn: frozenset[str] = frozenset()
        self.table = SessionTable()

    def set_members(self, members: Sequence[EntryMember]) -> None:
        """Take the live entries, as control reports them."""
        self._members = tuple(members)

    def set_withdrawn_versions(self, versions: frozenset[str]) -> None:
        """Forget bindings to withdrawn versions, here and in answers."""
        for version in versions - self._withdrawn:
            self.table.drop_version(version)
        self._withdrawn = versions

    async def find(self, account: str, session: str) -> str:
        """Return the version a session is bound to, empty for a new one."""
        known = self.table.find(account, session)
        if known is not None:
            return known.version
        key = SessionKey(account=account, session=session)
        calls = [
            self._ask(owner, key) for owner in self._owners(account, session)
        ]
        answers = await asyncio.gather(*calls)
        found = [record for record in answers if self._holds(record)]
        if not found:
            return ''
        earliest = min(found, key=_order)
        return self.table.bind(earliest).version

    async def bind(self, account: str, session: str, version: str) -> str:
        """Bind a session on its owners; return the version that holds.

        Another entry may have bound it earlier, and then its choice holds.
        """
        now_ms = self._clock.wall_ms()
        record = SessionRecord(
            account=account,
            session=session,
            version=version,
            bound_at_ms=now_ms,
            used_at_ms=now_ms,
        )
        kept = self.table.bind(record)
        calls = [
            self._tell(owner, kept) for owner in self._owners(account, session)
        ]
        for answer in await asyncio.gather(*calls):
            if self._holds(answer):
                kept = self.table.bind(answer)
        return kept.version

    async def hand_over(self) -> None:
        """Write all bindings to the owners among the remaining entries."""
        for record in self.table.records():
            owners = self._owners(record.account, record.session)
            await asyncio.gather(
                *(self._tell(owner, record) for owner in owners)
            )

    async def LookUpSession(self, request, context) -> SessionRecord:  # noqa: N802 - name of the RPC
        """Answer another entry."""
        known = self.table.find(request.account, request.session)
        return known or SessionRecord(
            account=request.account, session=request.session
        )

    async def BindSession(self, request, context) -> SessionRecord:  # noqa: N802 - name of the RPC
        """Keep a binding for another entry."""
        if not self._holds(request):
            return request
        return self.table.bind(request)

    def _holds(self, record: SessionRecord | None) -> bool:
        """Tell whether a record binds to a version that may get work.

        An owner that has not seen a withdrawal yet may still answer with
        the withdrawn version; its earlier binding must not win.
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
        return _spread(ranked)

    async def _ask(
        self, owner: EntryMember, key: SessionKey
    ) -> SessionRecord | None:
        stub = PeerStub(self._pool.channel(owner.address))
        try:
            record = await stub.LookUpSession(key, timeout=_PEER_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._note_failure(owner, error)
            return None
        return record if record.version else None

    async def _tell(
        self, owner: EntryMember, record: SessionRecord
    ) -> SessionRecord | None:
        stub = PeerStub(self._pool.channel(owner.address))
        try:
            return await stub.BindSession(record, timeout=_PEER_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._note_failure(owner, error)
            return None

    def _note_failure(
        self, owner: EntryMember, error: grpc.aio.AioRpcError
    ) -> None:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._pool.discard(owner.address)


def _rank(name: str, account: str, session: str) -> int:
    key = f'{name}\0{account}\0{session}'
    return xxhash.xxh3_64_intdigest(key.encode())


def _spread(ranked: Sequence[EntryMember]) -> list[EntryMember]:
    """Take the first, then the first of another data centre if any."""
    owners = list(ranked[:1])
    for member in ranked[1:]:
        if member.data_centre != owners[0].data_centre:
            owners.append(member)
            break
    for member in ranked[1:]:
        if len(owners) < _OWNERS and member not in owners:
            owners.append(member)
    return owners


def _order(record: SessionRecord) -> tuple[int, str]:
    return (record.bound_at_ms, record.version)
