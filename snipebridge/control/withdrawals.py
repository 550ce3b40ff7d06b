"""Withdraws versions in service that turned bad.

The evidence is the fleet's: rating and error sums of all heartbeats, and the
stops that entries made on their own. A version is withdrawn only where each
client account that uses it keeps another serving version; else the proposal
is logged for the operators, since answers of doubtful quality may still be
better for them than none.
"""

from collections.abc import Iterable, Mapping

from snipebridge.policy.drift import (
    FleetDrift,
    WithdrawalProposal,
    make_fleet_drift,
)
from snipebridge.policy.quality import QualityCell
from snipebridge.rpc.control_pb2 import HeartbeatRequest

_SERVING = 'serving'


class Withdrawals:
    """What the leader knows of versions in service."""

    __slots__ = ('_drift', '_logged', '_serving')

    def __init__(self, drift: FleetDrift) -> None:
        """Start without reports."""
        self._drift = drift
        self._serving: frozenset[str] = frozenset()
        self._logged: set[str] = set()

    def configure(self, document: Mapping) -> None:
        """Watch the serving versions of a configuration, and no others."""
        serving = frozenset(_serving_versions(document))
        for version in self._serving - serving:
            self._drift.forget(version)
            self._logged.discard(version)
        self._serving = serving

    def report(
        self, request: HeartbeatRequest, entry_count: int, now_s: float
    ) -> None:
        """Add the report of one entry; each comes once."""
        self._drift.report_ratings(
            [
                QualityCell(
                    cell.version,
                    cell.task,
                    cell.length_class,
                    cell.good,
                    cell.total,
                )
                for cell in request.quality
                if cell.version in self._serving
            ],
            now_s,
        )
        for outcome in request.outcomes:
            if outcome.version not in self._serving:
                continue
            self._drift.report_ends(
                outcome.version, outcome.errors, outcome.answered, now_s
            )
            self._drift.report_stop(
                request.entry,
                outcome.version,
                stopped=outcome.stopped,
                entry_count=entry_count,
            )

    def due(self, document: Mapping) -> list[WithdrawalProposal]:
        """Return the versions to withdraw now."""
        return [
            proposal
            for proposal in self._drift.proposals()
            if proposal.version in self._serving
            and leaves_a_version(document, proposal.version)
        ]

    def newly_blocked(self, document: Mapping) -> list[WithdrawalProposal]:
        """Return proposals that wait for an operator, each once."""
        blocked = [
            proposal
            for proposal in self._drift.proposals()
            if proposal.version in self._serving
            and proposal.version not in self._logged
            and not leaves_a_version(document, proposal.version)
        ]
        self._logged.update(proposal.version for proposal in blocked)
        return blocked


def make_withdrawals() -> Withdrawals:
    """Return withdrawals without reports."""
    return Withdrawals(make_fleet_drift())


def leaves_a_version(document: Mapping, version: str) -> bool:
    """Tell whether each account of a version has another one that serves.

    >>> document = {
    ...     'accounts': {'a': {'versions': ['m@1', 'm@2']}},
    ...     'versions': {'m@1': {}, 'm@2': {'state': 'candidate'}},
    ... }
    >>> leaves_a_version(document, 'm@1')
    False
    """
    others = set(_serving_versions(document)) - {version}
    return all(
        others.intersection(account.get('versions', ()))
        for account in document.get('accounts', {}).values()
        if version in account.get('versions', ())
    )


def _serving_versions(document: Mapping) -> Iterable[str]:
    return (
        name
        for name, fields in document.get('versions', {}).items()
        if fields.get('state', _SERVING) == _SERVING
    )
