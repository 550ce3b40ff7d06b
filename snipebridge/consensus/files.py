"""Durable files: written whole, synced with their folder, renamed in place."""

import os
from pathlib import Path

from snipebridge.consensus.errors import CorruptLogError
from snipebridge.consensus.frames import make_frame, read_frame

TEMPORARY_SUFFIX = '.tmp'


def sync_folder(folder: Path) -> None:
    """Make the names in a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def append_synced(handle: int, content: bytes) -> None:
    """Write all of the content at the end of an open file, and sync it.

    After an error any part of it may be in the file. There is no buffer that
    would be written again when the file is closed.
    """
    left = memoryview(content)
    while left:
        left = left[os.write(handle, left) :]
    os.fsync(handle)


def write_synced(path: Path, content: bytes) -> None:
    """Write a file and sync its content."""
    with path.open('wb', buffering=0) as output:
        append_synced(output.fileno(), content)


def replace_synced(path: Path, content: bytes) -> None:
    """Put a file in place at once or not at all."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    write_synced(temporary, content)
    temporary.replace(path)
    sync_folder(path.parent)


def replace_framed(path: Path, payload: bytes) -> None:
    """Put a file of one frame in place at once or not at all."""
    replace_synced(path, make_frame(payload))


def read_framed(path: Path) -> bytes:
    """Read a file of one frame back.

    Such a file is never torn by a crash, so a bad one is corrupt.
    """
    payload = read_frame(path.read_bytes(), 0)
    if payload is None:
        raise CorruptLogError(f'{path}: fails its checksum')
    return payload


def remove_temporaries(folder: Path) -> None:
    """Remove what a crash left half written."""
    for path in folder.glob(f'*{TEMPORARY_SUFFIX}'):
        path.unlink()
