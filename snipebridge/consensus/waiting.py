"""Callers of a replica that wait for the log."""

import asyncio
from collections.abc import Sequence

from snipebridge.consensus.errors import OutcomeUnknownError
from snipebridge.rpc.commands_pb2 import CommandResult


class Submission:
    """One call of `submit`: some indexes of one term and their results."""

    __slots__ = ('_found', '_term', 'future', 'indexes')

    def __init__(self, first: int, count: int, term: int) -> None:
        """Wait for `count` entries from an index on."""
        self.indexes = range(first, first + count)
        self._found: list[CommandResult] = []
        self._term = term
        self.future: asyncio.Future = asyncio.Future()

    def resolve(self, index: int, term: int, found: CommandResult) -> None:
        """Take the result of an entry, if it is the one submitted."""
        if self.future.done():
            return
        if term != self._term:
            self.fail(OutcomeUnknownError('another leader wrote the entry'))
            return
        self._found.append(found)
        if index == self.indexes[-1]:
            self.future.set_result(self._found)

    def fail(self, error: Exception) -> None:
        """Tell the caller that it can't know."""
        if not self.future.done():
            self.future.set_exception(error)


class Submissions:
    """Submissions by the indexes they wait for."""

    __slots__ = ('_waiting',)

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: dict[int, Submission] = {}

    def add(self, first: int, count: int, term: int) -> asyncio.Future:
        """Wait for entries."""
        submission = Submission(first, count, term)
        for index in submission.indexes:
            self._waiting[index] = submission
        return submission.future

    def resolve(self, index: int, term: int, found: CommandResult) -> None:
        """Hand the result of an applied entry to its submission."""
        submission = self._waiting.pop(index, None)
        if submission is not None:
            submission.resolve(index, term, found)

    def fail_all(self, error: Exception) -> None:
        """Fail all that wait."""
        waiting = self._waiting
        self._waiting = {}
        for submission in waiting.values():
            submission.fail(error)


class Barriers:
    """Reads: first they wait for a grant, then for the machine."""

    __slots__ = ('_applying', '_asked', '_number')

    def __init__(self) -> None:
        """Start empty."""
        self._number = 0
        self._asked: dict[int, asyncio.Future] = {}
        self._applying: list[tuple[int, asyncio.Future]] = []

    def add(self) -> tuple[int, asyncio.Future]:
        """Return the number of a new read and what to wait for."""
        self._number += 1
        future: asyncio.Future = asyncio.Future()
        self._asked[self._number] = future
        return self._number, future

    def grant(self, request: int, index: int) -> None:
        """Let a read wait for the machine to reach an index."""
        future = self._asked.pop(request, None)
        if future is not None:
            self._applying.append((index, future))

    def refuse(self, request: int, error: Exception) -> None:
        """Fail a read."""
        future = self._asked.pop(request, None)
        if future is not None and not future.done():
            future.set_exception(error)

    def reached(self, applied_index: int) -> None:
        """Release the reads that the machine covers."""
        waiting = []
        for index, future in self._applying:
            if index > applied_index:
                waiting.append((index, future))
            elif not future.done():
                future.set_result(None)
        self._applying = waiting

    def fail_all(self, error: Exception) -> None:
        """Fail all that wait."""
        futures: Sequence[asyncio.Future] = [
            *self._asked.values(),
            *(future for _, future in self._applying),
        ]
        self._asked = {}
        self._applying = []
        for future in futures:
            if not future.done():
                future.set_exception(error)
