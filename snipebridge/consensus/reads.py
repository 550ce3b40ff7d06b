"""Reads that wait until a quorum confirms the leader."""

from dataclasses import dataclass

from snipebridge.consensus.messages import ReadGrant


@dataclass(slots=True, frozen=True)
class _PendingRead:
    request: int
    index: int
    round: int


class PendingReads:
    """Reads of one leadership, and the answers for the driver."""

    __slots__ = ('_answers', '_pending')

    def __init__(self) -> None:
        """Start empty."""
        self._pending: list[_PendingRead] = []
        self._answers: list[ReadGrant] = []

    def add(self, request: int, index: int, round_number: int) -> None:
        """Let a read wait for a round that is opened after it."""
        self._pending.append(_PendingRead(request, index, round_number))

    def waits_for_round(self, opened: int) -> bool:
        """Tell whether a read needs a round that is not open yet."""
        return bool(self._pending) and self._pending[-1].round > opened

    def grant(self, request: int, index: int) -> None:
        """Answer a read at once."""
        self._answers.append(ReadGrant(request, index, granted=True))

    def confirm(self, round_number: int) -> None:
        """Answer the reads that a quorum has confirmed."""
        waiting = []
        for read in self._pending:
            if read.round <= round_number:
                self.grant(read.request, read.index)
            else:
                waiting.append(read)
        self._pending = waiting

    def refuse_all(self) -> None:
        """Refuse what waits; the leadership is over."""
        self._answers.extend(
            ReadGrant(read.request, 0, granted=False) for read in self._pending
        )
        self._pending = []

    def take(self) -> list[ReadGrant]:
        """Hand the answers over."""
        answers = self._answers
        self._answers = []
        return answers
