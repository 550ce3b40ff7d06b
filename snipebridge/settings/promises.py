"""Making the intervals of the system fit what operators were promised."""

from snipebridge.settings.models import Settings

_MS_PER_S = 1000
# A key that is withdrawn is refused once the lease is over: the rest of the
# time is for the change of a leader and for clocks that differ in speed.
_LEASE_PART = 0.6
# The list is read, passed on with a heartbeat, or read again by an entry that
# hears nothing: each in its part of the time that a leaving replica may get
# new work.
_INTERVAL_PART = 1 / 3
_FALLBACK_PART = 0.63


def apply_promises(settings: Settings) -> None:
    """Shorten the lease and the reading of the list where it is needed.

    >>> from snipebridge.settings.models import (
    ...     ProcessSettings, PromiseSettings
    ... )
    >>> settings = Settings(
    ...     ProcessSettings('c', 'd'),
    ...     promises=PromiseSettings(revocation_ms=2000.0, drain_ms=1500.0),
    ... )
    >>> apply_promises(settings)
    >>> settings.control.entry_lease_s, settings.replica_list.interval_s
    (1.2, 0.5)
    """
    promises = settings.promises
    control = settings.control
    revocation_s = promises.revocation_ms / _MS_PER_S
    control.entry_lease_s = min(
        control.entry_lease_s, _LEASE_PART * revocation_s
    )
    drain_s = promises.drain_ms / _MS_PER_S
    listed = settings.replica_list
    listed.interval_s = min(listed.interval_s, _INTERVAL_PART * drain_s)
    listed.fallback_after_s = min(
        listed.fallback_after_s, _FALLBACK_PART * drain_s
    )
