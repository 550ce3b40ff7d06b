"""Mean pace of a replica from what its answers state.

The load: replicas share their hosts with others, so the time that work takes
there changes many times a second, and some are steadily faster. Each of
hundreds of entries sees few answers of a replica, so their statements are put
together, and the mean of about the last second counts: a single one is old
before it can be used.

>>> pace = ReplicaPace()
>>> pace.add(300, now_s=0.0)
>>> pace.add(100, now_s=0.5)
>>> 150 < pace.percent(now_s=0.6) < 250
True
>>> pace.percent(now_s=9.0)
0
"""

import math

# The usual pace.
USUAL_PERCENT = 100
# Statements beyond these are taken for them: a replica is not placed on as if
# it had no load, nor avoided for good, for one absurd statement.
_LEAST_PERCENT = 20
_MOST_PERCENT = 1000
_MEAN_OVER_S = 1.0
# A mean without a newer statement is unknown again.
_VALID_S = 4.0


class ReplicaPace:
    """The mean pace of one replica."""

    __slots__ = ('_mean', '_seen_s')

    def __init__(self) -> None:
        """Start without a statement."""
        self._mean = 0.0
        self._seen_s = float('-inf')

    def add(self, percent: int, now_s: float) -> None:
        """Add a statement; one of 0 or less says nothing."""
        if percent <= 0:
            return
        stated = min(_MOST_PERCENT, max(_LEAST_PERCENT, percent))
        if now_s - self._seen_s > _VALID_S:
            self._mean = stated
        else:
            elapsed_s = max(now_s - self._seen_s, _MEAN_OVER_S / 8)
            weight = 1 - math.exp(-elapsed_s / _MEAN_OVER_S)
            self._mean += weight * (stated - self._mean)
        self._seen_s = now_s

    def percent(self, now_s: float) -> int:
        """Return the mean, 0 where it is not known."""
        if now_s - self._seen_s > _VALID_S:
            return 0
        return round(self._mean)
