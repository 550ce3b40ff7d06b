"""Selects the software version of a service for each request.

During a roll-out a share of the requests, selected by a hash of the session,
goes to the target version. A session stays on the version it has used: on the
old one until the target takes all traffic, on the target until it is stopped.
Its requests reach many entries, so entries tell each other, through the leader,
the hashes of the sessions on either version. What an entry decides from its own
observations (its exposure, the backlog of a canary) keeps new sessions off the
target and never moves one that is there.
An entry stops using a target that fails its own requests at once, without
waiting for the leader.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from snipebridge.controllers.software_rollouts import (
    ACTIVE,
    COMPLETED,
    REVERTED,
)
from snipebridge.fleet.evidence import write_stratum
from snipebridge.logs import log_decision
from snipebridge.policy.canary_exposure import CanaryExposure
from snipebridge.policy.software_rollouts import (
    TAKEOVER_SLOW_SHARE,
    WHOLE_PERMILLE,
    find_fault,
)
from snipebridge.policy.version_records import Stratum, VersionRecord
from snipebridge.relay.replicas import Replica
from snipebridge.rpc.control_pb2 import SoftwareOutcome, SoftwareRollout

# Above the number of concurrent sessions of one entry. The least recently used
# session is evicted first.
_MAX_SESSIONS = 4096
# No canary share exceeds this, so only sessions whose hash is below it are
# reported to other entries.
_MAX_CANARY_PERMILLE = 600
# Further strata of a version are counted as one, so that reports stay short.
_MAX_STRATA = 64
# Each report has the strata that changed, and one of so many has all: a report
# may be lost, and a new leader knows none.
_WHOLE_REPORT_INTERVAL = 5
_WHOLE = Stratum()
# Stands for the version that another entry's session uses beside the target.
_OTHER_SOFTWARE = 'another version'
# With a larger backlog the canary replica makes callers wait longer than
# other replicas would.
_MAX_CANARY_BACKLOG_MS = 800.0


@dataclass(slots=True)
class _Pin:
    software: str
    used_s: float


@dataclass(slots=True)
class _RemotePin:
    """The version of a session that another entry reported."""

    is_on_target: bool
    reported_s: float


@dataclass(slots=True)
class _RolloutObservation:
    """Outcomes of this entry's requests by version during one roll-out."""

    number: int
    exposure: CanaryExposure
    records: dict[str, VersionRecord] = field(default_factory=dict)
    # Strata that changed since the last report, with their version.
    changed: set[tuple[str, Stratum]] = field(default_factory=set)
    report_count: int = 0
    is_stopped: bool = False

    def mark(self, software: str, stratum: Stratum) -> Stratum:
        """Return where an answer is counted, to be reported next."""
        strata = self.records[software].strata
        if stratum not in strata and len(strata) >= _MAX_STRATA:
            stratum = Stratum(is_stream=stratum.is_stream)
        self.changed.add((software, stratum))
        return stratum

    def pop_outcomes(self, service: str) -> list[SoftwareOutcome]:
        """Return the sums of each version, with the strata to report now."""
        is_whole = self.report_count % _WHOLE_REPORT_INTERVAL == 0
        self.report_count += 1
        changed, self.changed = self.changed, set()
        return [
            _outcome(
                service,
                software,
                self.number,
                record,
                [
                    stratum
                    for stratum in record.strata
                    if is_whole or (software, stratum) in changed
                ],
            )
            for software, record in self.records.items()
        ]


