"""Replicated state of software roll-outs of services: orders and progress.

>>> rollouts = SoftwareRollouts()
>>> order = SoftwareRolloutCommand(
...     service='s', target='v2', state='active', duration_s=9.0
... )
>>> rollouts.apply(order, now_ms=0).code == CommandResult.OK
True
>>> rollouts.by_service['s'].number
1
"""

from dataclasses import astuple, dataclass

from snipebridge.controllers.results import (
    accepted,
    conflict,
    duplicate,
    invalid,
)
from snipebridge.rpc.commands_pb2 import CommandResult, SoftwareRolloutCommand

ACTIVE = 'active'
COMPLETED = 'completed'
REVERTED = 'reverted'
_STATES = (ACTIVE, COMPLETED, REVERTED)

# A repeated order within this time counts as a resend: clients of operators
# retry for a few seconds only.
RESEND_WINDOW_MS = 15_000
# Replicas of a version that was rolled back are gone some seconds later.
_MAX_REJECTED = 8


@dataclass(slots=True)
class SoftwareRolloutState:
    """The last roll-out that was ordered for a service."""

    service: str
    target: str
    state: str
    share_permille: int
    number: int
    ordered_at_ms: int
    duration_ms: int
    reason: str = ''


class SoftwareRollouts:
    """Replicated state: the last roll-out of each service."""

    __slots__ = ('_rejected', 'by_service')

    def __init__(self) -> None:
        """Start without roll-outs."""
        self.by_service: dict[str, SoftwareRolloutState] = {}
        # Versions that were rolled back before the last order, by service.
        self._rejected: dict[str, list[str]] = {}

    def rejected(self, service: str) -> list[str]:
        """Return the versions that an earlier roll-out rolled back.

        Their replicas may still be up, and are not of the version in use.
        """
        return self._rejected.get(service, [])

    def apply(
        self, command: SoftwareRolloutCommand, now_ms: int
    ) -> CommandResult:
        """Apply an order, or a step of a running roll-out."""
        if command.state not in _STATES:
            return invalid(f'state: found {command.state!r}')
        if command.duration_s:
            return self._order(command, now_ms)
        return self._advance(command)

    def dump(self) -> list:
        """Return the state as JSON types."""
        return [astuple(one) for _, one in sorted(self.by_service.items())]

    def load(self, state: list) -> None:
        """Replace the state with a dumped one."""
        rollouts = [SoftwareRolloutState(*one) for one in state]
        self.by_service = {one.service: one for one in rollouts}

    def dump_rejected(self) -> dict[str, list[str]]:
        """Return the rejected versions as JSON types.

        Apart from `dump`, whose form earlier releases read.
        """
        return self._rejected

    def load_rejected(self, state: dict[str, list[str]]) -> None:
        """Replace the rejected versions with dumped ones."""
        self._rejected = state

    def _order(
        self, command: SoftwareRolloutCommand, now_ms: int
    ) -> CommandResult:
        known = self.by_service.get(command.service)
        if known is not None and _is_resent(known, command, now_ms):
            return duplicate(number=known.number)
        number = known.number + 1 if known else 1
        self._note_rejected(known, command)
        self.by_service[command.service] = SoftwareRolloutState(
            service=command.service,
            target=command.target,
            state=ACTIVE,
            share_permille=0,
            number=number,
            ordered_at_ms=now_ms,
            duration_ms=int(command.duration_s * 1000),
        )
        return accepted(number=number)

    def _note_rejected(
        self,
        known: SoftwareRolloutState | None,
        command: SoftwareRolloutCommand,
    ) -> None:
        rejected = self._rejected.pop(command.service, [])
        if known is not None and known.state == REVERTED:
            rejected = [*rejected, known.target]
        # A version may be ordered again.
        kept = [one for one in rejected if one != command.target]
        if kept:
            self._rejected[command.service] = kept[-_MAX_REJECTED:]

    def _advance(self, command: SoftwareRolloutCommand) -> CommandResult:
        known = self.by_service.get(command.service)
        if known is None or known.target != command.target:
            return conflict('another roll-out is under way')
        if known.state != ACTIVE:
            return duplicate(number=known.number)
        known.state = command.state
        known.share_permille = command.share_permille
        known.reason = command.reason
        return accepted(number=known.number)


def _is_resent(
    known: SoftwareRolloutState, command: SoftwareRolloutCommand, now_ms: int
) -> bool:
    if known.target != command.target:
        return False
    is_recent = now_ms - known.ordered_at_ms < RESEND_WINDOW_MS
    return known.state == ACTIVE or is_recent
