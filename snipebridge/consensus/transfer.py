"""A snapshot in chunks, from a leader to a peer that lags behind the log."""

import crc32c

from snipebridge.consensus.messages import Snapshot
from snipebridge.rpc.consensus_pb2 import Membership, SnapshotChunk

CHUNK_BYTES = 262_144


def make_chunk(snapshot: Snapshot, offset_bytes: int) -> SnapshotChunk:
    """Cut the chunk that begins at an offset."""
    end_bytes = offset_bytes + CHUNK_BYTES
    chunk = snapshot.content[offset_bytes:end_bytes]
    done = end_bytes >= len(snapshot.content)
    return SnapshotChunk(
        last_index=snapshot.last_index,
        last_term=snapshot.last_term,
        membership=snapshot.membership.SerializeToString(),
        offset_bytes=offset_bytes,
        chunk=chunk,
        done=done,
        checksum=crc32c.crc32c(snapshot.content) if done else 0,
    )


class SnapshotAssembly:
    """Chunks received so far of one snapshot."""

    __slots__ = ('_parts', '_position', 'next_offset_bytes')

    def __init__(self) -> None:
        """Start empty."""
        self._parts: list[bytes] = []
        self._position = (0, 0)
        self.next_offset_bytes = 0

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Take a chunk; return the snapshot when it is whole and sound."""
        position = (chunk.last_index, chunk.last_term)
        if position != self._position:
            self._restart(position)
        if chunk.offset_bytes != self.next_offset_bytes:
            return None
        self._parts.append(chunk.chunk)
        self.next_offset_bytes += len(chunk.chunk)
        if not chunk.done:
            return None
        content = b''.join(self._parts)
        self._restart((0, 0))
        if crc32c.crc32c(content) != chunk.checksum:
            return None
        membership = Membership.FromString(chunk.membership)
        return Snapshot(*position, membership, content)

    def _restart(self, position: tuple[int, int]) -> None:
        self._parts = []
        self._position = position
        self.next_offset_bytes = 0
