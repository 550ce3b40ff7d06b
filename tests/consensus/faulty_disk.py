"""A folder whose disk fills up, fails and loses what was not synced.

It stands between the storage and the system calls that change a folder. What
a loss of power keeps follows from the syncs alone: a file has what its last
sync covered, and of later writes all, none or a part; names that changed since
the last sync of the folder are kept or lost one by one.
"""

import errno
import os
import random
import stat
from pathlib import Path

from snipebridge.consensus import files

FAULT_SHARE = 0.15


class FaultyDisk:
    """One folder, and what of it is durable."""

    def __init__(self, folder: Path, rng: random.Random) -> None:
        """Start with an empty folder and no faults."""
        self.folder = folder
        self.is_full = False
        # Whether calls fail now and then although there is room.
        self.is_failing = False
        self._rng = rng
        self._durable: dict[int, bytes] = {}
        self._names: dict[str, int] = {}
        # Open handles, so that no inode is used for another file.
        self._held: dict[int, int] = {}
        folder.mkdir()

    def install(self, monkeypatch) -> None:
        """Take the place of the system calls."""
        self._real = {
            name: getattr(os, name)
            for name in ('write', 'fsync', 'replace', 'unlink')
        }
        for name in self._real:
            monkeypatch.setattr(files.os, name, getattr(self, f'_{name}'))

    def close(self) -> None:
        """Let go of the files."""
        for handle in self._held.values():
            os.close(handle)
        self._held.clear()

    def lose_power(self) -> None:
        """Leave what is durable, and by chance some of the rest."""
        now = self._listing()
        kept = {}
        for name in sorted(now.keys() | self._names.keys()):
            inode = self._rng.choice([now.get(name), self._names.get(name)])
            if inode is not None:
                kept[name] = self._content_after_loss(inode)
        for path in self.folder.iterdir():
            self._real['unlink'](path)
        self.close()
        self._durable.clear()
        for name, content in kept.items():
            (self.folder / name).write_bytes(content)
        self._names = self._listing()
        for inode in self._names.values():
            self._hold(inode)
            self._durable[inode] = self._read(inode)

    def _content_after_loss(self, inode: int) -> bytes:
        durable = self._durable.get(inode, b'')
        self._hold(inode)
        written = self._read(inode)
        if not written.startswith(durable):
            return self._rng.choice([durable, written])
        torn_bytes = self._rng.randint(len(durable), len(written))
        return self._rng.choice([durable, written, written[:torn_bytes]])

    def _write(self, handle: int, content: bytes) -> int:
        if not self.is_full and not self._draws_fault():
            return self._real['write'](handle, content)
        size_bytes = self._rng.randrange(len(content))
        if not size_bytes:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return self._real['write'](handle, content[:size_bytes])

    def _fsync(self, handle: int) -> None:
        self._may_fail()
        status = os.fstat(handle)
        if stat.S_ISDIR(status.st_mode):
            self._names = self._listing()
            return
        inode = status.st_ino
        self._hold(inode)
        self._durable[inode] = self._read(inode)
        for name, other in self._listing().items():
            if other == inode:
                self._names.setdefault(name, inode)

    def _replace(self, source, target, **options) -> None:
        self._may_fail()
        self._real['replace'](source, target, **options)

    def _unlink(self, path, **options) -> None:
        self._may_fail()
        self._real['unlink'](path, **options)

    def _may_fail(self) -> None:
        if self._draws_fault():
            raise OSError(errno.EIO, 'Input/output error')

    def _draws_fault(self) -> bool:
        return self.is_failing and self._rng.random() < FAULT_SHARE

    def _listing(self) -> dict[str, int]:
        return {path.name: path.stat().st_ino for path in self.folder.iterdir()}

    def _hold(self, inode: int) -> None:
        if inode in self._held:
            return
        for name, other in self._listing().items():
            if other == inode:
                self._held[inode] = os.open(self.folder / name, os.O_RDONLY)

    def _read(self, inode: int) -> bytes:
        handle = self._held[inode]
        return os.pread(handle, os.fstat(handle).st_size, 0)
