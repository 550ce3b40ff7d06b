"""Stores bills until an operator acknowledges their export.

Bills are numbered from one in the order in which they were applied. New
bills go to the open segment. A full segment is sealed: it is compressed and
from then on only read or dropped, so a snapshot copies it unchanged.

>>> segments = BillSegments()
>>> segments.append(BillCommand(account='a', request_id='r'))
>>> [one.cursor for one in segments.read(after=0, limit=10)]
[1]
"""

import base64
import itertools
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from snipebridge.rpc.commands_pb2 import BillCommand
from snipebridge.rpc.control_pb2 import SubmitRequest

SEGMENT_BILLS = 2048

_COMPRESSION_LEVEL = 1


@dataclass(slots=True)
class NumberedBill:
    """A bill and its number, the cursor for reading on after it."""

    cursor: int
    bill: BillCommand


@dataclass(slots=True)
class SealedSegment:
    """Compressed bills with the numbers `first` to `last`."""

    first: int
    last: int
    content: bytes


class BillSegments:
    """Unexported bills in sealed segments and one open segment."""

    __slots__ = ('_open', '_open_first', '_sealed', 'last', 'released_through')

    def __init__(self) -> None:
        """Start without bills."""
        self.last = 0
        self.released_through = 0
        self._sealed: list[SealedSegment] = []
        self._open = SubmitRequest()
        self._open_first = 1

    def append(self, bill: BillCommand) -> None:
        """Store the bill under the next number."""
        self.last += 1
        self._open.commands.add().bill.CopyFrom(bill)
        if self.last - self._open_first + 1 >= SEGMENT_BILLS:
            self._seal()

    def read(self, after: int, limit: int) -> Iterator[NumberedBill]:
        """Return at most `limit` stored bills with numbers above `after`."""
        after = max(after, self.released_through)
        return itertools.islice(self._bills(after), limit)

    def release_through(self, through: int) -> None:
        """Release exported bills; only whole segments are dropped."""
        self.released_through = max(
            self.released_through, min(through, self.last)
        )
        self._sealed = [
            segment
            for segment in self._sealed
            if segment.last > self.released_through
        ]

    def unacknowledged_count(self) -> int:
        """Return the number of bills without an acknowledged export."""
        return self.last - self.released_through

    def retained_bytes(self) -> int:
        """Return the size of the stored bills."""
        sealed = sum(len(segment.content) for segment in self._sealed)
        return sealed + self._open.ByteSize()

    def dump(self) -> dict:
        """Return the state as JSON types."""
        return {
            'last': self.last,
            'released_through': self.released_through,
            'sealed': [
                [one.first, one.last, _to_text(one.content)]
                for one in self._sealed
            ],
            'open': _to_text(_serialise(self._open)),
            'open_first': self._open_first,
        }

    def load(self, state: dict) -> None:
        """Replace the state with a dumped one."""
        self.last = state['last']
        self.released_through = state['released_through']
        self._sealed = [
            SealedSegment(first, last, base64.b64decode(content))
            for first, last, content in state['sealed']
        ]
        self._open = SubmitRequest.FromString(base64.b64decode(state['open']))
        self._open_first = state['open_first']

    def _seal(self) -> None:
        content = zlib.compress(_serialise(self._open), _COMPRESSION_LEVEL)
        self._sealed.append(SealedSegment(self._open_first, self.last, content))
        self._open = SubmitRequest()
        self._open_first = self.last + 1

    def _bills(self, after: int) -> Iterator[NumberedBill]:
        for segment in self._sealed:
            if segment.last > after:
                content = zlib.decompress(segment.content)
                segment_bills = SubmitRequest.FromString(content)
                yield from _number(segment.first, segment_bills, after)
        yield from _number(self._open_first, self._open, after)


def _number(
    first: int, bills: SubmitRequest, after: int
) -> Iterator[NumberedBill]:
    for cursor, command in enumerate(bills.commands, start=first):
        if cursor > after:
            yield NumberedBill(cursor, command.bill)


def _serialise(bills: SubmitRequest) -> bytes:
    return bills.SerializeToString(deterministic=True)


def _to_text(content: bytes) -> str:
    return base64.b64encode(content).decode()
