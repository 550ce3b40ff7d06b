"""Rate limits that replicas in need name in their answers.

An entry sends a replica with a limit only what the leader granted it. Without
a leader it sends half of an even part of the limit.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from snipebridge.logs import log_decision
from snipebridge.policy.rate_grants import (
    DEMAND_S,
    LIMIT_VALID_S,
    MIN_PER_S,
    grant_valid_s,
)
from snipebridge.relay.messages import RateSign
from snipebridge.relay.replicas import Replica
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ReplicaRateLimit,
)

# More requests than this within the time that demand counts add nothing.
_MAX_DEMAND = 64
# After this time without a reply an entry goes by its even part of the limit,
# of which it uses a share: others may still use their grants.
_LEADERLESS_S = 2.5
_LEADERLESS_SHARE = 0.5


@dataclass(slots=True)
class _Limit:
    """The limit of one replica by its newest known answer."""

    named: bool
    per_s: float
    seen_s: float
    # When each grant ends.
    grants: deque[float] = field(default_factory=deque)
    wanted_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=_MAX_DEMAND)
    )
    # Earliest time of the next request without a leader.
    next_s: float | None = None


class ReplicaLimits:
    """Limits that this entry knows, by replica."""

    __slots__ = ('_entry_count', '_limits', '_replied_s', '_rng')

    def __init__(self, rng: random.Random | None = None) -> None:
        """Start without a limit."""
        self._limits: dict[str, _Limit] = {}
        self._rng = rng or random.Random()
        self._replied_s = float('-inf')
        self._entry_count = 1

    def record_answer(self, replica: str, sign: RateSign, now_s: float) -> bool:
        """Take what an answer says; tell whether others should hear of it.

        An answer whose limit can't be read changes nothing.
        """
        known = self._limits.get(replica)
        if sign.is_named and sign.per_s is None:
            log_decision('replica_limit_unread', replica=replica)
            return False
        if not sign.is_named and (known is None or not known.named):
            return False
        return self._learn(replica, sign.is_named, sign.per_s or 0, now_s)

    def is_limited(self, replica: str) -> bool:
        """Tell whether a replica names a limit."""
        limit = self._limits.get(replica)
        return limit is not None and limit.named

    def record_wanted(self, replica: str, now_s: float) -> None:
        """Count a request that would go to a replica if it had no limit."""
        if self.is_limited(replica):
            self._limits[replica].wanted_s.append(now_s)

    def usable(
        self, candidates: Sequence[Replica], now_s: float
    ) -> list[Replica]:
        """Return the candidates that may get a request now.

        Where there are grants it goes to one of their replicas: each entry of
        a large fleet seldom has a grant, and it ends soon.
        """
        limited = [one for one in candidates if self.is_limited(one.id)]
        if not limited:
            return list(candidates)
        granted = [one for one in limited if self._has_grant(one.id, now_s)]
        if granted:
            return granted
        return [
            one
            for one in candidates
            if one not in limited or self._has_room(self._limits[one.id], now_s)
        ]

    def use(self, replica: str, now_s: float) -> None:
        """Count a request that is sent to a replica."""
        limit = self._limits.get(replica)
        if limit is None or not limit.named:
            return
        if limit.grants:
            limit.grants.popleft()
        elif limit.next_s is not None:
            limit.next_s = now_s + self._interval_s(limit)

    def fill_request(self, request: HeartbeatRequest, now_s: float) -> None:
        """Report what this entry knows and wants."""
        self._limits = {
            replica: limit
            for replica, limit in self._limits.items()
            if now_s - limit.seen_s <= LIMIT_VALID_S
        }
        for replica, limit in self._limits.items():
            while limit.wanted_s and limit.wanted_s[0] < now_s - DEMAND_S:
                limit.wanted_s.popleft()
            request.rate_limits.append(
                ReplicaRateLimit(
                    replica=replica,
                    named=limit.named,
                    per_s=limit.per_s,
                    age_s=now_s - limit.seen_s,
                    wanted=len(limit.wanted_s),
                )
            )

    def apply_reply(
        self, reply: HeartbeatReply, sent_s: float, entry_count: int
    ) -> None:
        """Take limits and grants; their times count from the request."""
        self._replied_s = sent_s
        self._entry_count = entry_count
        for told in reply.rate_limits:
            known = self._limits.get(told.replica)
            seen_s = sent_s - told.age_s
            if known is None or seen_s > known.seen_s:
                self._learn(told.replica, told.named, told.per_s, seen_s)
            limit = self._limits[told.replica]
            limit.next_s = None
            ends_s = sent_s + grant_valid_s(limit.per_s)
            for _ in range(told.granted):
                limit.grants.append(ends_s)
                if limit.wanted_s:
                    limit.wanted_s.popleft()

    def _learn(
        self, replica: str, named: bool, per_s: float, seen_s: float
    ) -> bool:
        known = self._limits.get(replica)
        if known is None:
            known = _Limit(named=False, per_s=0, seen_s=seen_s)
            self._limits[replica] = known
        is_change = (known.named, known.per_s) != (named, per_s)
        known.named = named
        known.per_s = per_s
        known.seen_s = seen_s
        if not named:
            known.grants.clear()
        if is_change:
            log_decision(
                'replica_limit',
                replica=replica,
                per_s=per_s if named else None,
            )
        return is_change

    def _has_grant(self, replica: str, now_s: float) -> bool:
        limit = self._limits[replica]
        while limit.grants and limit.grants[0] <= now_s:
            limit.grants.popleft()
        return bool(limit.grants)

    def _has_room(self, limit: _Limit, now_s: float) -> bool:
        """Tell whether a request without a grant may be sent."""
        if now_s - self._replied_s <= _LEADERLESS_S:
            return False
        if limit.next_s is None:
            # Entries begin at different times, so that they do not add up.
            limit.next_s = now_s + self._rng.random() * self._interval_s(limit)
        return now_s >= limit.next_s

    def _interval_s(self, limit: _Limit) -> float:
        per_s = max(limit.per_s, MIN_PER_S) * _LEADERLESS_SHARE
        return self._entry_count / per_s
