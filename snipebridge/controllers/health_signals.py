"""Signs of upstreams, merged so that an older one never undoes a newer.

A sign is valid for a bounded time. Its sequence is remembered beyond that,
so that a late copy of an older sign doesn't come back to life.

>>> board = HealthSignalStore()
>>> leaving = UpstreamSign(
...     upstream='engine-1', state='leaving', sequence=5, valid_s=10
... )
>>> board.add(leaving, now_s=0.0)
True
>>> board.add(UpstreamSign(upstream='engine-1', sequence=4), now_s=1.0)
False
>>> [sign.state for sign in board.signals('e1', now_s=9.0)]
['leaving']
>>> board.signals('e1', now_s=11.0)
[]
"""

from dataclasses import dataclass

from snipebridge.controllers.change_tracker import ChangeTracker
from snipebridge.rpc.control_pb2 import UpstreamSign

# Signs in one reply; the rest follows with the next one.
_SIGNS_LIMIT = 16


@dataclass(slots=True)
class _Known:
    sign: UpstreamSign
    ends_s: float


class HealthSignalStore:
    """The newest sign of each upstream."""

    __slots__ = ('_changes', '_known')

    def __init__(self) -> None:
        """Start without a sign."""
        self._known: dict[str, _Known] = {}
        self._changes: ChangeTracker[str] = ChangeTracker()

    def add(self, sign: UpstreamSign, now_s: float) -> bool:
        """Take a sign unless a newer one is known; tell whether it counts."""
        known = self._known.get(sign.upstream)
        if known is not None and sign.sequence <= known.sign.sequence:
            return False
        ends_s = now_s + sign.valid_s
        self._known[sign.upstream] = _Known(sign, ends_s)
        self._changes.record_change(sign.upstream)
        return True

    def acknowledge(self, reader: str) -> None:
        """Note that an entry has the signs of its last reply."""
        self._changes.acknowledge(reader)

    def signals(self, reader: str, now_s: float) -> list[UpstreamSign]:
        """Return the signs that an entry lacks, with the time they have left."""
        due = self._changes.next_batch(reader, _SIGNS_LIMIT)
        return [
            self._rest(self._known[upstream], now_s)
            for upstream in due
            if self._known[upstream].ends_s > now_s
        ]

    def all_signals(self, now_s: float) -> list[UpstreamSign]:
        """Return every valid sign."""
        return [
            self._rest(known, now_s)
            for _, known in sorted(self._known.items())
            if known.ends_s > now_s
        ]

    def reset_reader(self, reader: str) -> None:
        """Start over with an entry that restarted."""
        self._changes.reset_reader(reader)

    def keep_upstreams(self, names) -> None:
        """Drop signs of upstreams that are no longer configured."""
        gone = [upstream for upstream in self._known if upstream not in names]
        for upstream in gone:
            self._known.pop(upstream)
            self._changes.remove(upstream)

    def _rest(self, known: _Known, now_s: float) -> UpstreamSign:
        sign = UpstreamSign()
        sign.CopyFrom(known.sign)
        sign.valid_s = known.ends_s - now_s
        return sign
