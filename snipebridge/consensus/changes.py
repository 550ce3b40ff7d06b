"""The steps by which one order changes one member.

Adding a voter takes two entries of the log: the member becomes a learner,
and a voter once it has caught up. A member whose data folder is new is first
put back to a learner under the new identity, so replacing a lost disk takes
the same order.
"""

import enum

from snipebridge.consensus.core import Core
from snipebridge.consensus.membership import (
    find_member,
    with_member,
    without_member,
)
from snipebridge.rpc.consensus_pb2 import Member, Membership


@enum.unique
class Pending(enum.Enum):
    """Why there is no membership to propose."""

    DONE = 'done'
    NOT_HEARD = 'not_heard'
    CATCHING_UP = 'catching_up'


def next_membership(
    core: Core,
    wanted: Member,
    ordered_s: float,
) -> Membership | Pending:
    """Return the next membership on the way to a wanted member.

    A wanted voter without an identity stands for the data folder that
    answers under its name to a message sent after the order was given. What
    was heard before may come from a folder that is lost since.
    """
    present = find_member(core.membership, wanted.name)
    if present is None:
        return _with(core, wanted, voter=False, identity=wanted.identity)
    identity = wanted.identity or core.seen_identity(wanted.name, ordered_s)
    if wanted.voter and not identity:
        return Pending.NOT_HEARD
    identity = identity or present.identity
    if present.identity not in {'', identity}:
        return _with(core, wanted, voter=False, identity=identity)
    if wanted.voter and not present.voter:
        if core.is_caught_up(wanted.name, identity):
            return _with(core, wanted, voter=True, identity=identity)
        return Pending.CATCHING_UP
    if _differs(present, wanted):
        return _with(
            core, wanted, voter=wanted.voter, identity=present.identity
        )
    return Pending.DONE


def next_removal(core: Core, name: str) -> Membership | Pending:
    """Return the membership without a member, if it is still there."""
    if find_member(core.membership, name) is None:
        return Pending.DONE
    return without_member(core.membership, name)


def _differs(present: Member, wanted: Member) -> bool:
    return (
        present.voter != wanted.voter
        or wanted.address not in {'', present.address}
        or wanted.data_centre not in {'', present.data_centre}
    )


def _with(
    core: Core,
    wanted: Member,
    *,
    voter: bool,
    identity: str,
) -> Membership:
    present = find_member(core.membership, wanted.name) or Member()
    member = Member(
        name=wanted.name,
        identity=identity,
        address=wanted.address or present.address,
        data_centre=wanted.data_centre or present.data_centre,
        voter=voter,
    )
    return with_member(core.membership, member)
