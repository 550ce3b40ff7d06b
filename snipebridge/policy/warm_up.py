"""Tells until when a replica is cold.

The load: replicas that have just started crash above a few requests a second,
summed over all entries, while they look like the least loaded ones. The list
shows a start up to two seconds late; a replica that was lost and is back on its
old address is cold before the list says so.

>>> warm_up = WarmUp(lasts_s=3.0)
>>> warm_up.ends_s(listed_s=0.0, lost_s=float('-inf')), warm_up.ends_s(0.0, 5.0)
(0.0, 14.0)
"""

from dataclasses import dataclass

# How long a lost replica may be away and still come back unnoticed: some
# seconds of restart, and the delay of the list. A longer time costs little, as
# a warm replica of a large pool seldom gets more than a cold one bears.
_AWAY_S = 6.0


@dataclass(slots=True, frozen=True)
class WarmUp:
    """The warm-up of the replicas of a service, which an operator states."""

    lasts_s: float = 0.0

    def ends_s(self, listed_s: float, lost_s: float) -> float:
        """Return until when a replica counts as cold.

        `listed_s` is the end by the list, `lost_s` when it was last found to
        refuse connections.
        """
        return max(listed_s, lost_s + _AWAY_S + self.lasts_s)
