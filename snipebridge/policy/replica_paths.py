"""Which replicas an entry reaches by itself, and which through another entry.

The load that this answers: an entry loses its connections to some or all
replicas for seconds, while other entries still have theirs. A replica is
reached through another entry, the helper, once its direct connection has failed
and one through a helper has not, and directly again once that succeeds.

>>> paths = ReplicaPaths('a', random.Random(1))
>>> paths.record_cut('r1', now_s=1.0)
True
>>> paths.is_indirect('r1'), paths.due(1.5), paths.due(2.5)
(True, [], ['r1'])
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

# How often the direct way to some replicas is tried again.
RETRY_S = 1.0
_RETRIED_AT_ONCE = 4
# A helper that failed is tried after the others for this long.
HELPER_PAUSE_S = 3.0
# A replica that no helper reaches either is not asked for again for this long.
GONE_VALID_S = 0.5
# Direct connections that fail in a row until all are taken for cut.
CUT_THRESHOLD = 4


@dataclass(slots=True, frozen=True)
class Peer:
    """Another entry of the fleet."""

    name: str
    data_centre: str
    # host:port at which it opens tunnels.
    address: str


@dataclass(slots=True)
class ReplicaPaths:
    """The ways of one entry, by replica."""

    data_centre: str
    rng: random.Random
    _indirect: set[str] = field(default_factory=set)
    _retried_s: float = float('-inf')
    _gone_s: dict[str, float] = field(default_factory=dict)
    # When a helper failed last, and the one that worked last.
    _failed_s: dict[str, float] = field(default_factory=dict)
    _helper: str = ''

    @property
    def indirect(self) -> Collection[str]:
        """The replicas that are reached through a helper."""
        return self._indirect

    def is_indirect(self, replica: str) -> bool:
        """Tell whether a replica is reached through a helper."""
        return replica in self._indirect

    def record_direct(self, replica: str) -> bool:
        """Note that a direct connection works; tell whether that is new."""
        is_new = replica in self._indirect
        self._indirect.discard(replica)
        return is_new

    def record_cut(self, replica: str, now_s: float) -> bool:
        """Use helpers for a replica; tell whether that is new."""
        if not self._indirect:
            self._retried_s = now_s
        is_new = replica not in self._indirect
        self._indirect.add(replica)
        return is_new

    def record_helper(self, helper: str) -> None:
        """Note that a helper works."""
        self._helper = helper
        self._failed_s.pop(helper, None)

    def record_helper_failed(self, helper: str, now_s: float) -> None:
        """Note that a helper can't be reached, or reaches nothing itself."""
        self._failed_s[helper] = now_s
        if self._helper == helper:
            self._helper = ''

    def record_gone(self, replica: str, now_s: float) -> None:
        """Note that helpers do not reach a replica either."""
        self._gone_s[replica] = now_s

    def is_gone(self, replica: str, now_s: float) -> bool:
        """Tell whether helpers have just said that a replica is gone."""
        return now_s - self._gone_s.get(replica, float('-inf')) < GONE_VALID_S

    def forget(self, replica: str) -> None:
        """Drop a replica that is no longer listed."""
        self._indirect.discard(replica)
        self._gone_s.pop(replica, None)

    def due(self, now_s: float) -> list[str]:
        """Return the replicas whose direct way should be tried now."""
        if not self._indirect or now_s - self._retried_s < RETRY_S:
            return []
        self._retried_s = now_s
        count = min(_RETRIED_AT_ONCE, len(self._indirect))
        return self.rng.sample(sorted(self._indirect), count)

    def helpers(self, peers: Iterable[Peer], now_s: float) -> list[str]:
        """Return the addresses of helpers, the most promising first.

        The one that worked last comes first. A whole data centre may be cut
        off, so near and far ones take turns.
        """
        known = list(peers)
        self.rng.shuffle(known)
        near = [one for one in known if one.data_centre == self.data_centre]
        far = [one for one in known if one.data_centre != self.data_centre]
        ordered = []
        for position in range(max(len(near), len(far))):
            ordered.extend(near[position : position + 1])
            ordered.extend(far[position : position + 1])
        addresses = [one.address for one in ordered]
        return sorted(
            addresses,
            key=lambda one: (one != self._helper, self._rest(one, now_s)),
        )

    def _rest(self, helper: str, now_s: float) -> bool:
        failed_s = self._failed_s.get(helper, float('-inf'))
        return now_s - failed_s < HELPER_PAUSE_S
