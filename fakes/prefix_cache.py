"""Prefix cache of the fake engine and its late, gappy event stream."""

import collections
import time
from dataclasses import dataclass
from typing import Any

from fakes import answers

_KEPT_EVENTS = 10_000


@dataclass(slots=True)
class _Event:
    sequence: int
    kind: str
    prefix: str
    at_s: float


class PrefixCache:
    """Digests of prefixes, the least recently used leaves first."""

    __slots__ = ('_capacity', '_events', '_prefixes', '_sequence')

    def __init__(self, capacity: int) -> None:
        """Hold up to `capacity` prefixes."""
        self._capacity = capacity
        self._prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[_Event] = collections.deque(
            maxlen=_KEPT_EVENTS
        )
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of cached prefixes."""
        return len(self._prefixes)

    def __contains__(self, prefix: str) -> bool:
        """Tell whether the prefix is cached."""
        return prefix in self._prefixes

    def use(self, prompt: str) -> int:
        """Store the prefixes of a prompt; return how many tokens it saved."""
        cached_characters = 0
        for length, prefix in answers.prefix_digests(prompt):
            if prefix in self._prefixes:
                cached_characters = length
            self.store(prefix, length)
        return answers.count_prompt_tokens(prompt[:cached_characters]) * bool(
            cached_characters
        )

    def store(self, prefix: str, length: int) -> None:
        """Put one prefix in, and the oldest out when there is no room."""
        if prefix not in self._prefixes:
            self._note('stored', prefix)
        self._prefixes[prefix] = length
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._capacity:
            evicted = self._prefixes.popitem(last=False)[0]
            self._note('evicted', evicted)

    def length_characters(self, prefix: str) -> int:
        """Return the length of a cached prefix, 0 when it is not cached."""
        return self._prefixes.get(prefix, 0)

    def events(self, after: int, lag_s: float, happens_gap) -> dict[str, Any]:
        """Return the events after a sequence that are older than the lag."""
        ripe_at_s = time.monotonic() - lag_s
        ripe = [
            event
            for event in self._events
            if event.sequence > after and event.at_s <= ripe_at_s
        ]
        last_sequence = ripe[-1].sequence if ripe else after
        shown = [
            {
                'sequence': event.sequence,
                'kind': event.kind,
                'prefix': event.prefix,
            }
            for event in ripe
            if not happens_gap()
        ]
        return {'events': shown, 'last_sequence': last_sequence}

    def _note(self, kind: str, prefix: str) -> None:
        self._sequence += 1
        event = _Event(self._sequence, kind, prefix, time.monotonic())
        self._events.append(event)
