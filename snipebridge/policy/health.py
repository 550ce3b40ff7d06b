"""Tracks which upstreams may get new requests: departures and ejections.

Three sources report that an upstream is leaving or gone: the host list,
which is delayed, the upstream itself, and signals relayed by control. They
are stored separately and merged on each query. A host list that predates an
upstream's own report does not override it: a list has to confirm the
departure before a later list can revoke it.

Ejection is the local reaction to a failing upstream. It is limited to a share
of each pool, and an ejected upstream is probed again after a time that
doubles with each failure.

>>> tracker = make_health_tracker()
>>> tracker.set_members({'engine-1': 'models', 'engine-2': 'models'})
>>> for _ in range(3):
...     result = tracker.record_outcome('engine-1', Outcome.FAILED, now_s=0.0)
>>> tracker.is_available('engine-1', now_s=0.5)
False
"""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MAX_EJECTED_SHARE = 0.5
EJECT_AFTER_FAILURES = 3
FAILURE_SHARE_LIMIT = 0.5
FAILURE_SHARE_MIN_OUTCOMES = 10
FAILURE_SMOOTHING = 0.15
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
OWN_STATE_VALID_S = 120.0


@enum.unique
class UpstreamState(enum.StrEnum):
    """States that an upstream, the host list or a signal can report."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'
    OVERLOADED = 'overloaded'
    EJECTED = 'ejected'


@enum.unique
class Outcome(enum.StrEnum):
    """Result of one attempt at an upstream."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    UNREACHABLE = 'unreachable'
    BUSY = 'busy'
    CANCELLED = 'cancelled'


_FAILURES = frozenset(
    (Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE),
)
_DEPARTING = frozenset((UpstreamState.LEAVING, UpstreamState.GONE))
_DEGRADED = frozenset((UpstreamState.OVERLOADED, UpstreamState.EJECTED))


@dataclass(slots=True, frozen=True)
class HealthSignal:
    """A state of an upstream relayed by control, with a limited lifetime."""

    upstream: str
    state: UpstreamState
    sequence: int
    valid_s: float


@dataclass(slots=True)
class _SignalSlot:
    """The newest signal of one kind, kept after expiry for its sequence."""

    state: UpstreamState = UpstreamState.LIVE
    sequence: int = -1
    expires_s: float = float('-inf')

    def replace(self, signal: HealthSignal, now_s: float) -> None:
        """Store the signal if its sequence is higher than the stored one."""
        if signal.sequence > self.sequence:
            self.state = signal.state
            self.sequence = signal.sequence
            self.expires_s = now_s + signal.valid_s

    def active_state(self, now_s: float) -> UpstreamState:
        """Return the signalled state, `LIVE` once it has expired."""
        return self.state if now_s < self.expires_s else UpstreamState.LIVE


@dataclass(slots=True)
class _UpstreamRecord:
    """State and statistics of one upstream."""

    pool: str
    list_state: UpstreamState = UpstreamState.LIVE
    # Absence from a list counts only if an earlier list had the upstream.
    listed: bool = False
    # Set once a list has confirmed the departure that the upstream reported.
    list_confirmed: bool = False
    own_state: UpstreamState = UpstreamState.LIVE
    own_measured_s: float = float('-inf')
    # Separate slots, so that an overload never hides a departure.
    departure_signal: _SignalSlot = field(default_factory=_SignalSlot)
    condition_signal: _SignalSlot = field(default_factory=_SignalSlot)
    failures: int = 0
    outcomes: int = 0
    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = float('-inf')
    # After an ejection the upstream gets one request at a time.
    on_probation: bool = False
    probe_in_flight: bool = False

    def is_departing(self, now_s: float) -> bool:
        """Return whether any valid source reports a departure."""
        own_valid = now_s < self.own_measured_s + OWN_STATE_VALID_S
        if own_valid and self.own_state in _DEPARTING:
            return True
        if self.list_state in _DEPARTING:
            return True
        return self.departure_signal.active_state(now_s) in _DEPARTING


