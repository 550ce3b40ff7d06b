"""Rate limits that replicas in need name in their answers."""

from dataclasses import dataclass

from snipebridge.logs import log_decision
from snipebridge.relay.messages import RateSign


@dataclass(slots=True)
class NamedLimit:
    """The limit of one replica as this entry saw it."""

    per_s: float
    seen_s: float


class ReplicaLimits:
    """Limits that this entry knows, by replica."""

    __slots__ = ('_named',)

    def __init__(self) -> None:
        """Start without a limit."""
        self._named: dict[str, NamedLimit] = {}

    def record_answer(self, replica: str, sign: RateSign, now_s: float) -> None:
        """Take what an answer says; one that can't be read changes nothing."""
        known = self._named.get(replica)
        if not sign.is_named:
            if self._named.pop(replica, None) is not None:
                log_decision('replica_limit', replica=replica, per_s=None)
            return
        if sign.per_s is None:
            log_decision('replica_limit_unread', replica=replica)
            return
        if known is None or known.per_s != sign.per_s:
            log_decision('replica_limit', replica=replica, per_s=sign.per_s)
        self._named[replica] = NamedLimit(sign.per_s, now_s)
