"""What a leader knows about one peer, and the flow control towards it."""

import enum
from collections import deque

from snipebridge.consensus.messages import Snapshot

MAX_INFLIGHT_BATCHES = 16
MAX_BATCH_BYTES = 262_144


@enum.unique
class Flow(enum.Enum):
    """How entries are sent to a peer."""

    PROBE = 'probe'
    REPLICATE = 'replicate'
    SNAPSHOT = 'snapshot'


class Progress:
    """Position of one peer.

    While probing, one batch is under way until its answer or the next
    heartbeat; while replicating, up to `MAX_INFLIGHT_BATCHES` are.
    """

    __slots__ = (
        '_inflight',
        'flow',
        'identity',
        'match_index',
        'next_index',
        'offset_bytes',
        'paused',
        'sent_s',
        'snapshot',
    )

    def __init__(self, next_index: int, identity: str) -> None:
        """Begin by probing; a blank identity is bound by the first answer."""
        self.identity = identity
        self.match_index = 0
        self.next_index = next_index
        self.flow = Flow.PROBE
        self.paused = False
        self._inflight: deque[int] = deque()
        self.snapshot: Snapshot | None = None
        self.offset_bytes = 0
        self.sent_s = 0.0

    def can_send(self) -> bool:
        """Tell whether flow control lets another batch go."""
        if self.flow is Flow.REPLICATE:
            return len(self._inflight) < MAX_INFLIGHT_BATCHES
        return self.flow is Flow.PROBE and not self.paused

    def sent(self, last_index: int) -> None:
        """Note a batch that ends at an index."""
        if self.flow is Flow.REPLICATE:
            self._inflight.append(last_index)
            self.next_index = last_index + 1
        else:
            self.paused = True

    def matched(self, index: int) -> bool:
        """Take a success; tell whether the match moved."""
        moved = index > self.match_index
        self.match_index = max(self.match_index, index)
        while self._inflight and self._inflight[0] <= index:
            self._inflight.popleft()
        if self.flow is Flow.PROBE and index + 1 >= self.next_index:
            self.flow = Flow.REPLICATE
            self._inflight.clear()
        if self.flow is Flow.REPLICATE:
            self.next_index = max(self.next_index, self.match_index + 1)
        self.paused = False
        return moved

    def probe(self, next_index: int) -> None:
        """Go back to probing from an index."""
        self.flow = Flow.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.paused = False
        self.snapshot = None
        self._inflight.clear()

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot in place of entries that were cut."""
        self.flow = Flow.SNAPSHOT
        self.snapshot = snapshot
        self.offset_bytes = 0
        self._inflight.clear()
