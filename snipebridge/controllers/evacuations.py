"""Replicated state of the data centres that the operators evacuate.

It is kept beside configuration and roll-outs, since an order that was
acknowledged must survive the loss of all processes at once. Orders are resent
until they are acknowledged; the leader numbers those of a data centre that are
new, as it does with the orders of roll-outs. One that is in force already is
accepted and kept too, since its copies may come after its opposite.

>>> evacuations = Evacuations()
>>> order = EvacuationCommand(data_centre='tunis-a', number=1)
>>> evacuations.apply(order, now_ms=0).code == CommandResult.OK
True
>>> evacuations.apply(order, now_ms=9).code == CommandResult.CONFLICT
True
>>> evacuations.in_force
['tunis-a']
"""

from collections.abc import Mapping, Sequence
from dataclasses import astuple, dataclass

from snipebridge.controllers.results import (
    accepted,
    conflict,
    duplicate,
    invalid,
)
from snipebridge.rpc.commands_pb2 import CommandResult, EvacuationCommand

# Several times the orders that operators may have under way at once.
_MAX_CHANGES = 32
# Any name is accepted, as the list of replicas may be late.
_MAX_NAMES = 256


@dataclass(slots=True)
class EvacuationChange:
    """An evacuation or a withdrawal that was accepted."""

    number: int
    withdrawn: bool
    ordered_at_ms: int


class Evacuations:
    """The evacuated data centres, and when each was ordered."""

    __slots__ = ('_changes', '_ordered_at_ms')

    def __init__(self) -> None:
        """Start without an evacuation."""
        self._ordered_at_ms: dict[str, int] = {}
        self._changes: dict[str, list[EvacuationChange]] = {}

    @property
    def in_force(self) -> list[str]:
        """Return the evacuated data centres, sorted."""
        return sorted(self._ordered_at_ms)

    def is_evacuated(self, data_centre: str) -> bool:
        """Tell whether an evacuation is in force."""
        return data_centre in self._ordered_at_ms

    def changes(self, data_centre: str) -> Sequence[EvacuationChange]:
        """Return the last changes of a data centre, the oldest first."""
        return self._changes.get(data_centre, ())

    def all_changes(self) -> Mapping[str, Sequence[EvacuationChange]]:
        """Return the last changes by data centre."""
        return self._changes

    def last_number(self, data_centre: str) -> int:
        """Return the number of the last change, 0 without one."""
        changes = self.changes(data_centre)
        return changes[-1].number if changes else 0

    def apply(self, command: EvacuationCommand, now_ms: int) -> CommandResult:
        """Evacuate a data centre, or withdraw its evacuation."""
        name = command.data_centre
        if not name:
            return invalid('an evacuation names no data centre')
        is_in_force = self.is_evacuated(name) is not command.withdrawn
        if is_in_force and not command.number:
            return duplicate()
        number = self.last_number(name) + 1
        if command.number not in {0, number}:
            return conflict('another order was given meanwhile')
        if command.withdrawn:
            self._ordered_at_ms.pop(name, None)
        else:
            self._ordered_at_ms.setdefault(name, now_ms)
        change = EvacuationChange(number, command.withdrawn, now_ms)
        self._changes[name] = [*self.changes(name), change][-_MAX_CHANGES:]
        self._forget_names()
        return accepted(number=number)

    def dump(self) -> list:
        """Return the state as JSON types."""
        return sorted(self._ordered_at_ms.items())

    def load(self, state: list) -> None:
        """Replace the state with a dumped one."""
        self._ordered_at_ms = dict(state)

    def dump_changes(self) -> dict[str, list]:
        """Return the last changes as JSON types.

        Apart from `dump`, whose form earlier releases read.
        """
        return {
            name: [astuple(one) for one in changes]
            for name, changes in self._changes.items()
        }

    def load_changes(self, state: dict[str, list]) -> None:
        """Replace the changes with dumped ones.

        A snapshot of an earlier release has none: the evacuations in force,
        which are loaded before, stand for theirs.
        """
        self._changes = {
            name: [EvacuationChange(1, False, ordered_at_ms)]
            for name, ordered_at_ms in self._ordered_at_ms.items()
        }
        for name, changes in state.items():
            self._changes[name] = [EvacuationChange(*one) for one in changes]

    def _forget_names(self) -> None:
        """Forget the data centre that was withdrawn first, above a limit."""
        withdrawn = self._changes.keys() - self._ordered_at_ms.keys()
        if withdrawn and len(self._changes) > _MAX_NAMES:
            oldest = min(
                withdrawn,
                key=lambda one: (self._changes[one][-1].ordered_at_ms, one),
            )
            self._changes.pop(oldest)
