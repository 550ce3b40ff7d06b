"""How a control process that does not vote asks to.

It knows some addresses from its settings, of which some may be gone. Any
member answers with the members that it knows and the leader's address.

A process's own log can't tell it that its vote is gone: the leader sends the
log to members only. So a process that hears no leader asks as well, and the
leader answers with what the membership in force says.
"""

import asyncio
from collections.abc import Sequence
from typing import Protocol

import grpc

from snipebridge.logs import log_decision, log_event
from snipebridge.rpc.channels import ChannelPool
from snipebridge.rpc.control_pb2 import JoinReply, JoinRequest
from snipebridge.rpc.control_pb2_grpc import ControlStub
from snipebridge.settings.models import ProcessSettings

# A replaced host must vote within some four seconds of its start, one of which
# the start itself takes.
ASK_INTERVAL_S = 0.25
# A planned stop waits for so long at most until its vote has moved: a leader
# is elected, takes office, hears of the processes that wait, and moves it.
LEAVE_LIMIT_S = 3.0
LEAVE_INTERVAL_S = 0.1
# As long as a heartbeat of an entry may take.
_ASK_TIMEOUT_S = 0.8


class JoiningReplica(Protocol):
    """What joining reads and tells of this process's replica."""

    told_leader_address: str

    def is_voter(self) -> bool:
        """Tell whether the log here names this data folder as a voter."""

    def follows_leader(self) -> bool:
        """Tell whether a leader sends its log here, or this process leads."""

    def identity(self) -> str:
        """Return the identity of the data folder."""


class Joining:
    """Asks the leader until this process votes and follows a leader."""

    __slots__ = ('_addresses', '_has_vote', '_pool', '_process')

    def __init__(
        self,
        pool: ChannelPool,
        process: ProcessSettings,
        seeds: Sequence[str],
    ) -> None:
        """Start with the addresses of the settings."""
        self._pool = pool
        self._process = process
        self._addresses = list(seeds)
        self._has_vote = False

    async def run(self, replica: JoiningReplica, own_address: str) -> None:
        """Ask whenever this data folder has no vote, or may have lost it."""
        while True:
            if replica.is_voter() and replica.follows_leader():
                self._has_vote = True
                replica.told_leader_address = ''
            else:
                reply = await self._ask(self._request(replica, own_address))
                replica.told_leader_address = reply.leader_address
                self._note_vote(reply)
            await asyncio.sleep(ASK_INTERVAL_S)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Take addresses of settings that were read again."""
        self._addresses = list(dict.fromkeys((*seeds, *self._addresses)))

    async def leave(self, replica: JoiningReplica, own_address: str) -> None:
        """Run on until a process that waits has the vote, if there is one.

        Nothing is waited for where no other process answers.
        """
        request = self._request(replica, own_address)
        request.leaving = True
        try:
            async with asyncio.timeout(LEAVE_LIMIT_S):
                reply = await self._ask(request)
                while reply.vote_moves or (reply.controls and not reply.leader):
                    await asyncio.sleep(LEAVE_INTERVAL_S)
                    reply = await self._ask(request)
        except TimeoutError:
            log_decision('vote_kept', reason='it did not move in time')
            return
        if not reply.leader:
            log_decision('vote_kept', reason='no leader answered')
        elif reply.voter:
            log_decision('vote_kept', reason='no process waits for it')
        else:
            log_decision('vote_moved', leader=reply.leader_address)

    def _request(
        self, replica: JoiningReplica, own_address: str
    ) -> JoinRequest:
        return JoinRequest(
            name=self._process.name,
            address=own_address,
            data_centre=self._process.data_centre,
            identity=replica.identity(),
        )

    def _note_vote(self, reply: JoinReply) -> None:
        """Log once that the membership in force gave the vote away."""
        if reply.leader and self._has_vote and not reply.voter:
            log_decision('vote_lost', leader=reply.leader_address)
        if reply.leader:
            self._has_vote = reply.voter

    async def _ask(self, request: JoinRequest) -> JoinReply:
        """Ask every known process once; return the leader's reply if any.

        Otherwise the reply holds an address of the leader, if one is told.
        """
        found = JoinReply()
        calls = [
            asyncio.ensure_future(self._ask_one(address, request))
            for address in self._addresses
        ]
        try:
            for call in asyncio.as_completed(calls):
                found = self._better(found, await call)
                if found.leader:
                    break
        finally:
            for call in calls:
                call.cancel()
        return found

    def _better(self, found: JoinReply, reply: JoinReply | None) -> JoinReply:
        """Return the reply that says more of the leader."""
        if reply is None:
            return found
        known = dict.fromkeys((*self._addresses, *reply.controls))
        self._addresses = list(known)
        is_better = reply.leader or reply.leader_address or not found.controls
        return reply if is_better else found

    async def _ask_one(
        self, address: str, request: JoinRequest
    ) -> JoinReply | None:
        if address == request.address:
            return None
        stub = ControlStub(self._pool.channel(address))
        try:
            return await stub.Join(request, timeout=_ASK_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            log_event(
                'join_unanswered', address=address, code=error.code().name
            )
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.discard(address)
            return None