class SoftwareSelector:
    """Tracks roll-outs, pinned sessions and request outcomes by version."""

    __slots__ = (
        '_remote_draws',
        '_unreported_draws',
        '_unreported_target_draws',
        '_pins',
        '_rollouts',
        '_observations',
        '_exposure_share',
        '_rng',
        '_session_ttl_s',
        '_stable_software',
        'report_now',
    )

    def __init__(
        self,
        session_ttl_s: float,
        exposure_share: float = 0.15,
        rng: random.Random | None = None,
    ) -> None:
        """Pin a session to its version for a time after its last use.

        A version on trial gets at most `exposure_share` of what this entry
        sends to its service, but for the sessions that it already has.
        """
        self._session_ttl_s = session_ttl_s
        self._exposure_share = exposure_share
        self._rng = rng or random.Random()
        self._rollouts: dict[str, SoftwareRollout] = {}
        self._observations: dict[str, _RolloutObservation] = {}
        self._pins: dict[tuple[str, str], _Pin] = {}
        self._stable_software: dict[str, str] = {}
        # Hashes of sessions pinned to the old version and to the target: at
        # this entry since the last heartbeat, and at other entries.
        self._unreported_draws: set[int] = set()
        self._unreported_target_draws: set[int] = set()
        self._remote_draws: dict[int, _RemotePin] = {}
        # Sends the next heartbeat at once.
        self.report_now: Callable[[], None] = lambda: None

    def apply_rollouts(self, rollouts: Iterable[SoftwareRollout]) -> None:
        """Apply the roll-outs that the leader has sent."""
        for rollout in rollouts:
            known = self._rollouts.get(rollout.service)
            if known is not None and known == rollout:
                continue
            self._rollouts[rollout.service] = rollout
            observation = self._observations.get(rollout.service)
            if observation is None or observation.number != rollout.number:
                self._observations[rollout.service] = _RolloutObservation(
                    rollout.number,
                    CanaryExposure(self._exposure_share, self._rng.random()),
                )
                self._report_known_pins(rollout)
            log_decision(
                'software_rollout_known',
                service=rollout.service,
                target=rollout.target,
                number=rollout.number,
                state=rollout.state,
                share_permille=rollout.share_permille,
            )

    def eligible(
        self,
        replicas: Sequence[Replica],
        service: str,
        session: str,
        hash_key: str,
        now_s: float,
        failed: Collection[str] = (),
        erring: Collection[str] = (),
    ) -> list[Replica]:
        """Return the replicas whose version this request may use.

        A request that failed in any way on a canary goes to other versions.
        Once the target takes all traffic, a replica that timed out or closed
        the connection says nothing about the version, and sessions stay on
        it; the request leaves the version only after an error response.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._stable_replicas(replicas, service)
        target = [
            replica
            for replica in replicas
            if replica.software == rollout.target
        ]
        others = _other_replicas(rollout, replicas)
        if rollout.state == COMPLETED or rollout.target == rollout.in_use:
            # The other replicas are stopped, or of a version whose trial this
            # order cut short, so a local stop no longer applies.
            return target or others
        if rollout.state == REVERTED or self._is_stopped_locally(service):
            return others
        is_full_rollout = rollout.share_permille >= WHOLE_PERMILLE
        avoided = erring if is_full_rollout else failed
        if rollout.target in avoided and others:
            return others
        if rollout.share_permille and target:
            pinned = self._pinned(rollout, session, now_s)
            if self._uses_target(rollout, pinned, hash_key, now_s):
                return _canary_replicas(rollout, target, others, pinned)
        return others

    def record_use(self, replica: Replica, session: str, now_s: float) -> None:
        """Pin a session to the version that it uses or has just used.

        It is called when a request is sent, so that other entries know the
        version before the session's next request, and again when it has ended.
        """
        if not session:
            return
        key = (replica.service, session)
        self._pins.pop(key, None)
        self._pins[key] = _Pin(replica.software, now_s)
        if len(self._pins) > _MAX_SESSIONS:
            self._pins.pop(next(iter(self._pins)))
        rollout = self._rollouts.get(replica.service)
        if rollout is not None:
            self._report_pin(rollout, session, replica.software)

    def pop_pinned_draws(self) -> list[int]:
        """Return the hashes of pinned sessions to report, and clear them."""
        draws = list(self._unreported_draws)
        self._unreported_draws.clear()
        return draws

    def pop_target_draws(self) -> list[int]:
        """Return the hashes of sessions on a target, and clear them."""
        draws = list(self._unreported_target_draws)
        self._unreported_target_draws.clear()
        return draws

    def apply_pinned_draws(self, draws: Iterable[int], now_s: float) -> None:
        """Add the sessions that other entries pin to the old version."""
        self._remote_draws = {
            draw: pin
            for draw, pin in self._remote_draws.items()
            if now_s - pin.reported_s <= self._session_ttl_s
        }
        for draw in draws:
            self._remote_draws[draw] = _RemotePin(False, now_s)

    def apply_target_draws(self, draws: Iterable[int], now_s: float) -> None:
        """Add the sessions that other entries have on the target."""
        for draw in draws:
            self._remote_draws[draw] = _RemotePin(True, now_s)

    def is_on_trial(self, replica: Replica) -> bool:
        """Tell whether a replica runs the target of an active roll-out."""
        rollout = self._rollouts.get(replica.service)
        return (
            rollout is not None
            and rollout.state == ACTIVE
            and rollout.target == replica.software
        )

    def active_number(self, service: str) -> int:
        """Return the number of the roll-out under way, 0 without one."""
        rollout = self._rollouts.get(service)
        is_active = rollout is not None and rollout.state == ACTIVE
        return rollout.number if is_active else 0

    def is_on_target(self, service: str, session: str, now_s: float) -> bool:
        """Tell whether a session uses the target of a roll-out."""
        rollout = self._rollouts.get(service)
        return (
            rollout is not None
            and self._pinned(rollout, session, now_s) == rollout.target
        )

    def record_sent(
        self, replica: Replica, session: str = '', now_s: float = 0.0
    ) -> None:
        """Count a request sent to a version, which its session then keeps."""
        self.record_use(replica, session, now_s)
        record = self._record(replica)
        if record is not None:
            record.sent += 1
            service = replica.service
            target = self._rollouts[service].target
            self._observations[service].exposure.record(
                on_target=replica.software == target
            )

    def record_outcome(
        self,
        replica: Replica,
        *,
        failed: bool,
        slow: bool,
        is_timed: bool = True,
        stratum: Stratum = _WHOLE,
        spent_s: float = 0.0,
    ) -> bool:
        """Count a response; tell whether this entry stops the target now.

        `spent_s` is what the fleet compares, 0 if it is not known.
        """
        record = self._record(replica)
        if record is None:
            return False
        service = replica.service
        observation = self._observations[service]
        record.count(
            observation.mark(replica.software, stratum),
            failed=failed,
            slow=slow,
            is_timed=is_timed,
            spent_s=spent_s,
        )
        rollout = self._rollouts[service]
        if replica.software != rollout.target:
            return False
        return self._stop_if_bad(rollout, observation)

    def record_slow_body(self, replica: Replica) -> None:
        """Count a response that started in time but continued slowly."""
        record = self._record(replica)
        if record is not None:
            record.slow += 1

    def record_new_time(
        self,
        replica: Replica,
        stratum: Stratum,
        number: int,
        before_s: float,
        spent_s: float,
    ) -> None:
        """Replace the time of a response that was counted as it went on.

        It changes nothing if that was not in the roll-out under way, by its
        number.
        """
        if number != self.active_number(replica.service):
            return
        record = self._record(replica)
        if record is not None and stratum in record.strata:
            self._observations[replica.service].mark(replica.software, stratum)
            record.replace_time(stratum, before_s, spent_s)

    def pop_outcomes(self) -> list[SoftwareOutcome]:
        """Return what to report of each active roll-out since its order."""
        return [
            outcome
            for service, observation in self._observations.items()
            if self._rollouts[service].state == ACTIVE
            for outcome in observation.pop_outcomes(service)
        ]

    def _record(self, replica: Replica) -> VersionRecord | None:
        """Return the record of a version, none without an active roll-out."""
        rollout = self._rollouts.get(replica.service)
        if rollout is None or rollout.state != ACTIVE:
            return None
        records = self._observations[replica.service].records
        return records.setdefault(replica.software, VersionRecord())

    def _stop_if_bad(
        self, rollout: SoftwareRollout, observation: _RolloutObservation
    ) -> bool:
        if observation.is_stopped:
            return False
        target = observation.records.get(rollout.target, VersionRecord())
        others = VersionRecord()
        for software, record in observation.records.items():
            if software != rollout.target:
                others.add(record)
        has_taken_over = rollout.share_permille >= WHOLE_PERMILLE
        fault = find_fault(
            target, others, TAKEOVER_SLOW_SHARE if has_taken_over else 0
        )
        if not fault:
            return False
        observation.is_stopped = True
        log_decision(
            'software_stopped_here',
            service=rollout.service,
            target=rollout.target,
            number=rollout.number,
            reason=fault,
        )
        return True

    def _uses_target(
        self, rollout: SoftwareRollout, pinned: str, key: str, now_s: float
    ) -> bool:
        if rollout.share_permille >= WHOLE_PERMILLE:
            return True
        if pinned:
            return pinned == rollout.target
        if _rollout_hash(rollout, key) % WHOLE_PERMILLE >= (
            rollout.share_permille
        ):
            return False
        return self._observations[rollout.service].exposure.allows_more()

    def _is_stopped_locally(self, service: str) -> bool:
        observation = self._observations.get(service)
        return observation is not None and observation.is_stopped

    def _pinned(
        self, rollout: SoftwareRollout, session: str, now_s: float
    ) -> str:
        """Return the version of a session by its newest known use."""
        if not session:
            return ''
        pin = self._pins.get((rollout.service, session))
        used_s = pin.used_s if pin else float('-inf')
        remote = self._remote_draws.get(_rollout_hash(rollout, session))
        if remote is not None and remote.reported_s > used_s:
            if now_s - remote.reported_s > self._session_ttl_s:
                return ''
            return rollout.target if remote.is_on_target else _OTHER_SOFTWARE
        return pin.software if now_s - used_s <= self._session_ttl_s else ''

    def _report_known_pins(self, rollout: SoftwareRollout) -> None:
        """Report the sessions that used the service before its roll-out."""
        for (service, session), pin in self._pins.items():
            if service == rollout.service:
                self._report_pin(rollout, session, pin.software)

    def _report_pin(
        self, rollout: SoftwareRollout, session: str, software: str
    ) -> None:
        """Report a session on trial, or one that a trial could draw."""
        if rollout.state != ACTIVE or rollout.share_permille >= WHOLE_PERMILLE:
            return
        draw = _rollout_hash(rollout, session)
        place_permille = draw % WHOLE_PERMILLE
        if software == rollout.target:
            unreported = self._unreported_target_draws
        elif place_permille < _MAX_CANARY_PERMILLE:
            unreported = self._unreported_draws
        else:
            return
        is_drawn = place_permille < rollout.share_permille
        is_new = draw not in self._remote_draws and draw not in unreported
        unreported.add(draw)
        if is_drawn and is_new:
            # The next request of the session may come before the heartbeat.
            self.report_now()

    def _stable_replicas(
        self, replicas: Sequence[Replica], service: str
    ) -> list[Replica]:
        """Return the replicas of the version in use before any roll-out.

        Replicas of a new version start beside the old ones and get no
        requests until a roll-out names their version.
        """
        stable = self._stable_software.get(service, '')
        kept = [replica for replica in replicas if replica.software == stable]
        if kept or not replicas:
            return kept
        names = [replica.software for replica in replicas]
        self._stable_software[service] = max(set(names), key=names.count)
        return self._stable_replicas(replicas, service)


def _outcome(
    service: str,
    software: str,
    number: int,
    record: VersionRecord,
    strata: Iterable[Stratum],
) -> SoftwareOutcome:
    return SoftwareOutcome(
        service=service,
        software=software,
        rollout=number,
        answered=record.answered,
        failed=record.failed,
        slow=record.slow,
        sent=record.sent,
        untimed=record.untimed,
        has_strata=True,
        strata=[write_stratum(one, record.strata[one]) for one in strata],
    )


def _other_replicas(
    rollout: SoftwareRollout, replicas: Sequence[Replica]
) -> list[Replica]:
    """Return the replicas of the version in use.

    Others may still be up: those of versions that an earlier roll-out rolled
    back or replaced, or whose trial this one cut short.
    """
    others = [
        replica
        for replica in replicas
        if replica.software != rollout.target
        and replica.software not in rollout.rejected
    ]
    in_use = [one for one in others if one.software == rollout.in_use]
    return in_use or others


def _canary_replicas(
    rollout: SoftwareRollout,
    target: list[Replica],
    others: list[Replica],
    pinned: str,
) -> list[Replica]:
    """Return the few replicas that serve the whole canary share.

    There are as many as give each the load that it will have with all traffic,
    and at least one: spread over more, a small share would not show how the
    version performs under that load, and on fewer a good version of a large
    pool would look slow. New sessions avoid canary replicas with a long backlog.
    """
    if rollout.share_permille >= WHOLE_PERMILLE:
        return target
    count = max(1, len(target) * rollout.share_permille // WHOLE_PERMILLE)
    ordered = sorted(
        target, key=lambda replica: _rollout_hash(rollout, replica.id)
    )
    chosen = ordered[:count]
    if not others or pinned:
        # Only sessions on the target are pinned here.
        return chosen
    free = [
        replica
        for replica in chosen
        if replica.total_backlog_ms <= _MAX_CANARY_BACKLOG_MS
    ]
    return free or others


def _rollout_hash(rollout: SoftwareRollout, key: str) -> int:
    """Return the hash that decides whether a session uses the target."""
    return xxhash.xxh3_64_intdigest(f'{rollout.number}/{key}'.encode())
