"""A compact set of key digests that forgets whole generations.

Keys at the rate of bills are too many for a Python set: a set spends about
a hundred bytes on a digest of sixteen.

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

    Callers choose request ids, so the digest has to resist collisions. The
    length of the account keeps two pairs with equal concatenation apart.
    """
    text = f'{len(account)}:{account}{request_id}'
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


class DigestWindow:
    """Digests by the generation in which they may be forgotten.

    A digest belongs to the generation of the time that it is kept from,
    which is never in the past; so earlier generations are sealed.
    """

    __slots__ = (
        '_current_generation',
        '_open',
        '_retention_ms',
        '_sealed',
        '_generation_ms',
    )

    def __init__(self, retention_ms: int) -> None:
        """Remember each digest for at least the retention."""
        self._retention_ms = retention_ms
        self._generation_ms = max(retention_ms // GENERATIONS_PER_RETENTION, 1)
        self._current_generation = 0
        self._open: dict[int, OpenGroups] = {}
        self._sealed: dict[int, SealedGroups] = {}

    def __contains__(self, digest: bytes) -> bool:
        """Tell whether the digest is remembered."""
        for opened in self._open.values():
            if digest in opened:
                return True
        return any(digest in sealed for sealed in self._sealed.values())

    def add(self, digest: bytes, retained_from_ms: int, now_ms: int) -> None:
        """Remember a digest for the retention from `retained_from_ms` on.

        Neither time may be before an earlier `now_ms`.
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
        """Return how many digests are remembered."""
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
        """Replace the state by a dumped one."""
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
