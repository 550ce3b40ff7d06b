"""Writes log lines from a thread, so that a slow reader holds nothing up.

Lines wait in a bounded queue. When it is full new ones are dropped and
counted, and the next line that gets in tells how many were.

>>> import io
>>> stream = io.BytesIO()
>>> writer = LogWriter(stream)
>>> writer.write(b'{"a": 1}')
>>> writer.close()
>>> stream.getvalue()
b'{"a": 1}\\n'
"""

import threading
from collections import deque
from typing import BinaryIO

import orjson

# About two seconds of lines at the highest rate that one entry reaches.
_QUEUE_LINES = 4096
# A reader that comes back is sent what waits in parts of this many lines.
_BATCH_LINES = 256
_CLOSE_TIMEOUT_S = 1.0


class LogWriter:
    """A bounded queue and the thread that empties it into a stream."""

    def __init__(self, stream: BinaryIO) -> None:
        """Start the thread; it ends with the process."""
        self.dropped = 0
        self._untold = 0
        self._stream = stream
        self._lines: deque[bytes] = deque()
        self._filled = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(
            target=self._run, name='log-writer', daemon=True
        )
        self._thread.start()

    def write(self, line: bytes) -> None:
        """Queue a line without its end; never blocks."""
        if len(self._lines) >= _QUEUE_LINES:
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            self._lines.append(
                orjson.dumps(
                    {
                        'message_type': 'event:log_lines_dropped',
                        'count': self._untold,
                    }
                )
            )
            self._untold = 0
        self._lines.append(line)
        self._filled.set()

    def close(self) -> None:
        """Write what waits, for a short time at most."""
        self._is_closing = True
        self._filled.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while not (self._is_closing and not self._lines):
            self._filled.wait()
            self._filled.clear()
            while self._lines:
                self._write_batch()

    def _write_batch(self) -> None:
        batch = []
        while self._lines and len(batch) < _BATCH_LINES:
            batch.append(self._lines.popleft())
        batch.append(b'')
        try:
            self._stream.write(b'\n'.join(batch))
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more; there is nowhere to tell it.
            self.dropped += len(batch) - 1
