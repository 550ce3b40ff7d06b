"""Who should vote on the log, from the losses it must bear.

With ``tolerated_losses`` losses at once, twice as many voters and one more
are needed. Further control processes wait; some of them are standbys, members
that hold the log and do not vote, so that one entry of the log gives them the
vote of a process that is lost or about to stop.

>>> members = [MemberView(name, name, is_voter=True) for name in 'abc']
>>> next_order(members, [Candidate('d', 'd')], tolerated_losses=1)
MemberOrder(name='d', kind=<OrderKind.ADD: 'add'>)
>>> members.append(MemberView('d', 'd', is_voter=False))
>>> next_order(members, [], tolerated_losses=1) is None
True
>>> members[2].is_leaving = True
>>> next_order(members, [], tolerated_losses=1)
MemberOrder(name='d', kind=<OrderKind.PROMOTE: 'promote'>)
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from snipebridge.rpc.consensus_pb2 import Member


@dataclass(slots=True)
class MemberView:
    """A member of the log as the leader sees it."""

    name: str
    identity: str
    is_voter: bool
    # False while its data folder does not answer.
    is_live: bool = True
    # It has been silent for longer than a restart takes.
    is_gone: bool = False
    # It is about to stop as planned.
    is_leaving: bool = False
    # It holds all that is committed.
    is_caught_up: bool = True

    @property
    def stays(self) -> bool:
        """Tell whether it can be counted on."""
        return self.is_live and not self.is_leaving


@dataclass(slots=True, frozen=True)
class Candidate:
    """A control process that asks to become a voter."""

    name: str
    identity: str
    address: str = ''
    data_centre: str = ''


@enum.unique
class OrderKind(enum.Enum):
    """What becomes of one member."""

    # A standby, under the identity of the folder that asked.
    ADD = 'add'
    PROMOTE = 'promote'
    REMOVE = 'remove'


@dataclass(slots=True, frozen=True)
class MemberOrder:
    """One change of one member."""

    name: str
    kind: OrderKind


@dataclass(slots=True, frozen=True)
class VoterCount:
    """Voters that can be counted on, voters that are wanted, and standbys."""

    staying: int
    wanted: int
    standbys: int


def count_voters(
    members: Sequence[MemberView], tolerated_losses: int
) -> VoterCount:
    """Return how many losses of disks the log is ready for."""
    return VoterCount(
        staying=sum(one.is_voter and one.stays for one in members),
        wanted=2 * tolerated_losses + 1,
        standbys=len(_ready_standbys(members)),
    )


def next_order(
    members: Sequence[MemberView],
    candidates: Sequence[Candidate],
    tolerated_losses: int,
) -> MemberOrder | None:
    """Return the change that is due, or nothing.

    A vote moves in two orders: the successor gets one before the other voter
    loses its own, so that what is committed in between is on as many disks.
    A voter without a successor keeps its vote, since it may come back.
    """
    count = count_voters(members, tolerated_losses)
    voters = [member for member in members if member.is_voter]
    if len(voters) > count.wanted and count.staying < len(voters):
        return _take_vote(voters, candidates)
    standbys = _ready_standbys(members)
    if count.staying < count.wanted and standbys:
        return MemberOrder(standbys[0].name, OrderKind.PROMOTE)
    for candidate in candidates:
        if _lost_its_folder(members, candidate):
            return MemberOrder(candidate.name, OrderKind.ADD)
    return _next_standby(members, candidates, count, tolerated_losses)


def vote_moves(
    members: Sequence[Member], candidates: Sequence[Candidate], wanted: int
) -> bool:
    """Tell whether a voter that leaves should wait until its vote moved.

    It should while a process waits for a vote: those without one ask several
    times a second, standbys too. And it should while its successor votes
    beside it: its own vote still counts towards a majority.
    """
    voters = {member.name for member in members if member.voter}
    if len(voters) > wanted:
        return True
    return any(one.name not in voters for one in candidates)


def _take_vote(
    voters: Sequence[MemberView], candidates: Sequence[Candidate]
) -> MemberOrder:
    """Take the vote of one that is silent or leaving, the silent one first."""
    leaving = min(
        (one for one in voters if not one.stays), key=lambda one: one.is_live
    )
    is_back = any(one.name == leaving.name for one in candidates)
    kind = OrderKind.ADD if is_back else OrderKind.REMOVE
    return MemberOrder(leaving.name, kind)


def _next_standby(
    members: Sequence[MemberView],
    candidates: Sequence[Candidate],
    count: VoterCount,
    tolerated_losses: int,
) -> MemberOrder | None:
    standbys = [member for member in members if not member.is_voter]
    staying = sum(member.stays for member in standbys)
    names = {member.name for member in members}
    newcomer = next((one for one in candidates if one.name not in names), None)
    missing = max(tolerated_losses, count.wanted - count.staying) - staying
    if missing > 0 and newcomer is not None:
        return MemberOrder(newcomer.name, OrderKind.ADD)
    gone = next((one for one in standbys if one.is_gone), None)
    return MemberOrder(gone.name, OrderKind.REMOVE) if gone else None


def _ready_standbys(members: Sequence[MemberView]) -> list[MemberView]:
    return [
        member
        for member in members
        if not member.is_voter and member.stays and member.is_caught_up
    ]


def _lost_its_folder(
    members: Sequence[MemberView], candidate: Candidate
) -> bool:
    return any(
        member.name == candidate.name and member.identity != candidate.identity
        for member in members
    )
