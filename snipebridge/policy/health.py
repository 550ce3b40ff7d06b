"""Which upstreams may get new work: signs that they leave, and ejection.

Three sources tell that an upstream leaves or is gone: the host list, which
lags, the upstream itself, and signs that control passes on. They are kept
apart and merged at each question, so that a list from before a sign never
undoes it: the list has to confirm the sign first.

Ejection is the local answer to an upstream that fails. It is bounded to a
share of each pool, and an ejected upstream is tried again after a time that
doubles with each failure.

>>> book = make_health_tracker()
>>> book.set_members({'engine-1': 'models', 'engine-2': 'models'})
>>> for _ in range(3):
...     returned = book.record_outcome('engine-1', Outcome.FAILED, now_s=0.0)
>>> book.is_available('engine-1', now_s=0.5)
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
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 60.0
OWN_SIGN_VALID_S = 120.0


@enum.unique
class UpstreamState(enum.StrEnum):
    """The states that a sign can tell of an upstream."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'
    OVERLOADED = 'overloaded'
    EJECTED = 'ejected'


@enum.unique
class Outcome(enum.StrEnum):
    """How one attempt at an upstream ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    UNREACHABLE = 'unreachable'
    BUSY = 'busy'
    CANCELLED = 'cancelled'


_FAILURES = frozenset(
    (Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE),
)
_DEPARTED = frozenset((UpstreamState.LEAVING, UpstreamState.GONE))
_STRAINED = frozenset((UpstreamState.OVERLOADED, UpstreamState.EJECTED))


@dataclass(slots=True, frozen=True)
class HealthSignal:
    """What control passes on about an upstream, valid for a bounded time."""

    upstream: str
    state: UpstreamState
    sequence: int
    valid_s: float


@dataclass(slots=True)
class _SignSlot:
    """The newest sign of one family, kept past its end for its sequence."""

    state: UpstreamState = UpstreamState.LIVE
    sequence: int = -1
    until_s: float = float('-inf')

    def replace(self, sign: HealthSignal, now_s: float) -> None:
        """Take the sign unless the one here has its sequence or a higher."""
        if sign.sequence > self.sequence:
            self.state = sign.state
            self.sequence = sign.sequence
            self.until_s = now_s + sign.valid_s

    def active(self, now_s: float) -> UpstreamState:
        """Return what the sign says, `LIVE` once it is over."""
        return self.state if now_s < self.until_s else UpstreamState.LIVE


@dataclass(slots=True)
class _Record:
    """All that is known of one upstream."""

    pool: str
    list_state: UpstreamState = UpstreamState.LIVE
    # A list that has never had the upstream says nothing by leaving it out.
    listed: bool = False
    # Set once a list after the upstream's own sign has confirmed it.
    list_confirmed: bool = False
    own_state: UpstreamState = UpstreamState.LIVE
    own_measured_s: float = float('-inf')
    # Apart, so that an overload never hides that the upstream leaves.
    presence: _SignSlot = field(default_factory=_SignSlot)
    condition: _SignSlot = field(default_factory=_SignSlot)
    failures: int = 0
    outcomes: int = 0
    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = float('-inf')
    # An ejected upstream whose time is over gets one request at a time.
    on_probation: bool = False
    probe_open: bool = False

    def departed(self, now_s: float) -> bool:
        """Tell whether any valid source says that the upstream leaves."""
        own_valid = now_s < self.own_measured_s + OWN_SIGN_VALID_S
        if own_valid and self.own_state in _DEPARTED:
            return True
        if self.list_state in _DEPARTED:
            return True
        return self.presence.active(now_s) in _DEPARTED


class HealthTracker:
    """Availability of the upstreams as one entry sees it."""

    __slots__ = (
        '_list_sequence',
        '_list_states',
        '_max_ejected_share',
        '_records',
    )

    def __init__(self, max_ejected_share: float) -> None:
        """Start without upstreams."""
        self._max_ejected_share = max_ejected_share
        self._records: dict[str, _Record] = {}
        self._list_sequence = -1
        self._list_states: dict[str, UpstreamState] = {}

    def set_members(self, pools: Mapping[str, str]) -> None:
        """Replace the known upstreams; maps each name to its pool."""
        old = self._records
        self._records = {}
        for name, pool in pools.items():
            record = old.get(name)
            if record is None:
                record = _Record(pool=pool)
                self._read_list(name, record)
            record.pool = pool
            self._records[name] = record

    def record_host_list(
        self,
        sequence: int,
        states: Mapping[str, UpstreamState],
    ) -> None:
        """Take in a host list; one that isn't newer is dropped.

        An upstream that was listed and that a newer list leaves out is gone.
        """
        if sequence <= self._list_sequence:
            return
        self._list_sequence = sequence
        self._list_states = dict(states)
        for name, record in self._records.items():
            self._read_list(name, record)
            self._reconcile_list(record)

    def record_own_state(
        self,
        name: str,
        state: UpstreamState,
        measured_s: float,
    ) -> None:
        """Take in what the upstream says of itself, as of `measured_s`."""
        record = self._records.get(name)
        if record is None or measured_s <= record.own_measured_s:
            return
        if state != record.own_state:
            record.list_confirmed = False
        record.own_state = state
        record.own_measured_s = measured_s

    def record_signal(self, sign: HealthSignal, now_s: float) -> None:
        """Take in a passed on sign; a lower sequence never replaces one."""
        record = self._records.get(sign.upstream)
        if record is None:
            return
        if sign.state not in _STRAINED:
            record.presence.replace(sign, now_s)
        if sign.state not in _DEPARTED:
            record.condition.replace(sign, now_s)

    def record_dispatch(self, name: str) -> None:
        """Count a dispatch; it takes the one probe of an upstream."""
        record = self._records.get(name)
        if record is not None and record.on_probation:
            record.probe_open = True

    def record_outcome(self, name: str, outcome: Outcome, now_s: float) -> bool:
        """Count the end of an attempt.

        Returns True when the upstream comes back from ejection with it.
        """
        record = self._records.get(name)
        if record is None or now_s < record.ejected_until_s:
            # Attempts from before an ejection neither extend nor end it.
            return False
        record.probe_open = False
        if outcome in _FAILURES:
            self._count_failure(record, now_s)
            return False
        if outcome is not Outcome.ANSWERED:
            return False
        record.failures = 0
        record.outcomes += 1
        record.failure_share *= 1 - FAILURE_SMOOTHING
        returned = record.on_probation
        record.on_probation = False
        if returned:
            record.failure_share = 0.0
            record.outcomes = 0
        elif record.failure_share < FAILURE_SMOOTHING:
            record.ejections = 0
        return returned

    def is_available(self, name: str, now_s: float) -> bool:
        """Tell whether the upstream may get a new request now."""
        record = self._records.get(name)
        if record is None or record.departed(now_s):
            return False
        if now_s < record.ejected_until_s:
            return False
        return not record.probe_open

    def is_overloaded(self, name: str, now_s: float) -> bool:
        """Tell whether a valid sign calls it overloaded or ejected elsewhere."""
        record = self._records.get(name)
        if record is None:
            return False
        return record.condition.active(now_s) in _STRAINED

    def next_return_s(self, names: Iterable[str], now_s: float) -> float:
        """Return the seconds until the first of the ejected may be tried.

        Returns infinity when none of them is merely ejected.
        """
        waits = [
            max(0.0, record.ejected_until_s - now_s)
            for record in map(self._records.get, names)
            if record is not None
            and record.on_probation
            and not record.departed(now_s)
        ]
        return min(waits, default=float('inf'))

    def ejected_names(self, pool: str) -> list[str]:
        """List the upstreams of a pool that are ejected or on probation."""
        return [
            name
            for name, record in self._records.items()
            if record.pool == pool and record.on_probation
        ]

    def _read_list(self, name: str, record: _Record) -> None:
        state = self._list_states.get(name)
        if state is not None:
            record.listed = True
            record.list_state = state
        elif record.listed:
            record.list_state = UpstreamState.GONE

    def _reconcile_list(self, record: _Record) -> None:
        """Let a list that once confirmed the own sign end it later."""
        if record.own_state not in _DEPARTED:
            return
        if record.list_state in _DEPARTED:
            record.list_confirmed = True
        elif record.list_confirmed:
            record.own_state = UpstreamState.LIVE
            record.list_confirmed = False

    def _count_failure(self, record: _Record, now_s: float) -> None:
        record.failures += 1
        record.outcomes += 1
        rise = FAILURE_SMOOTHING * (1 - record.failure_share)
        record.failure_share += rise
        is_bad = record.failures >= EJECT_AFTER_FAILURES or (
            record.outcomes >= FAILURE_SHARE_MIN_OUTCOMES
            and record.failure_share >= FAILURE_SHARE_LIMIT
        )
        if record.on_probation or (is_bad and self._has_room(record, now_s)):
            self._eject(record, now_s)

    def _eject(self, record: _Record, now_s: float) -> None:
        factor = 2**record.ejections
        duration_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * factor)
        record.ejected_until_s = now_s + duration_s
        record.ejections = min(record.ejections + 1, 10)
        record.on_probation = True

    def _has_room(self, record: _Record, now_s: float) -> bool:
        """Tell whether one more of the pool may be ejected.

        Upstreams that leave take no work either, so they count as missing
        from the pool and not as members of it.
        """
        members = [
            other
            for other in self._records.values()
            if other.pool == record.pool and not other.departed(now_s)
        ]
        ejected = sum(other.on_probation for other in members)
        return ejected + 1 <= self._max_ejected_share * len(members)


def make_health_tracker(
    max_ejected_share: float = MAX_EJECTED_SHARE,
) -> HealthTracker:
    """Return an empty book that ejects at most the share of each pool."""
    return HealthTracker(max_ejected_share)
