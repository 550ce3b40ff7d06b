"""What changed since a reader last heard of it.

A reply to a heartbeat carries only what is new to the entry. What a reply
carried counts as delivered once the entry sends its next report; when it
sends the same report again, the reply was lost and its content is due again.

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
class _Reader:
    confirmed: int = 0
    sent: int = 0


class ChangeTracker(Generic[Key]):
    """Keys in the order of their last change, and what readers have of it."""

    __slots__ = ('_last', '_readers', '_revisions')

    def __init__(self) -> None:
        """Start without a change."""
        self._last = 0
        self._revisions: dict[Key, int] = {}
        self._readers: dict[str, _Reader] = {}

    def record_change(self, key: Key) -> None:
        """Note a change of the key."""
        self._last += 1
        # Taken out first, so that the newest change stands last.
        self._revisions.pop(key, None)
        self._revisions[key] = self._last

    def remove(self, key: Key) -> None:
        """Forget a key that is gone."""
        self._revisions.pop(key, None)

    def next_batch(self, reader: str, limit: int) -> list[Key]:
        """Return the oldest changes that the reader lacks."""
        known = self._readers.setdefault(reader, _Reader())
        newer = itertools.takewhile(
            lambda key: self._revisions[key] > known.confirmed,
            reversed(self._revisions),
        )
        due = list(newer)
        due.reverse()
        due = due[:limit]
        known.sent = self._revisions[due[-1]] if due else known.confirmed
        return due

    def acknowledge(self, reader: str) -> None:
        """Note that the reader has what was sent to it last."""
        known = self._readers.setdefault(reader, _Reader())
        known.confirmed = max(known.confirmed, known.sent)

    def reset_reader(self, reader: str) -> None:
        """Start over with a reader that lost what it knew."""
        self._readers.pop(reader, None)
