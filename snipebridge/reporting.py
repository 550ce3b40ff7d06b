"""What an entry tells the control leader with each heartbeat.

Sums since the last acknowledged report travel under a report id and are sent
again, unchanged, until the leader has answered: the leader counts each id
once.
"""

import random
from typing import Protocol

from snipebridge.clock import Clock
from snipebridge.controllers.sessions import SessionDirectory
from snipebridge.controllers.upstream_monitor import UpstreamMonitor
from snipebridge.controllers.version_monitor import VersionMonitor
from snipebridge.filters.admission import AdmissionGate
from snipebridge.policy.evidence import OutcomeSums
from snipebridge.policy.health import HealthSignal, UpstreamState
from snipebridge.policy.quality import QualityCell as LocalCell
from snipebridge.policy.rollout_types import Grant, VersionReport
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    AccountShare,
    ExposureGrant,
    HeartbeatReply,
    HeartbeatRequest,
    QualityCell,
    UpstreamSign,
    VersionOutcome,
)

_REPORT_ID_BITS = 48
_SIGN_VALID_S = 30.0
_KNOWN_STATES = frozenset(state.value for state in UpstreamState)


class EntryCount(Protocol):
    """Takes how many entries are live."""

    def set_entry_count(self, count: int) -> None:
        """Share the pools between that many entries."""


class EntryReporter:
    """Collects what is reported and hands on what comes back."""

    __slots__ = (
        '_clock',
        '_directory',
        '_entries_digest',
        '_entry',
        '_entry_count',
        '_gate',
        '_learning',
        '_next_id',
        '_pending',
        '_sent_at_s',
        '_stopped',
        '_watch',
        'entry_count',
    )

    def __init__(
        self,
        entry: str,
        learning: VersionMonitor,
        directory: SessionDirectory,
        gate: AdmissionGate,
        entry_count: EntryCount,
        watch: UpstreamMonitor,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with nothing to report."""
        self._entry = entry
        self._learning = learning
        self._directory = directory
        self._gate = gate
        self._entry_count = entry_count
        self.entry_count = 1
        self._watch = watch
        self._clock = clock
        self._next_id = rng.getrandbits(_REPORT_ID_BITS) + 1
        self._pending: HeartbeatRequest | None = None
        self._sent_at_s = 0.0
        self._stopped: set[str] = set()
        self._entries_digest = 0

    def fill_request(self, request: HeartbeatRequest) -> None:
        """Add the report that is not acknowledged yet, or a new one."""
        if self._pending is None:
            self._pending = self._collect()
        request.MergeFrom(self._pending)
        request.entries_digest = self._entries_digest
        self._sent_at_s = self._clock.monotonic_s()

    def apply_reply(self, reply: HeartbeatReply) -> bool:
        """Take grants, shares, estimates and members from the leader."""
        now_s = self._clock.monotonic_s()
        if self._pending is not None:
            if reply.report_id == self._pending.report_id:
                self._pending = None
        if reply.entries:
            self._take_entries(reply)
        for grant in reply.grants:
            self._learning.guard.apply_grant(
                _read_grant(self._entry, grant), self._sent_at_s
            )
        if reply.quality:
            cells = [_read_cell(cell) for cell in reply.quality]
            self._learning.quality.merge_fleet(cells, now_s)
        for sign in reply.signs:
            self._take_sign(sign)
        self._take_shares(reply.shares, now_s)
        return True

    def _collect(self) -> HeartbeatRequest:
        report = HeartbeatRequest(report_id=self._next_id)
        self._next_id += 1
        for version_report in self._learning.guard.pop_reports():
            outcome = _make_outcome(version_report)
            outcome.stopped = self._learning.is_stopped(outcome.version)
            if self._is_news(outcome):
                report.outcomes.append(outcome)
        for cell in self._learning.quality.take_deltas():
            report.quality.append(_make_cell(cell))
        for sign in self._watch.pop_state_changes():
            report.signs.append(
                UpstreamSign(
                    upstream=sign.upstream,
                    state=sign.state.value,
                    sequence=self._clock.wall_ms(),
                    valid_s=_SIGN_VALID_S,
                    reporter=self._entry,
                ),
            )
        for (account, pool), demand in self._gate.demands.items():
            if demand.is_idle():
                continue
            report.demands.append(
                AccountDemand(
                    account=account,
                    pool=pool,
                    running=demand.running,
                    waiting=demand.waiting,
                    completed=demand.completed,
                ),
            )
            demand.completed = 0
        return report

    def _is_news(self, outcome: VersionOutcome) -> bool:
        """Tell whether an outcome holds more than what was told before."""
        version = outcome.version
        was_stopped = version in self._stopped
        if outcome.stopped:
            self._stopped.add(version)
        else:
            self._stopped.discard(version)
        bare = VersionOutcome(version=version, stopped=was_stopped)
        return outcome != bare

    def _take_entries(self, reply: HeartbeatReply) -> None:
        self._entries_digest = reply.entries_digest
        self._directory.set_members(reply.entries)
        staying = [entry for entry in reply.entries if not entry.leaving]
        self.entry_count = max(1, len(staying))
        self._entry_count.set_entry_count(self.entry_count)

    def _take_sign(self, sign: UpstreamSign) -> None:
        if sign.reporter == self._entry or sign.state not in _KNOWN_STATES:
            return
        self._watch.record_signal(
            HealthSignal(
                sign.upstream,
                UpstreamState(sign.state),
                sign.sequence,
                sign.valid_s,
            ),
        )

    def _take_shares(self, shares, now_s: float) -> None:
        pools: dict[str, list[AccountShare]] = {}
        for share in shares:
            pools.setdefault(share.pool, []).append(share)
        for pool, members in pools.items():
            valid_s = min(one.valid_s for one in members)
            by_account = {one.account: one.share for one in members}
            admitted = self._gate.policy.set_shares(
                pool, by_account, now_s, valid_s
            )
            self._gate.wake(admitted)


def _read_grant(entry: str, grant: ExposureGrant) -> Grant:
    return Grant(
        entry=entry,
        version=grant.version,
        grant_id=grant.grant_id,
        requests=grant.requests,
        valid_s=grant.valid_s,
        share=grant.share,
    )


def _read_cell(cell: QualityCell) -> LocalCell:
    return LocalCell(
        cell.version, cell.task, cell.length_class, cell.good, cell.total
    )


def _make_cell(cell: LocalCell) -> QualityCell:
    return QualityCell(
        version=cell.version,
        task=cell.task,
        length_class=cell.length_class,
        good=cell.good,
        total=cell.total,
    )


def _make_outcome(report: VersionReport) -> VersionOutcome:
    sums: OutcomeSums = report.sums
    return VersionOutcome(
        version=report.version,
        answered=sums.answered,
        errors=sums.errors,
        rated=sums.rated,
        rated_good=sums.rated_good,
        first_tokens=sums.first_tokens,
        first_token_s_sum=sums.first_token_s_sum,
        first_token_s_square_sum=sums.first_token_s_square_sum,
    )
