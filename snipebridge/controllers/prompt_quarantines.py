"""Replicated state of the prompt parts that are kept from replicas.

It is replicated because an entry or a leader that forgot a part would learn of
it only from the next replicas that crash.

>>> quarantines = PromptQuarantines()
>>> order = PromptQuarantineCommand(service='s', part='p', reason='r')
>>> quarantines.apply(order, now_ms=0).code == CommandResult.OK
True
>>> [one.part for one in quarantines.in_force(now_ms=1000)]
['p']
>>> quarantines.in_force(now_ms=FIRST_MS)
[]
"""

from dataclasses import astuple, dataclass

from snipebridge.controllers.results import accepted, duplicate, invalid
from snipebridge.rpc.commands_pb2 import (
    CommandResult,
    PromptQuarantineCommand,
)

# A prompt that crashed replicas may be sound after the next release of their
# software. Each further quarantine of the same part lasts twice as long.
FIRST_MS = 600_000
LONGEST_MS = 86_400_000
MAX_PARTS = 64


@dataclass(slots=True)
class PromptQuarantine:
    """One part, since when, and how often it was found."""

    service: str
    part: str
    ordered_at_ms: int
    times: int
    is_lifted: bool = False
    reason: str = ''

    def remaining_ms(self, now_ms: int) -> int:
        """Return how much longer it is in force, 0 if it is not."""
        if self.is_lifted:
            return 0
        lasts_ms = min(LONGEST_MS, FIRST_MS << min(self.times - 1, MAX_PARTS))
        return max(0, self.ordered_at_ms + lasts_ms - now_ms)


class PromptQuarantines:
    """The parts found last, in force or not."""

    __slots__ = ('_by_part',)

    def __init__(self) -> None:
        """Start without a part."""
        self._by_part: dict[tuple[str, str], PromptQuarantine] = {}

    def apply(
        self, command: PromptQuarantineCommand, now_ms: int
    ) -> CommandResult:
        """Put a part under quarantine, or lift it."""
        if not (command.service and command.part):
            return invalid('a quarantine names no service or no part')
        key = (command.service, command.part)
        known = self._by_part.get(key)
        is_in_force = known is not None and known.remaining_ms(now_ms) > 0
        if is_in_force is not command.lifted:
            return duplicate()
        if command.lifted:
            known.is_lifted = True
            known.reason = command.reason
            return accepted()
        times = known.times if known and not known.is_lifted else 0
        self._by_part.pop(key, None)
        self._by_part[key] = PromptQuarantine(
            *key, now_ms, times + 1, reason=command.reason
        )
        while len(self._by_part) > MAX_PARTS:
            self._by_part.pop(next(iter(self._by_part)))
        return accepted()

    def in_force(self, now_ms: int) -> list[PromptQuarantine]:
        """Return the quarantines in force."""
        return [
            one
            for one in self._by_part.values()
            if one.remaining_ms(now_ms) > 0
        ]

    def expired(self, now_ms: int) -> list[PromptQuarantine]:
        """Return those that ended by time and were not lifted."""
        return [
            one
            for one in self._by_part.values()
            if not (one.is_lifted or one.remaining_ms(now_ms))
        ]

    def dump(self) -> list:
        """Return the state as JSON types, in the order of the log."""
        return [astuple(one) for one in self._by_part.values()]

    def load(self, state: list) -> None:
        """Replace the state with a dumped one."""
        quarantines = [PromptQuarantine(*one) for one in state]
        self._by_part = {(one.service, one.part): one for one in quarantines}
