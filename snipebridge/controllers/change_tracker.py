"""Tracks which changes each reader has not received yet.

A heartbeat reply carries only changes that the entry lacks. The changes of a
reply count as delivered once the entry sends its next report; when it resends
the same report, the reply was lost and its changes are sent again.

>>> changes = ChangeTracker()
>>> changes.record_change('a')
>>> changes.next_batch('reader', limit=10)
['a']
>>> changes.acknowledge('reader')
>>> changes.next_batch('reader', limit=10)
[]
"""

import itertools
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)


@dataclass(slots=True)
class _ReaderPosition:
    acknowledged: int = 0
    sent: int = 0


class ChangeTracker(Generic[Key]):
    """Keys in the order of their last change, with a position per reader."""

    __slots__ = ('_last_revision', '_readers', '_revisions')

    def __init__(self) -> None:
        """Start without changes."""
        self._last_revision = 0
        self._revisions: dict[Key, int] = {}
        self._readers: dict[str, _ReaderPosition] = {}

    def record_change(self, key: Key) -> None:
        """Record a change of the key."""
        self._last_revision += 1
        # Removed first, so that the key moves to the end.
        self._revisions.pop(key, None)
        self._revisions[key] = self._last_revision

    def remove(self, key: Key) -> None:
        """Remove a deleted key."""
        self._revisions.pop(key, None)

    def next_batch(self, reader: str, limit: int) -> list[Key]:
        """Return the oldest changes the reader lacks, up to a limit."""
        position = self._readers.setdefault(reader, _ReaderPosition())
        newer = itertools.takewhile(
            lambda key: self._revisions[key] > position.acknowledged,
            reversed(self._revisions),
        )
        due = list(newer)
        due.reverse()
        due = due[:limit]
        position.sent = (
            self._revisions[due[-1]] if due else position.acknowledged
        )
        return due

    def acknowledge(self, reader: str) -> None:
        """Record that the reader received the last batch sent to it."""
        position = self._readers.setdefault(reader, _ReaderPosition())
        position.acknowledged = max(position.acknowledged, position.sent)

    def reset_reader(self, reader: str) -> None:
        """Discard the position of a reader that lost its state."""
        self._readers.pop(reader, None)
