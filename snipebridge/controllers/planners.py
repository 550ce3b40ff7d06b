"""Interfaces between the leader and the policies for roll-outs and shares.

The leader passes reports of the entries to a planner and sends its plans to
the entries. Final decisions are made durable before they take effect; the
leader then calls `RolloutPlanner.confirm`.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from snipebridge.controllers.rollouts import RolloutProgress
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    AccountShare,
    ExposureGrant,
    VersionOutcome,
)

SHARE_VALID_S = 5.0

DEFAULT_WEIGHT = 1.0
DEFAULT_SLOTS = 1


@dataclass(slots=True)
class RolloutDecision:
    """Progress of a roll-out that has to become durable.

    The state is `running`, `complete` or `stopped`. A version is withdrawn
    when its roll-out stops and serves when it completes.
    """

    version: str
    stage: int
    state: str
    reason: str
    evidence: bytes = b''


class RolloutPlanner(Protocol):
    """Evaluates versions under roll-out and grants them requests."""

    def begin(self, fencing_number: int) -> None:
        """Start a new leadership and discard the state of earlier ones."""

    def configure(
        self, document: dict, progress: Mapping[str, RolloutProgress]
    ) -> None:
        """Apply a configuration; only its running roll-outs continue.

        A roll-out that the planner does not know yet continues from its
        durable progress.
        """

    def report(
        self,
        process: str,
        outcomes: Sequence[VersionOutcome],
        now_s: float,
    ) -> None:
        """Add a report of an entry process; each report is passed once.

        A process is `<entry>/<incarnation>`: a restarted entry has lost the
        record of what it sent, so it counts as another process.
        """

    def decide(
        self, processes: Sequence[str], now_s: float
    ) -> Sequence[RolloutDecision]:
        """Return the decisions that have to become durable now."""

    def confirm(self, decision: RolloutDecision) -> None:
        """Apply a decision that is durable."""

    def grants(self, process: str, now_s: float) -> Sequence[ExposureGrant]:
        """Return the grants for an entry process."""


class SharePlanner(Protocol):
    """Divides the pools between client accounts."""

    def shares(
        self,
        demands: Mapping[str, Sequence[AccountDemand]],
        document: dict,
    ) -> Mapping[str, Sequence[AccountShare]]:
        """Return the shares of each entry."""


class NullRolloutPlanner:
    """Makes no decisions and no grants."""

    __slots__ = ()

    def begin(self, fencing_number: int) -> None:
        """Do nothing."""

    def configure(self, document: dict, progress) -> None:
        """Ignore the configuration."""

    def report(self, process: str, outcomes, now_s: float) -> None:
        """Ignore the report."""

    def decide(self, processes, now_s: float) -> Sequence[RolloutDecision]:
        """Return no decisions."""
        return ()

    def confirm(self, decision: RolloutDecision) -> None:
        """Ignore the decision."""

    def grants(self, process: str, now_s: float) -> Sequence[ExposureGrant]:
        """Return no grants."""
        return ()


class WeightedSharePlanner:
    """Divides the slots of each pool by the weights of client accounts.

    An account's share is split evenly between the entries.

    >>> document = {
    ...     'accounts': {'a': {'weight': 3}, 'b': {'weight': 1}},
    ...     'upstreams': {'u': {'pool': 'models', 'slots': 8}},
    ... }
    >>> shares = WeightedSharePlanner().shares({'e1': (), 'e2': ()}, document)
    >>> [(one.account, one.share) for one in shares['e1']]
    [('a', 3.0), ('b', 1.0)]
    """

    __slots__ = ()

    def shares(
        self,
        demands: Mapping[str, Sequence[AccountDemand]],
        document: dict,
    ) -> Mapping[str, Sequence[AccountShare]]:
        """Return the shares of each entry."""
        weights = _weights(document)
        total = sum(weights.values()) * len(demands)
        shares = [
            AccountShare(
                account=account,
                pool=pool,
                share=slots * weight / total,
                valid_s=SHARE_VALID_S,
            )
            for pool, slots in sorted(_pool_slots(document).items())
            for account, weight in weights.items()
            if total
        ]
        return dict.fromkeys(demands, shares)


def _weights(document: dict) -> dict[str, float]:
    accounts = document.get('accounts', {})
    return {
        name: account.get('weight', DEFAULT_WEIGHT)
        for name, account in sorted(accounts.items())
        if not account.get('disabled', False)
    }


def _pool_slots(document: dict) -> dict[str, int]:
    slots: dict[str, int] = {}
    for upstream in document.get('upstreams', {}).values():
        pool = upstream['pool']
        slots[pool] = slots.get(pool, 0) + upstream.get('slots', DEFAULT_SLOTS)
    return slots
