"""Health signals of upstreams, merged by sequence number.

A signal expires after its validity period. Its sequence number is kept after
that, so that a delayed copy of an older signal is still rejected.

>>> store = HealthSignalStore()
>>> leaving = UpstreamSign(
...     upstream='engine-1', state='leaving', sequence=5, valid_s=10
... )
>>> store.add(leaving, now_s=0.0)
True
>>> store.add(UpstreamSign(upstream='engine-1', sequence=4), now_s=1.0)
False
>>> [signal.state for signal in store.pending('e1', now_s=9.0)]
['leaving']
>>> store.pending('e1', now_s=11.0)
[]
"""

from dataclasses import dataclass

from snipebridge.controllers.change_tracker import ChangeTracker
from snipebridge.rpc.control_pb2 import UpstreamSign

# Limit on signals in one reply; the next reply carries the rest.
_MAX_SIGNALS_PER_REPLY = 16


@dataclass(slots=True)
class _StoredSignal:
    signal: UpstreamSign
    expires_at_s: float


class HealthSignalStore:
    """Stores the latest health signal of each upstream."""

    __slots__ = ('_changes', '_stored')

    def __init__(self) -> None:
        """Start without signals."""
        self._stored: dict[str, _StoredSignal] = {}
        self._changes: ChangeTracker[str] = ChangeTracker()

    def add(self, signal: UpstreamSign, now_s: float) -> bool:
        """Store a signal that is newer; tell whether it was stored."""
        stored = self._stored.get(signal.upstream)
        if stored is not None and signal.sequence <= stored.signal.sequence:
            return False
        expires_at_s = now_s + signal.valid_s
        self._stored[signal.upstream] = _StoredSignal(signal, expires_at_s)
        self._changes.record_change(signal.upstream)
        return True

    def acknowledge(self, reader: str) -> None:
        """Record that an entry received the signals of its last reply."""
        self._changes.acknowledge(reader)

    def pending(self, reader: str, now_s: float) -> list[UpstreamSign]:
        """Return signals that an entry lacks, with their remaining validity."""
        due = self._changes.next_batch(reader, _MAX_SIGNALS_PER_REPLY)
        return [
            self._with_remaining_validity(self._stored[upstream], now_s)
            for upstream in due
            if self._stored[upstream].expires_at_s > now_s
        ]

    def all_signals(self, now_s: float) -> list[UpstreamSign]:
        """Return all signals that have not expired."""
        return [
            self._with_remaining_validity(stored, now_s)
            for _, stored in sorted(self._stored.items())
            if stored.expires_at_s > now_s
        ]

    def reset_reader(self, reader: str) -> None:
        """Discard what was sent to an entry that restarted."""
        self._changes.reset_reader(reader)

    def keep_upstreams(self, names) -> None:
        """Remove signals of upstreams that are no longer configured."""
        removed = [
            upstream for upstream in self._stored if upstream not in names
        ]
        for upstream in removed:
            self._stored.pop(upstream)
            self._changes.remove(upstream)

    def _with_remaining_validity(
        self, stored: _StoredSignal, now_s: float
    ) -> UpstreamSign:
        signal = UpstreamSign()
        signal.CopyFrom(stored.signal)
        signal.valid_s = stored.expires_at_s - now_s
        return signal
