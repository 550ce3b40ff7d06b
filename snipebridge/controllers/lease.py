"""The lease under which an entry may give out work.

An entry may use its configuration only while its lease lasts. The lease
counts from the moment the entry sent the heartbeat that was granted, so the
control leader, which counts from the arrival, always sees it end later.

>>> lease = Lease()
>>> lease.extend(sent_at_s=10.0, lease_s=3.0)
>>> lease.is_valid(12.0), lease.is_valid(13.0)
(True, False)
"""


class Lease:
    """When the permission to give out work ends."""

    __slots__ = ('_expires_s',)

    def __init__(self) -> None:
        """Start without a permission."""
        self._expires_s = float('-inf')

    def extend(self, sent_at_s: float, lease_s: float) -> None:
        """Take a grant; an answer that overtook another never shortens it."""
        self._expires_s = max(self._expires_s, sent_at_s + lease_s)

    def is_valid(self, now_s: float) -> bool:
        """Tell whether work may be given out now."""
        return now_s < self._expires_s

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds left, 0 when it is over."""
        return max(0.0, self._expires_s - now_s)
