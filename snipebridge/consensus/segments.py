"""The log on disk: numbered segments, each a sequence of batches.

A batch names the position that it follows. When that position is in the log
already, everything behind it is overwritten; when it is not, the log begins
anew there, after a snapshot. So nothing is ever cut in place, and a crash
between any two writes leaves a log that reads back as one of the two states.
"""

from pathlib import Path

from snipebridge.consensus.errors import CorruptLogError
from snipebridge.consensus.files import (
    append_synced,
    replace_synced,
    sync_folder,
    write_synced,
)
from snipebridge.consensus.frames import (
    frame_size_bytes,
    make_frame,
    read_frames,
)
from snipebridge.consensus.log import Log
from snipebridge.consensus.messages import LogBatch
from snipebridge.rpc.consensus_pb2 import AppendRequest

SEGMENT_BYTES = 4_194_304
_PATTERN = 'log-*.segment'


class Segments:
    """Appends batches to the newest segment and drops the oldest ones."""

    __slots__ = ('_folder', '_last_indexes', '_number', '_output', '_size')

    def __init__(self, folder: Path) -> None:
        """Keep the folder; nothing is read yet."""
        self._folder = folder
        self._last_indexes: dict[int, int] = {}
        self._number = 0
        self._output = None
        self._size = 0

    def exist(self) -> bool:
        """Tell whether the folder holds a segment."""
        return bool(self._numbers())

    def recover(self) -> Log:
        """Read all segments, and make sure that the newest one is durable.

        The process before may have ended between a write and its sync, or by
        a sync that failed, so what is read may be gone after a loss of power.
        """
        log = Log()
        numbers = self._numbers()
        for position, number in enumerate(numbers):
            if position and number != numbers[position - 1] + 1:
                raise CorruptLogError(f'{self._path(number - 1)}: is missing')
            self._read(number, log, is_newest=number == numbers[-1])
            self._last_indexes[number] = log.last_index
            self._number = number
        if numbers and not self._path(self._number).stat().st_size:
            # Left by a start that found no room; `begin` writes it again.
            self._last_indexes.pop(self._number)
            self._number -= 1
        return log

    def begin(self, index: int, term: int) -> None:
        """Start a segment that follows a position."""
        self.close()
        self._number += 1
        self._last_indexes[self._number] = index
        header = _encode(LogBatch(index, term, []))
        path = self._path(self._number)
        write_synced(path, header)
        sync_folder(self._folder)
        self._output = path.open('ab', buffering=0)
        self._size = len(header)

    def append(self, batch: LogBatch) -> None:
        """Write a batch and sync it."""
        frame = _encode(batch)
        append_synced(self._output.fileno(), frame)
        self._size += len(frame)
        self._last_indexes[self._number] = max(
            batch.last_index, self._last_indexes[self._number]
        )
        if self._size > SEGMENT_BYTES:
            self.begin(batch.last_index, batch.last_term)

    def cut(self, index: int) -> None:
        """Remove the segments that hold nothing after an index."""
        for number in sorted(self._last_indexes):
            if number == self._number or self._last_indexes[number] > index:
                break
            self._path(number).unlink(missing_ok=True)
            self._last_indexes.pop(number)
            # Of names removed together, any one may come back.
            sync_folder(self._folder)

    def close(self) -> None:
        """Close the newest segment; raises `OSError`."""
        output, self._output = self._output, None
        if output is not None:
            output.close()

    def _numbers(self) -> list[int]:
        paths = self._folder.glob(_PATTERN)
        return sorted(int(path.stem.partition('-')[2]) for path in paths)

    def _path(self, number: int) -> Path:
        return self._folder / f'log-{number:016d}.segment'

    def _read(self, number: int, log: Log, *, is_newest: bool) -> None:
        path = self._path(number)
        content = path.read_bytes()
        good_bytes = 0
        for payload in read_frames(content, str(path)):
            _replay(AppendRequest.FromString(payload), log)
            good_bytes += frame_size_bytes(payload)
        if is_newest:
            replace_synced(path, content[:good_bytes])
        elif good_bytes != len(content):
            raise CorruptLogError(f'{path}: ends in a bad record')


def _encode(batch: LogBatch) -> bytes:
    record = AppendRequest(
        previous_index=batch.previous_index,
        previous_term=batch.previous_term,
        entries=batch.entries,
    )
    return make_frame(record.SerializeToString())


def _replay(record: AppendRequest, log: Log) -> None:
    index = record.previous_index
    if log.term_at(index) == record.previous_term:
        log.truncate_after(index)
    else:
        log.reset(index, record.previous_term)
    log.append(record.entries)
