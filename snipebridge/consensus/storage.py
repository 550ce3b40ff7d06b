"""The data folder of one replica.

It holds `identity`, `hard_state`, at most one `snapshot` and the segments of
the log. The identity is drawn once, when the folder is made, and is written
last: a folder with an identity and without the other files has lost them.

>>> storage = Storage(Path('folder'))  # doctest: +SKIP
>>> recovered = storage.open()  # doctest: +SKIP
"""

import errno
import fcntl
import secrets
from pathlib import Path

from snipebridge.consensus.errors import (
    CorruptLogError,
    DiskError,
    FolderInUseError,
    StorageError,
)
from snipebridge.consensus.files import (
    read_framed,
    remove_temporaries,
    replace_framed,
)
from snipebridge.consensus.log import Log
from snipebridge.consensus.messages import Ready, Recovered, Snapshot
from snipebridge.consensus.segments import Segments
from snipebridge.rpc.consensus_pb2 import (
    HardState,
    Membership,
    SnapshotChunk,
)

IDENTITY_BYTES = 16
# A full or faulty disk. Other errors, such as a folder that may not be
# written, need an operator.
_DISK_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EIO))


class Storage:
    """Reads the folder once, then writes what the core asks to sync.

    All methods block; the replica calls them in one thread.
    """

    __slots__ = ('_folder', '_lock', '_segments')

    def __init__(self, folder: Path) -> None:
        """Keep the folder; nothing is touched before `open`."""
        self._folder = folder
        self._lock = None
        self._segments = Segments(folder)

    def open(self) -> Recovered:
        """Take the folder, make it if it is new, and read it."""
        try:
            return self._open()
        except OSError as error:
            raise _wrap(error, self._folder) from error

    def persist(self, ready: Ready) -> None:
        """Sync the hard state, the snapshot to install and the entries."""
        try:
            self._persist(ready)
        except OSError as error:
            raise _wrap(error, self._folder) from error

    def save_snapshot(self, snapshot: Snapshot, log_start_index: int) -> None:
        """Write a snapshot, then drop the log up to an index."""
        try:
            self._save(snapshot, log_start_index)
        except OSError as error:
            raise _wrap(error, self._folder) from error

    def close(self) -> None:
        """Release the folder, also where its files can't be closed."""
        try:
            self._segments.close()
        except OSError as error:
            raise _wrap(error, self._folder) from error
        finally:
            if self._lock is not None:
                self._lock.close()
                self._lock = None

    def _open(self) -> Recovered:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._take_lock()
        remove_temporaries(self._folder)
        if not self._path('identity').exists():
            self._make()
        recovered = self._recover()
        last = recovered.entries[-1] if recovered.entries else None
        self._segments.begin(
            last.index if last else recovered.start_index,
            last.term if last else recovered.start_term,
        )
        return recovered

    def _take_lock(self) -> None:
        self._lock = self._path('lock').open('wb')
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise FolderInUseError(
                f'{self._folder}: another process holds it',
            ) from error

    def _make(self) -> None:
        """Make a new folder; a crash on the way leaves nothing that counts."""
        log = self._segments.recover()
        hard_state = self._path('hard_state')
        used = hard_state.exists() and read_framed(hard_state)
        if used or log.last_index or self._path('snapshot').exists():
            raise StorageError(f'{self._folder}: its identity is missing')
        replace_framed(hard_state, HardState().SerializeToString())
        self._segments.begin(0, 0)
        identity = secrets.token_hex(IDENTITY_BYTES)
        replace_framed(self._path('identity'), identity.encode())

    def _recover(self) -> Recovered:
        if not self._path('hard_state').exists() or not self._segments.exist():
            raise CorruptLogError(
                f'{self._folder}: has an identity and lost its log',
            )
        identity = read_framed(self._path('identity')).decode()
        hard_state = HardState.FromString(
            read_framed(self._path('hard_state')),
        )
        snapshot = self._read_snapshot()
        log = self._segments.recover()
        _check_continuity(log, snapshot, self._folder)
        return Recovered(
            identity,
            hard_state,
            snapshot,
            log.start_index,
            log.start_term,
            log.between(log.start_index + 1, log.last_index),
        )

    def _read_snapshot(self) -> Snapshot | None:
        path = self._path('snapshot')
        if not path.exists():
            return None
        record = SnapshotChunk.FromString(read_framed(path))
        return Snapshot(
            record.last_index,
            record.last_term,
            Membership.FromString(record.membership),
            record.chunk,
        )

    def _persist(self, ready: Ready) -> None:
        if ready.hard_state is not None:
            replace_framed(
                self._path('hard_state'), ready.hard_state.SerializeToString()
            )
        if ready.snapshot is not None:
            self._write_snapshot(ready.snapshot)
            self._segments.begin(
                ready.snapshot.last_index, ready.snapshot.last_term
            )
            self._segments.cut(ready.snapshot.last_index)
        if ready.batch.entries:
            self._segments.append(ready.batch)

    def _save(self, snapshot: Snapshot, log_start_index: int) -> None:
        self._write_snapshot(snapshot)
        self._segments.cut(log_start_index)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        record = SnapshotChunk(
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            membership=snapshot.membership.SerializeToString(),
            chunk=snapshot.content,
            done=True,
        )
        replace_framed(self._path('snapshot'), record.SerializeToString())

    def _path(self, name: str) -> Path:
        return self._folder / name


def _wrap(error: OSError, folder: Path) -> StorageError:
    kind = DiskError if error.errno in _DISK_ERRORS else StorageError
    return kind(f'{folder}: {error}')


def _check_continuity(log: Log, snapshot: Snapshot | None, folder) -> None:
    """Check that snapshot and log meet; drop a log the snapshot replaced."""
    index = snapshot.last_index if snapshot else 0
    term = snapshot.last_term if snapshot else 0
    if log.start_index > index:
        raise CorruptLogError(
            f'{folder}: entries after {index} up to {log.start_index} are lost',
        )
    if log.term_at(index) != term:
        log.reset(index, term)


def probe(folder: Path) -> None:
    """Open and close a folder; raises `StorageError` where that fails."""
    storage = Storage(folder)
    try:
        storage.open()
    finally:
        storage.close()