class HealthTracker:
    """Tracks the availability of upstreams as seen by one entry."""

    __slots__ = (
        '_list_sequence',
        '_list_states',
        '_max_ejected_share',
        '_records',
    )

    def __init__(self, max_ejected_share: float) -> None:
        """Start without upstreams."""
        self._max_ejected_share = max_ejected_share
        self._records: dict[str, _UpstreamRecord] = {}
        self._list_sequence = -1
        self._list_states: dict[str, UpstreamState] = {}

    def set_members(self, pools: Mapping[str, str]) -> None:
        """Replace the known upstreams, given the pool of each name."""
        old = self._records
        self._records = {}
        for name, pool in pools.items():
            record = old.get(name)
            if record is None:
                record = _UpstreamRecord(pool=pool)
                self._apply_list(name, record)
            record.pool = pool
            self._records[name] = record

    def record_host_list(
        self,
        sequence: int,
        states: Mapping[str, UpstreamState],
    ) -> None:
        """Apply a host list unless one as new is already known.

        An upstream that was listed and is missing from a newer list is gone.
        """
        if sequence <= self._list_sequence:
            return
        self._list_sequence = sequence
        self._list_states = dict(states)
        for name, record in self._records.items():
            self._apply_list(name, record)
            self._reconcile_list(record)

    def record_own_state(
        self,
        name: str,
        state: UpstreamState,
        measured_s: float,
    ) -> None:
        """Record the state that the upstream itself reported."""
        record = self._records.get(name)
        if record is None or measured_s <= record.own_measured_s:
            return
        if state != record.own_state:
            record.list_confirmed = False
        record.own_state = state
        record.own_measured_s = measured_s

    def record_signal(self, signal: HealthSignal, now_s: float) -> None:
        """Record a relayed signal unless a newer one is known."""
        record = self._records.get(signal.upstream)
        if record is None:
            return
        if signal.state not in _DEGRADED:
            record.departure_signal.replace(signal, now_s)
        if signal.state not in _DEPARTING:
            record.condition_signal.replace(signal, now_s)

    def record_dispatch(self, name: str) -> None:
        """Count a dispatch, which is the probe of an upstream on probation."""
        record = self._records.get(name)
        if record is not None and record.on_probation:
            record.probe_in_flight = True

    def record_outcome(self, name: str, outcome: Outcome, now_s: float) -> bool:
        """Count the end of an attempt.

        Returns True when it ends the probation of an ejected upstream.
        """
        record = self._records.get(name)
        if record is None or now_s < record.ejected_until_s:
            # Attempts started before an ejection neither extend nor end it.
            return False
        record.probe_in_flight = False
        if outcome in _FAILURES:
            self._count_failure(record, now_s)
            return False
        if outcome is not Outcome.ANSWERED:
            return False
        record.failures = 0
        record.outcomes += 1
        record.failure_share *= 1 - FAILURE_SMOOTHING
        recovered = record.on_probation
        record.on_probation = False
        if recovered:
            record.failure_share = 0.0
            record.outcomes = 0
        elif record.failure_share < FAILURE_SMOOTHING:
            record.ejections = 0
        return recovered

    def is_available(self, name: str, now_s: float) -> bool:
        """Return whether the upstream may get a new request now."""
        record = self._records.get(name)
        if record is None or record.is_departing(now_s):
            return False
        if now_s < record.ejected_until_s:
            return False
        return not record.probe_in_flight

    def is_overloaded(self, name: str, now_s: float) -> bool:
        """Return whether a valid signal reports an overload or ejection."""
        record = self._records.get(name)
        if record is None:
            return False
        return record.condition_signal.active_state(now_s) in _DEGRADED

    def next_probe_s(self, names: Iterable[str], now_s: float) -> float:
        """Return the seconds until the first ejected upstream may be probed.

        Returns infinity if none of them is ejected and still present.
        """
        waits = [
            max(0.0, record.ejected_until_s - now_s)
            for record in map(self._records.get, names)
            if record is not None
            and record.on_probation
            and not record.is_departing(now_s)
        ]
        return min(waits, default=float('inf'))

    def ejected_names(self, pool: str) -> list[str]:
        """Return the upstreams of a pool that are ejected or on probation."""
        return [
            name
            for name, record in self._records.items()
            if record.pool == pool and record.on_probation
        ]

    def _apply_list(self, name: str, record: _UpstreamRecord) -> None:
        state = self._list_states.get(name)
        if state is not None:
            record.listed = True
            record.list_state = state
        elif record.listed:
            record.list_state = UpstreamState.GONE

    def _reconcile_list(self, record: _UpstreamRecord) -> None:
        """Revoke a departure that an earlier list confirmed.

        A list that does not show the departure revokes the upstream's own
        report only if an earlier list showed it.
        """
        if record.own_state not in _DEPARTING:
            return
        if record.list_state in _DEPARTING:
            record.list_confirmed = True
        elif record.list_confirmed:
            record.own_state = UpstreamState.LIVE
            record.list_confirmed = False

    def _count_failure(self, record: _UpstreamRecord, now_s: float) -> None:
        record.failures += 1
        record.outcomes += 1
        increase = FAILURE_SMOOTHING * (1 - record.failure_share)
        record.failure_share += increase
        is_bad = record.failures >= EJECT_AFTER_FAILURES or (
            record.outcomes >= FAILURE_SHARE_MIN_OUTCOMES
            and record.failure_share >= FAILURE_SHARE_LIMIT
        )
        if record.on_probation or (is_bad and self._may_eject(record, now_s)):
            self._eject(record, now_s)

    def _eject(self, record: _UpstreamRecord, now_s: float) -> None:
        factor = 2**record.ejections
        duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * factor)
        record.ejected_until_s = now_s + duration_s
        record.ejections = min(record.ejections + 1, 10)
        record.on_probation = True

    def _may_eject(self, record: _UpstreamRecord, now_s: float) -> bool:
        """Return whether one more upstream of the pool may be ejected.

        Departing upstreams get no requests either, so they are not counted
        as members of the pool.
        """
        members = [
            other
            for other in self._records.values()
            if other.pool == record.pool and not other.is_departing(now_s)
        ]
        ejected = sum(other.on_probation for other in members)
        return ejected + 1 <= self._max_ejected_share * len(members)


def make_health_tracker(
    max_ejected_share: float = MAX_EJECTED_SHARE,
) -> HealthTracker:
    """Return a tracker that ejects at most that share of each pool."""
    return HealthTracker(max_ejected_share)
