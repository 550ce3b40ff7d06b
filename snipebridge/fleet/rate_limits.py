"""The leader's part of rate limits: what each replica bears, and grants.

A replica names a limit in its answers, or is cold for a while after its start,
when it bears few requests from all entries together.

Answers reach entries in any order, so the newest one counts, by its age. A
new leader knows nothing; each entry reports what it holds.
"""

import random
from dataclasses import dataclass

from snipebridge.logs import log_decision
from snipebridge.policy.rate_grants import LIMIT_VALID_S, RateGrants
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ReplicaRateLimit,
)


@dataclass(slots=True)
class _FleetLimit:
    named: bool
    per_s: float
    seen_s: float
    grants: RateGrants
    cold_per_s: float = 0.0
    cold_until_s: float = float('-inf')

    def rate(self, now_s: float) -> float | None:
        """Return the lower of the rates in force, none without one."""
        rates = [self.per_s] if self.named else []
        if now_s < self.cold_until_s:
            rates.append(self.cold_per_s)
        return min(rates, default=None)


class FleetRateLimits:
    """The rate limits that replicas named to any entry."""

    __slots__ = ('_limits', '_rng')

    def __init__(self, rng: random.Random | None = None) -> None:
        """Start without a limit."""
        self._limits: dict[str, _FleetLimit] = {}
        self._rng = rng or random.Random()

    def take(self, request: HeartbeatRequest, now_s: float) -> None:
        """Take what an entry saw, where it is newer."""
        for report in request.rate_limits:
            seen_s = now_s - report.age_s
            known = self._limits.get(report.replica)
            if known is None:
                known = _FleetLimit(
                    named=False,
                    per_s=0,
                    seen_s=float('-inf'),
                    grants=RateGrants(report.per_s, now_s),
                )
                self._limits[report.replica] = known
            if report.cold_left_s > 0:
                _note_cold(known, report, now_s)
            elif seen_s > known.seen_s:
                _update(known, report, seen_s, now_s)

    def add_reply(
        self, request: HeartbeatRequest, reply: HeartbeatReply, now_s: float
    ) -> None:
        """Tell an entry of all limits, and what it may send."""
        self._limits = {
            replica: limit
            for replica, limit in self._limits.items()
            if now_s - limit.seen_s <= LIMIT_VALID_S
            or now_s < limit.cold_until_s
        }
        wanted = {one.replica: one.wanted for one in request.rate_limits}
        for replica, limit in self._limits.items():
            granted = 0
            rate = limit.rate(now_s)
            if rate is not None:
                limit.grants.set_rate(rate, now_s)
                granted = limit.grants.grant(
                    request.entry, wanted.get(replica, 0), now_s, self._rng
                )
            reply.rate_limits.append(
                ReplicaRateLimit(
                    replica=replica,
                    named=limit.named,
                    per_s=limit.per_s,
                    age_s=now_s - limit.seen_s,
                    granted=granted,
                    cold_per_s=limit.cold_per_s,
                    cold_left_s=max(0.0, limit.cold_until_s - now_s),
                )
            )


def _note_cold(
    known: _FleetLimit, report: ReplicaRateLimit, now_s: float
) -> None:
    """Take that a replica is cold, for the longest that any entry knows."""
    if now_s >= known.cold_until_s:
        # Nothing that was saved up before may be granted at once.
        known.grants = RateGrants(report.cold_per_s, now_s)
        log_decision(
            'fleet_replica_cold',
            replica=report.replica,
            per_s=round(report.cold_per_s, 2),
            left_s=round(report.cold_left_s, 2),
        )
    known.cold_per_s = report.cold_per_s
    known.cold_until_s = max(known.cold_until_s, now_s + report.cold_left_s)


def _update(
    known: _FleetLimit, report: ReplicaRateLimit, seen_s: float, now_s: float
) -> None:
    is_change = (known.named, known.per_s) != (report.named, report.per_s)
    known.named = report.named
    known.per_s = report.per_s
    known.seen_s = seen_s
    if is_change:
        known.grants.set_rate(report.per_s, now_s)
        log_decision(
            'fleet_replica_limit',
            replica=report.replica,
            per_s=report.per_s if report.named else None,
            age_s=round(report.age_s, 3),
        )
