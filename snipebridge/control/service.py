"""The gRPC service of control for the entries."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import grpc

from snipebridge.consensus.errors import ConsensusError, NotLeaderError
from snipebridge.control.heartbeats import answer_heartbeat
from snipebridge.control.leader import Leadership
from snipebridge.control.metrics import ControlMetrics
from snipebridge.controllers.members import EntryHost
from snipebridge.fleet.electorate import Candidate, vote_moves
from snipebridge.rpc import control_pb2_grpc
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    JoinReply,
    JoinRequest,
    SubmitReply,
    SubmitRequest,
)

# What an entry may propose; the rest is up to operators and the leader.
_ENTRY_COMMANDS = frozenset(('bill', 'begin', 'finish'))


class ControlService(control_pb2_grpc.ControlServicer):
    """Answers heartbeats and submissions while this process leads."""

    def __init__(self, leadership: Leadership, metrics: ControlMetrics) -> None:
        """Keep the parts; nothing is answered before there is a leader."""
        self.draining = False
        self.under_way = 0
        self._leadership = leadership
        self._replica = leadership.replica
        self._metrics = metrics

    async def Heartbeat(
        self, request: HeartbeatRequest, context
    ) -> HeartbeatReply:
        """Take an entry's report; grant a lease with the configuration."""
        self._metrics.note_heartbeat()
        if not self._answers():
            return self._no_heartbeat()
        host = EntryHost(request.entry, request.data_centre, request.address)
        async with self._answering(context):
            try:
                await self._leadership.register(host, request.incarnation)
            except NotLeaderError:
                return self._no_heartbeat()
        # Leadership may have gone while the entry was registered.
        if not self._answers():
            return self._no_heartbeat()
        return answer_heartbeat(self._leadership, request)

    async def Join(self, request: JoinRequest, context) -> JoinReply:
        """Note a process that asks to vote, or that is about to stop.

        It is told who the members are, and by the leader whether it votes.
        """
        reply = JoinReply(leader_address=self._leader_address())
        members = self._replica.members()
        reply.controls.extend(member.address for member in members)
        if self._answers():
            reply.leader = True
            reply.voter = any(
                member.voter
                and (member.name, member.identity)
                == (request.name, request.identity)
                for member in members
            )
            self._note_asker(request)
            reply.vote_moves = reply.voter and self._vote_moves(request)
        return reply

    def _note_asker(self, request: JoinRequest) -> None:
        routed = self._leadership.routed
        now_s = self._leadership.clock.monotonic_s()
        if request.leaving:
            routed.leave(request.name, now_s)
            return
        candidate = Candidate(
            request.name,
            request.identity,
            request.address,
            request.data_centre,
        )
        routed.ask(candidate, now_s)

    def _vote_moves(self, request: JoinRequest) -> bool:
        """Tell whether the vote of a process that leaves moves, or may move."""
        routed = self._leadership.routed
        now_s = self._leadership.clock.monotonic_s()
        if not request.leaving:
            return False
        return not routed.knows_candidates(now_s) or vote_moves(
            self._replica.members(),
            routed.candidates(now_s),
            routed.voters.wanted,
        )

    async def Submit(self, request: SubmitRequest, context) -> SubmitReply:
        """Append an entry's commands; answer once they are durable."""
        if not self._answers():
            return SubmitReply(leader_address=self._leader_address())
        kinds = {command.WhichOneof('body') for command in request.commands}
        if not kinds <= _ENTRY_COMMANDS:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                'allowed commands are begin, bill, finish',
            )
        async with self._answering(context):
            return await self._submit(request)

    async def _submit(self, request: SubmitRequest) -> SubmitReply:
        try:
            results = await self._replica.submit(request.commands)
        except NotLeaderError as error:
            return SubmitReply(leader_address=error.leader_address)
        self._metrics.note_commands(request.commands, results)
        return SubmitReply(leader=True, committed=True, results=results)

    @asynccontextmanager
    async def _answering(self, context) -> AsyncIterator[None]:
        self.under_way += 1
        try:
            yield
        except ConsensusError as error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, error.message)
        finally:
            self.under_way -= 1

    def _answers(self) -> bool:
        return not self.draining and self._leadership.is_in_office()

    def _leader_address(self) -> str:
        return '' if self.draining else self._replica.leader_address()

    def _no_heartbeat(self) -> HeartbeatReply:
        return HeartbeatReply(
            leader_address=self._leader_address(),
            term=self._replica.term(),
        )
