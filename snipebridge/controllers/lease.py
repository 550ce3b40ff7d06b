"""The lease under which an entry may dispatch work.

An entry may use its configuration only while its lease is valid. The entry
counts the lease from the time at which it sent the heartbeat and the control
leader from the arrival, so the leader always sees it expire later.

>>> lease = Lease()
>>> lease.extend(sent_at_s=10.0, lease_s=3.0)
>>> lease.is_valid(12.0), lease.is_valid(13.0)
(True, False)
"""


class Lease:
    """The expiry of the permission to dispatch work."""

    __slots__ = ('_expires_s', 'confirmed_at_s')

    def __init__(self) -> None:
        """Start without a valid lease."""
        self._expires_s = float('-inf')
        # This entry holds all that was in force up to this time.
        self.confirmed_at_s = float('-inf')

    def extend(self, sent_at_s: float, lease_s: float) -> None:
        """Apply a grant; a reply that arrives late never shortens it."""
        self._expires_s = max(self._expires_s, sent_at_s + lease_s)
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    def is_confirmed(self, now_s: float, max_age_s: float) -> bool:
        """Return whether nothing older than an age can be missing here."""
        return now_s - self.confirmed_at_s <= max_age_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether work may be dispatched now."""
        return now_s < self._expires_s

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining seconds, 0 once it has expired."""
        return max(0.0, self._expires_s - now_s)
