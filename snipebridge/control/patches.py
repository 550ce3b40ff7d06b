"""Patches that the leader itself makes to the configuration."""

import orjson

from snipebridge.control.leader import Leadership
from snipebridge.controllers.configuration import SYSTEM_OPERATOR
from snipebridge.logs import log_event
from snipebridge.rpc.commands_pb2 import Command, CommandResult, PatchCommand

_PATCH_ATTEMPTS = 3
_ACCEPTED = frozenset((CommandResult.OK, CommandResult.DUPLICATE))


async def patch_by_system(
    leadership: Leadership, purpose: str, change: dict
) -> bool:
    """Submit a merge patch; tell whether it was accepted.

    An operator's patch may come in between; then the next number is taken.
    """
    result = CommandResult()
    for _ in range(_PATCH_ATTEMPTS):
        command = _make_patch(leadership, purpose, change)
        results = await leadership.replica.submit([command])
        result = results[0]
        if result.code != CommandResult.CONFLICT:
            break
    if result.code not in _ACCEPTED:
        log_event('patch_refused', purpose=purpose, message=result.message)
    return result.code in _ACCEPTED


def _make_patch(leadership: Leadership, purpose: str, change: dict) -> Command:
    number = leadership.machine.configuration.number
    return Command(
        patch=PatchCommand(
            operator=SYSTEM_OPERATOR,
            idempotency_key=f'{purpose}:{number}',
            base_number=number,
            patch=orjson.dumps(change),
        )
    )
