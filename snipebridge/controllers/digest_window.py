"""A compact set of key digests that expire by generation.

There is one digest per bill, too many for a Python set, which takes about
100 bytes for each 16-byte digest.

>>> window = DigestWindow(retention_ms=1000)
>>> window.add(make_digest('a', '1'), retained_from_ms=0, now_ms=0)
>>> make_digest('a', '1') in window
True
"""

import hashlib

from snipebridge.controllers.digest_groups import (
    DIGEST_BYTES,
    OpenGroups,
    SealedGroups,
    load_open,
    load_sealed,
)

GENERATIONS_PER_RETENTION = 4


def make_digest(account: str, request_id: str) -> bytes:
    """Return the digest of a bill's key.

    Callers choose request ids, so the digest must resist collisions. The
    length prefix distinguishes pairs with equal concatenations.
    """
    text = f'{len(account)}:{account}{request_id}'
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


class DigestWindow:
    """Digests grouped into generations that expire as a whole.

    A digest belongs to the generation of the start of its retention, which
    is never in the past; so earlier generations are sealed.
    """

    __slots__ = (
        '_current_generation',
        '_open',
        '_retention_ms',
        '_sealed',
        '_generation_ms',
    )

    def __init__(self, retention_ms: int) -> None:
        """Retain each digest for at least `retention_ms`."""
        self._retention_ms = retention_ms
        self._generation_ms = max(retention_ms // GENERATIONS_PER_RETENTION, 1)
        self._current_generation = 0
        self._open: dict[int, OpenGroups] = {}
        self._sealed: dict[int, SealedGroups] = {}

    def __contains__(self, digest: bytes) -> bool:
        """Return whether the digest is stored."""
        for opened in self._open.values():
            if digest in opened:
                return True
        return any(digest in sealed for sealed in self._sealed.values())

    def add(self, digest: bytes, retained_from_ms: int, now_ms: int) -> None:
        """Store a digest for the retention from `retained_from_ms` on.

        Neither time may be before the `now_ms` of an earlier call.
        """
        current = now_ms // self._generation_ms
        if current > self._current_generation:
            self._advance_to(current, now_ms)
        number = retained_from_ms // self._generation_ms
        groups = self._open.get(number)
        if groups is None:
            groups = OpenGroups()
            self._open[number] = groups
        groups.add(digest)

    def count(self) -> int:
        """Return the number of stored digests."""
        return sum(map(len, (*self._open.values(), *self._sealed.values())))

    def dump(self) -> dict:
        """Return the state as JSON types."""
        return {
            'current': self._current_generation,
            'open': {
                str(number): groups.dump()
                for number, groups in sorted(self._open.items())
            },
            'sealed': {
                str(number): groups.dump()
                for number, groups in sorted(self._sealed.items())
            },
        }

    def load(self, state: dict) -> None:
        """Replace the state with a dumped one."""
        self._current_generation = state['current']
        self._open = {
            int(number): load_open(groups)
            for number, groups in state['open'].items()
        }
        self._sealed = {
            int(number): load_sealed(groups)
            for number, groups in state['sealed'].items()
        }

    def _advance_to(self, current: int, now_ms: int) -> None:
        self._current_generation = current
        for number in [one for one in self._open if one < current]:
            self._sealed[number] = self._open.pop(number).seal()
        oldest_ms = now_ms - self._retention_ms
        self._sealed = {
            number: groups
            for number, groups in self._sealed.items()
            if (number + 1) * self._generation_ms > oldest_ms
        }
