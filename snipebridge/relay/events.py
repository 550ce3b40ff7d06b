"""Splits a stream of server-sent events at event boundaries.

Only complete events are passed on, so that a stream which breaks off inside an
event can be resumed at another replica without a partial event.

>>> splitter = EventSplitter()
>>> splitter.split(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
b'id: 1\\ndata: a\\n\\n'
>>> splitter.last_id, splitter.remainder
('1', b'id: 2\\nda')
>>> splitter.is_inside_event()
True
"""

import re

from snipebridge.upstreams.errors import InvalidResponseError

# Far above an event of several tokens.
_EVENT_LIMIT_BYTES = 262_144
_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    __slots__ = ('last_id', 'remainder')

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.last_id = ''
        self.remainder = b''

    def split(self, chunk: bytes) -> bytes:
        """Return the events that the chunk completes.

        Raises `InvalidResponseError` for an event that does not end.
        """
        buffered = self.remainder + chunk
        end = 0
        for match in _EVENT_END.finditer(buffered):
            end = match.end()
        complete = buffered[:end]
        self.remainder = buffered[end:]
        if len(self.remainder) > _EVENT_LIMIT_BYTES:
            raise InvalidResponseError(
                f'an event has not ended after {len(self.remainder)} bytes'
            )
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin1')
        return complete

    def is_inside_event(self) -> bool:
        """Tell whether a stream that ended here was broken off.

        Whatever delimits its body, only a blank line ends an event. Blank
        lines after the last event belong to none.
        """
        return bool(self.remainder.strip(b'\r\n'))

    def reset(self) -> None:
        """Drop the incomplete event; the next bytes are of a new attempt."""
        self.remainder = b''
