"""Digests grouped by their first two bytes.

A group stores the remaining 14 bytes of each digest, concatenated. Digests
are uniformly distributed, so an unaligned match is as unlikely as a
collision.

>>> groups = OpenGroups()
>>> groups.add(bytes(range(16)))
>>> sealed = groups.seal()
>>> bytes(range(16)) in groups, bytes(range(16)) in sealed, bytes(16) in sealed
(True, True, False)
"""

import array
import base64
import itertools
import zlib

DIGEST_BYTES = 16

_PREFIX_BYTES = 2
_SUFFIX_BYTES = DIGEST_BYTES - _PREFIX_BYTES
_GROUP_COUNT = 1 << (8 * _PREFIX_BYTES)
_EMPTY_GROUP = b''
_COMPRESSION_LEVEL = 1


class OpenGroups:
    """A mutable set of digests."""

    __slots__ = ('_groups',)

    def __init__(self) -> None:
        """Start without digests."""
        self._groups: dict[int, bytearray] = {}

    def __contains__(self, digest: bytes) -> bool:
        """Return whether the digest is in the set."""
        group = self._groups.get(_prefix(digest))
        return group is not None and digest[_PREFIX_BYTES:] in group

    def __len__(self) -> int:
        """Return the number of digests."""
        sizes = sum(map(len, self._groups.values()))
        return sizes // _SUFFIX_BYTES

    def add(self, digest: bytes) -> None:
        """Add a digest that is not in the set yet."""
        prefix = _prefix(digest)
        group = self._groups.get(prefix)
        if group is None:
            self._groups[prefix] = bytearray(digest[_PREFIX_BYTES:])
        else:
            group += digest[_PREFIX_BYTES:]

    def dump(self) -> dict[str, str]:
        """Return the state as JSON types."""
        prefixes = sorted(self._groups)
        groups = [self._groups[prefix] for prefix in prefixes]
        return {
            'prefixes': _to_text(array.array('H', prefixes).tobytes()),
            'sizes': _to_text(array.array('I', map(len, groups)).tobytes()),
            'rests': _to_text(b''.join(groups)),
        }

    def load(self, state: dict[str, str]) -> None:
        """Replace the state with a dumped one."""
        prefixes = array.array('H', base64.b64decode(state['prefixes']))
        sizes = array.array('I', base64.b64decode(state['sizes']))
        suffixes = base64.b64decode(state['rests'])
        ends = tuple(itertools.accumulate(sizes, initial=0))
        self._groups = {
            prefix: bytearray(suffixes[start:end])
            for prefix, (start, end) in zip(
                prefixes, itertools.pairwise(ends), strict=True
            )
        }

    def seal(self) -> 'SealedGroups':
        """Return the digests in compact, read-only form."""
        groups = [
            self._groups.get(prefix, _EMPTY_GROUP)
            for prefix in range(_GROUP_COUNT)
        ]
        lengths = array.array('I', map(len, groups))
        return SealedGroups(
            b''.join(groups),
            zlib.compress(lengths.tobytes(), _COMPRESSION_LEVEL),
        )


class SealedGroups:
    """A read-only set of digests that takes 14 bytes for each."""

    __slots__ = ('_lengths', '_offsets', '_suffixes')

    def __init__(self, suffixes: bytes, lengths: bytes) -> None:
        """Take the concatenated groups and their compressed lengths."""
        self._suffixes = suffixes
        self._lengths = lengths
        sizes = array.array('I', zlib.decompress(lengths))
        self._offsets = array.array('I', itertools.accumulate(sizes, initial=0))

    def __contains__(self, digest: bytes) -> bool:
        """Return whether the digest is in the set."""
        prefix = _prefix(digest)
        found = self._suffixes.find(
            digest[_PREFIX_BYTES:],
            self._offsets[prefix],
            self._offsets[prefix + 1],
        )
        return found >= 0

    def __len__(self) -> int:
        """Return the number of digests."""
        return len(self._suffixes) // _SUFFIX_BYTES

    def dump(self) -> list[str]:
        """Return the state as JSON types."""
        return [_to_text(self._suffixes), _to_text(self._lengths)]


def load_sealed(state: list[str]) -> SealedGroups:
    """Return the sealed digests of a dump."""
    suffixes, lengths = (base64.b64decode(text) for text in state)
    return SealedGroups(suffixes, lengths)


def load_open(state: dict[str, str]) -> OpenGroups:
    """Return the open digests of a dump."""
    groups = OpenGroups()
    groups.load(state)
    return groups


def _to_text(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _prefix(digest: bytes) -> int:
    return (digest[0] << 8) | digest[1]
