"""Rate limits of replicas: named in their answers, or while they are cold.

An entry sends a replica with a limit only what the leader granted it. Without
a leader it sends half of an even part of the limit. A cold replica is slow, so
its grants are used only where no other replica is better.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from snipebridge.logs import log_decision
from snipebridge.policy.rate_grants import (
    COLD_GRANT_VALID_S,
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
    cold_per_s: float = 0.0
    cold_until_s: float = float('-inf')

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the replica bears few requests after its start."""
        return now_s < self.cold_until_s

    def in_force(self, now_s: float) -> bool:
        """Tell whether requests to the replica need a grant."""
        return self.named or self.is_cold(now_s)

    def rate(self, now_s: float) -> float:
        """Return the lower of the rates in force, at least a minimum."""
        rates = [self.per_s] if self.named else []
        if self.is_cold(now_s):
            rates.append(self.cold_per_s)
        return max(MIN_PER_S, min(rates, default=0.0))

    def grant_ends_s(self, sent_s: float, now_s: float) -> float:
        """Return when a grant of a reply to a heartbeat ends."""
        if self.is_cold(now_s):
            return sent_s + COLD_GRANT_VALID_S
        return sent_s + grant_valid_s(self.per_s)


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

    def note_cold(self, replica: str, per_s: float, until_s: float) -> None:
        """Limit a replica that has just started."""
        known = self._limits.get(replica)
        if known is None:
            known = _Limit(named=False, per_s=0, seen_s=float('-inf'))
            self._limits[replica] = known
        if until_s > known.cold_until_s:
            known.cold_until_s = until_s
            known.cold_per_s = per_s

    def is_limited(self, replica: str, now_s: float) -> bool:
        """Tell whether a replica names a limit or is cold."""
        limit = self._limits.get(replica)
        return limit is not None and limit.in_force(now_s)

    def record_wanted(self, replica: str, now_s: float) -> None:
        """Count a request that would go to a replica if it had no limit."""
        if self.is_limited(replica, now_s):
            self._limits[replica].wanted_s.append(now_s)

    def usable(
        self, candidates: Sequence[Replica], now_s: float
    ) -> list[Replica]:
        """Return the candidates that may get a request now.

        Where replicas that name a limit have granted requests, one of these
        gets it: each entry of a large fleet seldom has a grant, and it ends
        soon.
        """
        usable = []
        preferred = []
        for one in candidates:
            limit = self._limits.get(one.id)
            if limit is None or not limit.in_force(now_s):
                usable.append(one)
            elif self._has_grant(one.id, now_s):
                usable.append(one)
                if not limit.is_cold(now_s):
                    preferred.append(one)
            elif self._has_room(limit, now_s):
                usable.append(one)
        return preferred or usable

    def use(self, replica: str, now_s: float) -> None:
        """Count a request that is sent to a replica."""
        limit = self._limits.get(replica)
        if limit is None or not limit.in_force(now_s):
            return
        if limit.grants:
            limit.grants.popleft()
        elif limit.next_s is not None:
            limit.next_s = now_s + self._interval_s(limit, now_s)

    def fill_request(self, request: HeartbeatRequest, now_s: float) -> None:
        """Report what this entry knows and wants."""
        self._limits = {
            replica: limit
            for replica, limit in self._limits.items()
            if now_s - limit.seen_s <= LIMIT_VALID_S or limit.is_cold(now_s)
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
                    cold_per_s=limit.cold_per_s,
                    cold_left_s=max(0.0, limit.cold_until_s - now_s),
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
            if told.cold_left_s > 0:
                self.note_cold(
                    told.replica, told.cold_per_s, sent_s + told.cold_left_s
                )
            limit.next_s = None
            ends_s = limit.grant_ends_s(sent_s, sent_s)
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
        if not named and not known.is_cold(seen_s):
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
            interval_s = self._interval_s(limit, now_s)
            limit.next_s = now_s + self._rng.random() * interval_s
        return now_s >= limit.next_s

    def _interval_s(self, limit: _Limit, now_s: float) -> float:
        return self._entry_count / (limit.rate(now_s) * _LEADERLESS_SHARE)
