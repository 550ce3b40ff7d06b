"""`POST /admin/v1/members`: changes of the control processes.

The actions are `add` (a member that does not vote), `promote` (it votes once
it has caught up), `remove`, and `replace`, one command for a dead host.
"""

from dataclasses import dataclass
from http import HTTPStatus

import orjson

from snipebridge.admin.messages import AdminError
from snipebridge.consensus.interfaces import Replica
from snipebridge.rpc.consensus_pb2 import Member

_ACTIONS = ('add', 'promote', 'remove', 'replace')
_TEXT_FIELDS = ('action', 'name', 'address', 'data_centre', 'identity', 'dead')
_ADDING = frozenset(('add', 'replace'))


@dataclass(slots=True)
class MemberChange:
    """What an operator asks for; `dead` is the member to be replaced."""

    action: str
    name: str
    address: str = ''
    data_centre: str = ''
    identity: str = ''
    dead: str = ''


def read_member_change(body: str) -> MemberChange:
    """Return the change of a request's body; raises `AdminError`."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise AdminError(
            HTTPStatus.BAD_REQUEST, 'bad_json', f'not valid JSON: {error}'
        ) from error
    fault = _fault(document)
    if fault:
        raise AdminError(
            HTTPStatus.UNPROCESSABLE_ENTITY, 'invalid_change', fault
        )
    return MemberChange(**document)


async def apply_member_change(replica: Replica, change: MemberChange) -> None:
    """Make the change; a change that is already made is no error.

    A replacement first brings in the new member, which votes once it has
    caught up, and then takes out the dead one, so a failure in between
    leaves a member too many and not one too few. The same name for both
    stands for a host that lost its disk.
    """
    known = {member.name: member for member in replica.members()}
    if change.action == 'remove':
        gone = known.get(change.name) or Member(name=change.name)
        await replica.change_member(gone, remove=True)
        return
    if change.action == 'promote' and change.name not in known:
        raise AdminError(
            HTTPStatus.NOT_FOUND,
            'no_member',
            f'name: found {change.name!r}, allowed are '
            f'{", ".join(sorted(known))}',
        )
    member = Member(
        name=change.name,
        identity=change.identity,
        address=change.address,
        data_centre=change.data_centre,
        voter=change.action != 'add',
    )
    await replica.change_member(member, remove=False)
    if change.action == 'replace' and change.dead != change.name:
        dead = known.get(change.dead) or Member(name=change.dead)
        await replica.change_member(dead, remove=True)


def _fault(document) -> str:
    if not isinstance(document, dict):
        return '(document): allowed is an object'
    for key, found in sorted(document.items()):
        if key not in _TEXT_FIELDS or not isinstance(found, str):
            allowed = ', '.join(_TEXT_FIELDS)
            return f'{key}: allowed are these keys with texts: {allowed}'
    action = document.get('action')
    if action not in _ACTIONS:
        return f'action: found {action!r}, allowed are {", ".join(_ACTIONS)}'
    if not document.get('name'):
        return 'name: is missing'
    if action in _ADDING and not document.get('address'):
        return 'address: is missing'
    if action == 'replace' and not document.get('dead'):
        return 'dead: is missing'
    return ''
