"""Who votes: the membership entries of the log and the checks on a change."""

from collections.abc import Iterable, Sequence

from snipebridge.consensus.errors import MembershipChangeError
from snipebridge.rpc.consensus_pb2 import Member, Membership


def quorum_size(count: int) -> int:
    """Return the smallest majority.

    >>> quorum_size(3), quorum_size(4)
    (2, 3)
    """
    return count // 2 + 1


def quorum_value(found: Iterable[float]) -> float:
    """Return the largest value that a majority has reached.

    >>> quorum_value([3, 1, 2])
    2
    """
    ordered = sorted(found, reverse=True)
    return ordered[quorum_size(len(ordered)) - 1]


class Electorate:
    """The memberships that the log holds, the last one being in force.

    A membership is in force as soon as it is in the log; when the log drops
    the entry, the one before is in force again. A log without a membership
    is blank: its electorate is the list of the settings, whose identities
    are not known, and only a unanimous vote counts there.
    """

    __slots__ = ('_history', 'initial')

    def __init__(
        self,
        initial: Sequence[Member],
        index: int = 0,
        membership: Membership | None = None,
    ) -> None:
        """Begin with the membership of a snapshot, or blank."""
        self.initial = tuple(initial)
        self._history: list[tuple[int, Membership]] = []
        if membership is not None:
            self._history.append((index, membership))

    @property
    def is_blank(self) -> bool:
        """Tell whether the log holds no membership."""
        return not self._history

    @property
    def index(self) -> int:
        """Return the index of the membership in force."""
        return self._history[-1][0] if self._history else 0

    @property
    def current(self) -> Membership:
        """Return the membership in force."""
        return self._history[-1][1] if self._history else Membership()

    def at(self, index: int) -> Membership:
        """Return the membership in force as of an index."""
        found = Membership()
        for position, membership in self._history:
            if position <= index:
                found = membership
        return found

    def append(self, index: int, membership: Membership) -> None:
        """Put a membership in force."""
        self._history.append((index, membership))

    def truncate_after(self, index: int) -> None:
        """Forget the memberships of dropped entries."""
        while self._history and self._history[-1][0] > index:
            self._history.pop()

    def cut(self, index: int) -> None:
        """Forget the memberships that a cut log can't return to."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def reset(self, index: int, membership: Membership) -> None:
        """Begin again with the membership of a snapshot."""
        self._history = [(index, membership)]

    def member(self, name: str) -> Member | None:
        """Return a member by name."""
        return find_member(self.current, name)

    def voters(self) -> list[Member]:
        """Return the members that vote."""
        return [member for member in self.current.members if member.voter]

    def counts(self, name: str, identity: str) -> bool:
        """Tell whether a voice from that data folder counts."""
        member = self.member(name)
        return (
            member is not None
            and member.voter
            and bool(identity)
            and member.identity == identity
        )

    def may_stand(self, name: str, identity: str, commit_index: int) -> bool:
        """Tell whether a replica is a voter by any membership not settled.

        A leader that removed itself and crashed may be the only one to hold
        the entry. The others need its vote by the old membership and it
        gives none to a shorter log, so it has to stand itself, although it
        does not count by the new one.
        """
        settled = self.at(commit_index)
        pending = [one for index, one in self._history if index > commit_index]
        return any(
            member.voter and (member.name, member.identity) == (name, identity)
            for membership in (settled, *pending)
            for member in membership.members
        )

    def electors(self) -> list[str]:
        """Return the names to ask for a vote."""
        if self.is_blank:
            return [member.name for member in self.initial]
        return [member.name for member in self.voters()]

    def elects(self, granted: dict[str, str]) -> bool:
        """Tell whether grants, name to identity, make a leader."""
        if self.is_blank:
            return all(member.name in granted for member in self.initial)
        votes = sum(
            self.counts(name, identity) for name, identity in granted.items()
        )
        return votes >= quorum_size(len(self.voters()))

    def identified(self, granted: dict[str, str]) -> Membership:
        """Return the first membership, from the grants of a unanimous vote."""
        members = [_copied(member) for member in self.initial]
        for member in members:
            member.identity = granted[member.name]
            member.voter = True
        return Membership(members=members)


def find_member(membership: Membership, name: str) -> Member | None:
    """Return a member by name."""
    for member in membership.members:
        if member.name == name:
            return member
    return None


def with_member(membership: Membership, member: Member) -> Membership:
    """Return the membership with one member added or replaced."""
    return Membership(members=[*_others(membership, member.name), member])


def without_member(membership: Membership, name: str) -> Membership:
    """Return the membership without one member."""
    return Membership(members=_others(membership, name))


def check_change(old: Membership, new: Membership) -> None:
    """Refuse a change that could leave two majorities without overlap."""
    changed = _voter_keys(old) ^ _voter_keys(new)
    if len(changed) > 1:
        raise MembershipChangeError('only one voter may change at a time')
    if not _voter_keys(new):
        raise MembershipChangeError('the last voter can not be removed')
    if any(not identity for _, identity in _voter_keys(new)):
        raise MembershipChangeError('a voter needs the identity of its folder')


def _others(membership: Membership, name: str) -> list[Member]:
    return [member for member in membership.members if member.name != name]


def _voter_keys(membership: Membership) -> set[tuple[str, str]]:
    return {
        (member.name, member.identity)
        for member in membership.members
        if member.voter
    }


def _copied(member: Member) -> Member:
    copied = Member()
    copied.CopyFrom(member)
    return copied
