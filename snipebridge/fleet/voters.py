"""The leader's duty to keep enough voters of the log.

It looks at the members of the log, at the processes that ask to vote, and at
those that said that they are about to stop, and makes the changes that
`next_order` names, one after another. Two changes that belong together follow
each other without a pause: between them a vote counts that nobody can give.
"""

import asyncio
from contextlib import suppress

from snipebridge.consensus.errors import ConsensusError
from snipebridge.control.leader import Leadership
from snipebridge.fleet.electorate import (
    Candidate,
    MemberOrder,
    MemberView,
    OrderKind,
    VoterCount,
    count_voters,
    next_order,
)
from snipebridge.logs import log_decision, log_event
from snipebridge.rpc.consensus_pb2 import Member

# A silent voter is replaced as soon as it is later than a slow answer: it
# becomes a standby itself when it is back.
SILENT_AFTER_S = 0.5
# A silent standby is dropped once it is later than a restart, some 2 s.
GONE_AFTER_S = 3.0
# A change that takes longer is ordered anew.
CHANGE_LIMIT_S = 5.0


class VoterDuty:
    """Replaces voters that are lost or leaving, and keeps standbys."""

    __slots__ = (
        '_heard_s',
        '_leadership',
        '_running',
        '_term',
        '_tolerated_losses',
    )

    def __init__(self, leadership: Leadership, tolerated_losses: int) -> None:
        """Start without a change under way."""
        self._leadership = leadership
        self._tolerated_losses = tolerated_losses
        self._running: asyncio.Task[None] | None = None
        # When each data folder was last known to answer, in this term.
        self._heard_s: dict[str, float] = {}
        self._term = 0

    def keep(self) -> None:
        """Begin the change that is due, if none is under way.

        Raises what an earlier change ended with.
        """
        if self._running is not None:
            if not self._running.done():
                return
            ended, self._running = self._running, None
            ended.result()
        order = self.due_order()
        if order is not None:
            self._running = asyncio.create_task(self._change_members(order))

    async def close(self) -> None:
        """End a change that is under way."""
        if self._running is not None:
            self._running.cancel()
            with suppress(asyncio.CancelledError):
                await self._running

    def due_order(self) -> MemberOrder | None:
        """Return the change that is due, and keep the count of voters."""
        views = self._views()
        self._note_count(views)
        return next_order(views, self._candidates(), self._tolerated_losses)

    def wanted_member(self, order: MemberOrder) -> Member:
        """Return the member that a change is to lead to."""
        member = Member(name=order.name)
        if order.kind is OrderKind.PROMOTE:
            member.voter = True
            for known in self._leadership.replica.members():
                if known.name == order.name:
                    member.identity = known.identity
        elif order.kind is OrderKind.ADD:
            for candidate in self._candidates():
                if candidate.name == order.name:
                    member.identity = candidate.identity
                    member.address = candidate.address
                    member.data_centre = candidate.data_centre
        return member

    def _candidates(self) -> list[Candidate]:
        now_s = self._leadership.clock.monotonic_s()
        return self._leadership.routed.candidates(now_s)

    def _views(self) -> list[MemberView]:
        leadership = self._leadership
        if leadership.replica.term() != self._term:
            self._term = leadership.replica.term()
            self._heard_s.clear()
        now_s = leadership.clock.monotonic_s()
        leaving = leadership.routed.leaving(now_s)
        return [
            self._view(member, member.name in leaving, now_s)
            for member in leadership.replica.members()
        ]

    def _view(
        self, member: Member, is_leaving: bool, now_s: float
    ) -> MemberView:
        replica = self._leadership.replica
        if replica.hears(member):
            self._heard_s[member.identity] = now_s
        silence_s = now_s - self._heard_s.setdefault(member.identity, now_s)
        has_ended = replica.is_refused_by(member.name)
        return MemberView(
            name=member.name,
            identity=member.identity,
            is_voter=member.voter,
            is_live=silence_s < SILENT_AFTER_S and not has_ended,
            is_gone=silence_s > GONE_AFTER_S,
            is_leaving=is_leaving,
            is_caught_up=replica.is_caught_up(member),
        )

    def _note_count(self, views: list[MemberView]) -> None:
        """Keep the count for operators; log when it falls short or recovers."""
        routed = self._leadership.routed
        count = count_voters(views, self._tolerated_losses)
        if _is_short(count) != _is_short(routed.voters):
            log_decision(
                'voters_short' if _is_short(count) else 'voters_complete',
                staying=count.staying,
                wanted=count.wanted,
                standbys=count.standbys,
                silent=[one.name for one in views if not one.is_live],
                leaving=[one.name for one in views if one.is_leaving],
            )
        routed.voters = count

    async def _change_members(self, order: MemberOrder | None) -> None:
        while order is not None and await self._change(order):
            order = self.due_order()

    async def _change(self, order: MemberOrder) -> bool:
        """Make a change; tell whether it is in force."""
        log_decision('member', name=order.name, change=order.kind.value)
        try:
            async with asyncio.timeout(CHANGE_LIMIT_S):
                await self._leadership.replica.change_member(
                    self.wanted_member(order),
                    remove=order.kind is OrderKind.REMOVE,
                )
        except (ConsensusError, TimeoutError) as error:
            log_event('member_failed', name=order.name, error=str(error))
            return False
        return True


def _is_short(count: VoterCount) -> bool:
    return count.staying < count.wanted
