"""The routing document as it travels to entries: compressed, once a version.

In a storm of changes each entry gets each new document. A document of
hundreds of routes repeats the same words, so it shrinks to about a tenth, and
the leader compresses it once for all entries.

>>> packed = PackedDocument().pack(7, b'{"version": 7}')
>>> unpack(packed, limit_bytes=100)
b'{"version": 7}'
"""

import zlib

from snipebridge.errors import SnipebridgeError

# The fastest level: a leader packs several versions a second in a storm.
_LEVEL = 1


class PackingError(SnipebridgeError):
    """A packed document is damaged or too large."""

    code = 'packing'


class PackedDocument:
    """The newest document that was packed."""

    __slots__ = ('_packed', '_version')

    def __init__(self) -> None:
        """Start without a document."""
        self._version = 0
        self._packed = b''

    def pack(self, version: int, document: bytes) -> bytes:
        """Return the packed document of a version."""
        if version != self._version:
            self._packed = zlib.compress(document, _LEVEL)
            self._version = version
        return self._packed


def unpack(packed: bytes, limit_bytes: int) -> bytes:
    """Return the document; raises `PackingError` if it can't be trusted.

    At most `limit_bytes` are unpacked, whatever the packed bytes claim.
    """
    decoder = zlib.decompressobj()
    try:
        document = decoder.decompress(packed, limit_bytes)
    except zlib.error as error:
        raise PackingError(f'the document is damaged: {error}') from error
    if not decoder.eof:
        raise PackingError(
            f'the document is cut off, or over {limit_bytes} bytes'
        )
    return document
