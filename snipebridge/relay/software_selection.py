"""Which software version of a service a request is sent to.

During a roll-out a share of the requests, chosen by a hash of the session,
goes to the target version. A session stays on the version it has used: on the
old one until the target takes all traffic, on the target until it is stopped.
An entry whose own requests prove the target bad stops using it at once,
without waiting for the leader.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from snipebridge.controllers.software_rollouts import (
    ACTIVE,
    COMPLETED,
    REVERTED,
)
from snipebridge.logs import log_decision
from snipebridge.policy.software_rollouts import (
    WHOLE_PERMILLE,
    VersionRecord,
    find_fault,
)
from snipebridge.relay.replicas import Replica
from snipebridge.rpc.control_pb2 import SoftwareOutcome, SoftwareRollout

# More sessions than any entry has at a time; the oldest is forgotten first.
_MAX_SESSIONS = 4096
# No trial draws more than this, so only sessions drawn below it need to be
# known at other entries.
_MAX_CANARY_PERMILLE = 600
# More prompt work than this ahead of a request on trial is a wait that its
# caller would not have elsewhere.
_MAX_CANARY_BACKLOG_MS = 800.0


@dataclass(slots=True)
class _Pin:
    software: str
    used_s: float


@dataclass(slots=True)
class _RolloutObservation:
    """What this entry saw of the versions in one roll-out."""

    number: int
    records: dict[str, VersionRecord] = field(default_factory=dict)
    is_stopped: bool = False


class SoftwareSelector:
    """Knows the roll-outs, the sessions, and what came of the requests."""

    __slots__ = (
        '_remote_draws',
        '_unreported_draws',
        '_pins',
        '_rollouts',
        '_observations',
        '_session_ttl_s',
        '_stable_software',
    )

    def __init__(self, session_ttl_s: float) -> None:
        """Keep a session on its version for a time after its last use."""
        self._session_ttl_s = session_ttl_s
        self._rollouts: dict[str, SoftwareRollout] = {}
        self._observations: dict[str, _RolloutObservation] = {}
        self._pins: dict[tuple[str, str], _Pin] = {}
        self._stable_software: dict[str, str] = {}
        # Draws of sessions on the old version: used here since the last
        # report, and used at other entries, with when that was told.
        self._unreported_draws: set[int] = set()
        self._remote_draws: dict[int, float] = {}

    def apply_rollouts(self, rollouts: Iterable[SoftwareRollout]) -> None:
        """Take the roll-outs as the leader tells them."""
        for rollout in rollouts:
            known = self._rollouts.get(rollout.service)
            if known is not None and known == rollout:
                continue
            self._rollouts[rollout.service] = rollout
            observation = self._observations.get(rollout.service)
            if observation is None or observation.number != rollout.number:
                self._observations[rollout.service] = _RolloutObservation(
                    rollout.number
                )
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

        A request that a version on trial has failed goes to the others.
        Once the version bears everything, a replica that fell silent or broke
        off says nothing about it, and sessions stay there; only a version
        that answered with a failure is left.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._stable_replicas(replicas, service)
        target = [
            replica
            for replica in replicas
            if replica.software == rollout.target
        ]
        others = [
            replica
            for replica in replicas
            if replica.software != rollout.target
        ]
        if rollout.state == COMPLETED:
            # The old replicas are stopped; what this entry saw alone is over.
            return target or others
        if rollout.state == REVERTED or self._is_stopped_locally(service):
            return others
        is_full_rollout = rollout.share_permille >= WHOLE_PERMILLE
        left = erring if is_full_rollout else failed
        if rollout.target in left and others:
            return others
        if rollout.share_permille and target:
            pinned = self._pinned(service, session, now_s)
            if not others or self._uses_target(
                rollout, pinned, hash_key, now_s
            ):
                return _canary_replicas(rollout, target, others, pinned)
        return others

    def record_use(self, replica: Replica, session: str, now_s: float) -> None:
        """Keep a session on the version that it has just used."""
        if not session:
            return
        key = (replica.service, session)
        self._pins.pop(key, None)
        self._pins[key] = _Pin(replica.software, now_s)
        if len(self._pins) > _MAX_SESSIONS:
            self._pins.pop(next(iter(self._pins)))
        rollout = self._rollouts.get(replica.service)
        if rollout is None or rollout.target == replica.software:
            return
        draw = _draw(rollout, session)
        is_canary = rollout.state == ACTIVE and (
            rollout.share_permille < WHOLE_PERMILLE
        )
        if is_canary and draw % WHOLE_PERMILLE < _MAX_CANARY_PERMILLE:
            self._unreported_draws.add(draw)

    def pop_pinned_draws(self) -> list[int]:
        """Return the draws to report, once."""
        draws = list(self._unreported_draws)
        self._unreported_draws.clear()
        return draws

    def apply_pinned_draws(self, draws: Iterable[int], now_s: float) -> None:
        """Take the sessions that other entries keep on the old version."""
        self._remote_draws = {
            draw: reported_s
            for draw, reported_s in self._remote_draws.items()
            if now_s - reported_s <= self._session_ttl_s
        }
        for draw in draws:
            self._remote_draws[draw] = now_s

    def record_sent(self, replica: Replica) -> None:
        """Count a request that is sent to a version."""
        record = self._record(replica)
        if record is not None:
            record.sent += 1

    def record_outcome(
        self, replica: Replica, *, failed: bool, slow: bool
    ) -> bool:
        """Count an answer; tell whether it made this entry stop a version."""
        record = self._record(replica)
        if record is None:
            return False
        record.answered += 1
        record.failed += failed
        record.slow += slow
        service = replica.service
        return self._stop_if_bad(
            self._rollouts[service], self._observations[service]
        )

    def record_slow_body(self, replica: Replica) -> None:
        """Count an answer that began in time and came slowly."""
        record = self._record(replica)
        if record is not None:
            record.slow += 1

    def outcomes(self) -> list[SoftwareOutcome]:
        """Return the sums since the order of each roll-out under way."""
        return [
            SoftwareOutcome(
                service=service,
                software=software,
                rollout=observation.number,
                answered=record.answered,
                failed=record.failed,
                slow=record.slow,
                sent=record.sent,
            )
            for service, observation in self._observations.items()
            if self._rollouts[service].state == ACTIVE
            for software, record in observation.records.items()
        ]

    def _record(self, replica: Replica) -> VersionRecord | None:
        """Return the record of a version while a roll-out is under way."""
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
        fault = find_fault(target, others)
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
        draw = _draw(rollout, key)
        reported_s = self._remote_draws.get(draw, float('-inf'))
        if now_s - reported_s <= self._session_ttl_s:
            return False
        return draw % WHOLE_PERMILLE < rollout.share_permille

    def _is_stopped_locally(self, service: str) -> bool:
        observation = self._observations.get(service)
        return observation is not None and observation.is_stopped

    def _pinned(self, service: str, session: str, now_s: float) -> str:
        pin = self._pins.get((service, session))
        if pin is None or now_s - pin.used_s > self._session_ttl_s:
            return ''
        return pin.software

    def _stable_replicas(
        self, replicas: Sequence[Replica], service: str
    ) -> list[Replica]:
        """Return those of the version that was there first.

        Replicas of a new version start beside the old ones and get nothing
        before a roll-out names them.
        """
        stable = self._stable_software.get(service, '')
        kept = [replica for replica in replicas if replica.software == stable]
        if kept or not replicas:
            return kept
        names = [replica.software for replica in replicas]
        self._stable_software[service] = max(set(names), key=names.count)
        return self._stable_replicas(replicas, service)


def _canary_replicas(
    rollout: SoftwareRollout,
    target: list[Replica],
    others: list[Replica],
    pinned: str,
) -> list[Replica]:
    """Return the one replica that bears all of the trial.

    Spread over all replicas, a small share would show nothing of how the
    version does at the load that it is to bear. Where it falls behind, new
    sessions are spared the wait.
    """
    if rollout.share_permille >= WHOLE_PERMILLE:
        return target
    chosen = min(target, key=lambda replica: _draw(rollout, replica.id))
    is_overloaded = chosen.total_backlog_ms > _MAX_CANARY_BACKLOG_MS
    if is_overloaded and others and not pinned:
        return others
    return [chosen]


def _draw(rollout: SoftwareRollout, key: str) -> int:
    """Return what decides whether a session tries the target."""
    return xxhash.xxh3_64_intdigest(f'{rollout.number}/{key}'.encode())
