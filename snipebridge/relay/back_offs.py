"""Replicas that asked this entry for a pause, or that are leaving.

A replica that turns a request away may name the seconds for which it wants no
more from this entry (Retry-After, RFC 9110, 10.2.3). One that is about to stop
says so in all its answers, seconds before the list does.

>>> back_offs = BackOffs()
>>> back_offs.record_answer('r1', ResponseHead(503, [], back_off_s=2.0), 10.0)
>>> back_offs.is_paused('r1', 11.9), back_offs.is_paused('r1', 12.0)
(True, False)
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

from snipebridge.logs import log_decision
from snipebridge.relay.messages import ResponseHead
from snipebridge.relay.replicas import Replica

# A longer pause is taken as one of this length: the replica is asked again.
_MAX_BACK_OFF_S = 300.0
# A replica that is still listed so long after it said that it leaves stays.
_LEAVING_VALID_S = 60.0


@dataclass(slots=True)
class BackOffs:
    """What the answers of replicas to this entry said."""

    _until_s: dict[str, float] = field(default_factory=dict)
    _leaving_s: dict[str, float] = field(default_factory=dict)

    def record_answer(
        self, replica: str, head: ResponseHead, now_s: float
    ) -> None:
        """Take what an answer says; the latest end of a pause counts."""
        if head.is_leaving:
            if replica not in self._leaving_s:
                log_decision('replica_leaving', replica=replica)
            self._leaving_s[replica] = now_s
        if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
            return
        if head.back_off_s is None:
            if head.has_back_off:
                log_decision('replica_back_off_unread', replica=replica)
            return
        until_s = now_s + min(_MAX_BACK_OFF_S, head.back_off_s)
        if until_s > self._until_s.get(replica, float('-inf')):
            self._until_s[replica] = until_s
            log_decision(
                'replica_back_off',
                replica=replica,
                back_off_s=round(until_s - now_s, 2),
            )

    def is_paused(self, replica: str, now_s: float) -> bool:
        """Tell whether a replica wants no request now."""
        return now_s < self._until_s.get(replica, float('-inf'))

    def is_leaving(self, replica: Replica, now_s: float) -> bool:
        """Tell whether a replica said that it is about to stop.

        One that was lost since has started again.
        """
        said_s = self._leaving_s.get(replica.id)
        if said_s is None or replica.lost_s > said_s:
            return False
        return now_s - said_s <= _LEAVING_VALID_S

    def usable(
        self, candidates: Iterable[Replica], now_s: float
    ) -> list[Replica]:
        """Return the candidates that want requests."""
        return [one for one in candidates if not self.is_paused(one.id, now_s)]

    def staying(
        self, replicas: Iterable[Replica], now_s: float
    ) -> list[Replica]:
        """Return the replicas that did not say that they are leaving."""
        return [one for one in replicas if not self.is_leaving(one, now_s)]

    def left_s(self, replicas: Sequence[Replica], now_s: float) -> float:
        """Return when the first of some replicas takes requests again.

        It is 0 unless all of them are paused.
        """
        ends_s = [
            self._until_s.get(one.id, float('-inf')) - now_s for one in replicas
        ]
        return max(0.0, min(ends_s, default=0.0))

    def forget(self, replica: str) -> None:
        """Drop a replica that is no longer listed."""
        self._until_s.pop(replica, None)
        self._leaving_s.pop(replica, None)
