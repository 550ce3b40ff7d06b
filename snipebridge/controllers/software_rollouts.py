"""Replicated state of software roll-outs of services: orders and progress.

Whether an order is new or was sent again is decided by the leader, which gives
each new one the next number of its service. An order with another number lost
to one that was given meanwhile. So the state is the same at all processes,
whatever their clocks say.

>>> rollouts = SoftwareRollouts()
>>> order = SoftwareRolloutCommand(
...     service='s', target='v2', state='active', duration_s=9.0, number=1
... )
>>> rollouts.apply(order, now_ms=0).code == CommandResult.OK
True
>>> rollouts.apply(order, now_ms=0).code == CommandResult.CONFLICT
True
>>> rollouts.by_service['s'].number
1
"""

from collections.abc import Mapping, Sequence
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

# Orders of earlier releases have no number: those of the target in force are
# repeats of it for this long, as these releases apply them.
_UNNUMBERED_WINDOW_MS = 15_000
# Replicas of a version that was rolled back are gone some seconds later.
_MAX_REJECTED = 8
# Several times the orders that operators may have under way at once.
_MAX_ORDERS = 32
_WHOLE_PERMILLE = 1000
# 30 days: an order of more is a mistake. Logs of earlier releases may have one.
MAX_DURATION_S = 2_592_000.0


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


@dataclass(slots=True)
class SoftwareOrder:
    """An order that was accepted, also one that a later order replaced."""

    number: int
    target: str
    duration_ms: int
    ordered_at_ms: int


class SoftwareRollouts:
    """Replicated state: the last roll-out and the last orders of services."""

    __slots__ = ('_in_use', '_orders', '_rejected', 'by_service')

    def __init__(self) -> None:
        """Start without roll-outs."""
        self.by_service: dict[str, SoftwareRolloutState] = {}
        # Versions that were rolled back before the last order, by service.
        self._rejected: dict[str, list[str]] = {}
        self._orders: dict[str, list[SoftwareOrder]] = {}
        self._in_use: dict[str, str] = {}

    def rejected(self, service: str) -> list[str]:
        """Return the versions that an earlier roll-out rolled back.

        Their replicas may still be up, and are not of the version in use.
        """
        return self._rejected.get(service, [])

    def in_use(self, service: str) -> str:
        """Return the version that was rolled out last, empty if not known.

        A version whose trial a later order cut short isn't one.
        """
        return self._in_use.get(service, '')

    def orders(self, service: str) -> Sequence[SoftwareOrder]:
        """Return the last orders of a service, the oldest first."""
        return self._orders.get(service, ())

    def all_orders(self) -> Mapping[str, Sequence[SoftwareOrder]]:
        """Return the last orders by service."""
        return self._orders

    def last_number(self, service: str) -> int:
        """Return the number of the last order, 0 without one."""
        orders = self.orders(service)
        return orders[-1].number if orders else 0

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

    def dump_orders(self) -> dict[str, list]:
        """Return the last orders as JSON types, apart from `dump` as well."""
        return {
            service: [astuple(one) for one in orders]
            for service, orders in self._orders.items()
        }

    def load_orders(self, state: dict[str, list]) -> None:
        """Replace the orders with dumped ones.

        A snapshot of an earlier release has none: the roll-outs in force, which
        are loaded before, stand for their orders.
        """
        self._orders = {
            rollout.service: [
                SoftwareOrder(
                    rollout.number,
                    rollout.target,
                    rollout.duration_ms,
                    rollout.ordered_at_ms,
                )
            ]
            for rollout in self.by_service.values()
        }
        for service, orders in state.items():
            self._orders[service] = [SoftwareOrder(*one) for one in orders]

    def dump_in_use(self) -> dict[str, str]:
        """Return the versions in use, apart from `dump` as well."""
        return self._in_use

    def load_in_use(self, state: dict[str, str]) -> None:
        """Replace the versions in use with dumped ones.

        Of a snapshot of an earlier release, those that were rolled out are
        known.
        """
        completed = {
            one.service: one.target
            for one in self.by_service.values()
            if one.state == COMPLETED
        }
        self._in_use = {**completed, **state}

    def _order(
        self, command: SoftwareRolloutCommand, now_ms: int
    ) -> CommandResult:
        known = self.by_service.get(command.service)
        if not command.number and _repeats(known, command, now_ms):
            return duplicate(number=known.number)
        number = self.last_number(command.service) + 1
        if command.number not in {0, number}:
            return conflict('another order was given meanwhile')
        self._note_order(number, command, now_ms)
        if _is_under_way(known, command):
            # Its trial goes on, with the time that the new order leaves.
            return accepted(number=known.number)
        if command.in_use:
            self._in_use.setdefault(command.service, command.in_use)
        is_in_use = self.in_use(command.service) == command.target
        self._note_rejected(known, command)
        self.by_service[command.service] = SoftwareRolloutState(
            service=command.service,
            target=command.target,
            state=ACTIVE,
            share_permille=_WHOLE_PERMILLE if is_in_use else 0,
            number=number,
            ordered_at_ms=now_ms,
            duration_ms=duration_ms(command),
        )
        return accepted(number=number)

    def _note_order(
        self, number: int, command: SoftwareRolloutCommand, now_ms: int
    ) -> None:
        order = SoftwareOrder(
            number, command.target, duration_ms(command), now_ms
        )
        orders = [*self.orders(command.service), order]
        self._orders[command.service] = orders[-_MAX_ORDERS:]

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
        if command.number not in {0, self.last_number(command.service)}:
            return conflict('another order was given meanwhile')
        if known.state != ACTIVE:
            return duplicate(number=known.number)
        if command.state == COMPLETED:
            self._in_use[command.service] = command.target
        known.state = command.state
        known.share_permille = command.share_permille
        known.reason = command.reason
        return accepted(number=known.number)


def duration_ms(command: SoftwareRolloutCommand) -> int:
    """Return the time that an order gives its roll-out."""
    return int(min(command.duration_s, MAX_DURATION_S) * 1000)


def _is_under_way(
    known: SoftwareRolloutState | None, command: SoftwareRolloutCommand
) -> bool:
    return (
        known is not None
        and known.state == ACTIVE
        and known.target == command.target
    )


def _repeats(
    known: SoftwareRolloutState | None,
    command: SoftwareRolloutCommand,
    now_ms: int,
) -> bool:
    """Tell whether earlier releases take an order for the one in force."""
    if known is None or known.target != command.target:
        return False
    is_recent = now_ms - known.ordered_at_ms < _UNNUMBERED_WINDOW_MS
    return known.state == ACTIVE or is_recent
