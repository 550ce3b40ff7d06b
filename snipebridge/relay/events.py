"""Cutting a stream of server-sent events at the ends of events.

Only whole events are passed on, so that a stream which breaks off inside an
event goes on elsewhere without a piece that is there in part.

>>> splitter = EventSplitter()
>>> splitter.split(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
b'id: 1\\ndata: a\\n\\n'
>>> splitter.last_id, splitter.remainder
('1', b'id: 2\\nda')
"""

import re

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Keeps the bytes of an event that has not ended."""

    __slots__ = ('last_id', 'remainder')

    def __init__(self) -> None:
        """Start between two events."""
        self.last_id = ''
        self.remainder = b''

    def split(self, chunk: bytes) -> bytes:
        """Return all whole events up to here."""
        buffered = self.remainder + chunk
        end = 0
        for found in _EVENT_END.finditer(buffered):
            end = found.end()
        complete = buffered[:end]
        self.remainder = buffered[end:]
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin1')
        return complete

    def reset(self) -> None:
        """Drop what broke off; the next bytes are those of another run."""
        self.remainder = b''
