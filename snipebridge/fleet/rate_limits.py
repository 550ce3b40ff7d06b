"""The leader's part of rate limits: what each replica named last, and grants.

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
            if seen_s > known.seen_s:
                _update(known, report, seen_s, now_s)

    def add_reply(
        self, request: HeartbeatRequest, reply: HeartbeatReply, now_s: float
    ) -> None:
        """Tell an entry of all limits, and what it may send."""
        self._limits = {
            replica: limit
            for replica, limit in self._limits.items()
            if now_s - limit.seen_s <= LIMIT_VALID_S
        }
        wanted = {one.replica: one.wanted for one in request.rate_limits}
        for replica, limit in self._limits.items():
            granted = 0
            if limit.named:
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
                )
            )


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
