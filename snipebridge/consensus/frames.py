"""Records on disk: a mark, a length, a checksum and the payload.

>>> list(read_frames(make_frame(b'x'), 'name'))
[b'x']
"""

import struct
from collections.abc import Iterator

import crc32c

from snipebridge.consensus.errors import CorruptLogError

MARK = b'\xf5SbL'
_HEADER = struct.Struct('<4sII')
_LENGTH = struct.Struct('<I')


def make_frame(payload: bytes) -> bytes:
    """Wrap a payload."""
    return _HEADER.pack(MARK, len(payload), _checksum(payload)) + payload


def read_frame(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, None if it is not whole."""
    if len(content) - offset < _HEADER.size:
        return None
    mark, length, checksum = _HEADER.unpack_from(content, offset)
    start = offset + _HEADER.size
    payload = content[start : start + length]
    if mark != MARK or len(payload) != length:
        return None
    return payload if _checksum(payload) == checksum else None


def read_frames(content: bytes, source: str) -> Iterator[bytes]:
    """Yield the payloads up to a torn tail.

    A frame is written only when the one before is synced. So a bad frame
    with a whole one anywhere behind it is not a torn tail: what was synced
    has changed, and `CorruptLogError` is raised.
    """
    offset = 0
    while offset < len(content):
        payload = read_frame(content, offset)
        if payload is None:
            _refuse_whole_frame_after(content, offset, source)
            return
        yield payload
        offset += frame_size_bytes(payload)


def frame_size_bytes(payload: bytes) -> int:
    """Return how long the frame of a payload is."""
    return _HEADER.size + len(payload)


def _refuse_whole_frame_after(content: bytes, bad: int, source: str) -> None:
    offset = content.find(MARK, bad + 1)
    while offset >= 0:
        if read_frame(content, offset) is not None:
            raise CorruptLogError(
                f'{source}: the record at byte {bad} fails its checksum '
                f'and a whole one follows at byte {offset}',
            )
        offset = content.find(MARK, offset + 1)


def _checksum(payload: bytes) -> int:
    return crc32c.crc32c(payload, crc32c.crc32c(_LENGTH.pack(len(payload))))
