"""Tells an order that operators send again from a new one.

The load: an answer may be lost on its way, so an operator sends the same order
again, to any control process, and orders that were given meanwhile are not to
be undone by it. Orders have no id of their own. One is the same as an earlier
one if it has the same content and arrives within the time in which operators
resend; otherwise it is new.

>>> arrivals = OrderArrivals()
>>> arrivals.note(('s', 1), 130.0)
>>> arrivals.age_s(('s', 1), now_s=131.5)
1.5
>>> past = [PastOrder('v2', 3.0), PastOrder('v3', 1.5)]
>>> is_resent('v2', past, window_s=5.0), is_resent('v2', past, window_s=2.0)
(True, False)
"""

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass

_MS_PER_S = 1000
# A last copy may be sent when the time to resend ends, and operators wait a
# second for the answer.
_LATE_COPY_S = 1.0
# More arrivals than there are orders in progress need not be kept beside those
# of the replicated orders.
_MAX_OTHERS = 64


@dataclass(slots=True, frozen=True)
class PastOrder:
    """What an earlier order asked for, and how long ago it arrived."""

    content: Hashable
    age_s: float


def is_resent(
    content: Hashable, past: Iterable[PastOrder], window_s: float
) -> bool:
    """Tell whether an order repeats one of the same subject."""
    return any(one.content == content and one.age_s < window_s for one in past)


def resend_window_s(resend_ms: float) -> float:
    """Return for how long after an order its copies may arrive.

    >>> resend_window_s(4000.0)
    5.0
    """
    return resend_ms / _MS_PER_S + _LATE_COPY_S


class OrderArrivals:
    """When orders arrived, on the steady clock of one process.

    The process that takes an order notes its arrival. The others look at the
    replicated state all the time, so that whichever of them leads next knows
    the order's age without the time of day, which may jump. That counts only
    for what a process finds when it starts.
    """

    __slots__ = ('_arrived_s', '_looked_s')

    def __init__(self) -> None:
        """Start before the first look."""
        self._looked_s = float('-inf')
        self._arrived_s: dict[Hashable, float] = {}

    def note(self, order: Hashable, arrived_s: float) -> None:
        """Keep when an order, or the latest copy of it, arrived."""
        self._arrived_s[order] = arrived_s

    def look(
        self, ordered_at_ms: Mapping[Hashable, int], now_s: float, now_ms: int
    ) -> None:
        """Note the orders that the replicated state has gained.

        `ordered_at_ms` has the time of day at which each was proposed.
        """
        for order, proposed_ms in ordered_at_ms.items():
            if order not in self._arrived_s:
                age_s = max(0, now_ms - proposed_ms) / _MS_PER_S
                self.note(order, max(now_s - age_s, self._looked_s))
        self._looked_s = now_s
        if len(self._arrived_s) > len(ordered_at_ms) + _MAX_OTHERS:
            self._arrived_s = {
                one: self._arrived_s[one] for one in ordered_at_ms
            }

    def age_s(self, order: Hashable, now_s: float) -> float:
        """Return how long ago an order arrived; without a note, long ago."""
        return now_s - self._arrived_s.get(order, float('-inf'))
