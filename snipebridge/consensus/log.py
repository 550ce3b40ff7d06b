"""The log in memory: the tail after the last cut, and what is synced."""

from collections.abc import Sequence

from snipebridge.consensus.messages import LogBatch
from snipebridge.rpc.consensus_pb2 import LogEntry

ENTRY_OVERHEAD_BYTES = 24


class Log:
    """Entries after the position `start_index`, `start_term`.

    >>> log = Log()
    >>> log.append([LogEntry(term=1, index=1)])
    >>> log.last_index, log.term_at(1), log.term_at(2)
    (1, 1, None)
    """

    __slots__ = (
        '_entries',
        '_handed_index',
        'start_index',
        'start_term',
        'synced_index',
    )

    def __init__(
        self,
        start_index: int = 0,
        start_term: int = 0,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        """Begin with entries that are on disk already."""
        self.start_index = start_index
        self.start_term = start_term
        self._entries = list(entries)
        self.synced_index = self.last_index
        self._handed_index = self.last_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.start_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.start_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None where it is cut or missing."""
        if index == self.start_index:
            return self.start_term
        if self.start_index < index <= self.last_index:
            return self._entries[index - self.start_index - 1].term
        return None

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Tell whether a log that ends there holds all that this one may."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def between(
        self,
        first: int,
        last: int,
        limit_bytes: int | None = None,
    ) -> list[LogEntry]:
        """Return entries `first` to `last`, at least one within the limit."""
        offset = self.start_index + 1
        chosen = self._entries[first - offset : last - offset + 1]
        if limit_bytes is None:
            return chosen
        size_bytes = 0
        for position, entry in enumerate(chosen):
            size_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if position and size_bytes > limit_bytes:
                return chosen[:position]
        return chosen

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries that follow the last one."""
        self._entries.extend(entries)

    def truncate_after(self, index: int) -> None:
        """Drop the entries after an index."""
        del self._entries[index - self.start_index :]
        self.synced_index = min(self.synced_index, index)
        self._handed_index = min(self._handed_index, index)

    def cut(self, index: int) -> None:
        """Drop the entries up to an index, which a snapshot holds."""
        if index <= self.start_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.start_index]
        self.start_index = index
        self.start_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop everything and begin after a snapshot."""
        self._entries.clear()
        self.start_index = index
        self.start_term = term
        self.synced_index = index
        self._handed_index = index

    def take_batch(self) -> LogBatch:
        """Return what has not been handed to the storage yet."""
        previous = self._handed_index
        self._handed_index = self.last_index
        return LogBatch(
            previous,
            self.term_at(previous) or 0,
            self.between(previous + 1, self.last_index),
        )

    def mark_synced(self, batch: LogBatch) -> None:
        """Note that a batch is on disk, unless it was overwritten since."""
        if self.term_at(batch.last_index) == batch.last_term:
            self.synced_index = max(self.synced_index, batch.last_index)
