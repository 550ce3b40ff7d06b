"""Where policies plug into the leader: roll-outs and shares.

The leader feeds a planner with what the entries report and passes its plans
on. What a planner decides for good becomes durable first: `RolloutPlanner`
is told by `confirm` once it is.
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
    """Progress of one roll-out to be made durable.

    The state is `running`, `complete` or `stopped`. A stopped version is
    withdrawn, a complete one serves.
    """

    version: str
    stage: int
    state: str
    reason: str
    evidence: bytes = b''


class RolloutPlanner(Protocol):
    """Weighs the evidence on versions under roll-out."""

    def begin(self, fencing_number: int) -> None:
        """Start a leadership; nothing of an earlier one is kept."""

    def configure(
        self, document: dict, progress: Mapping[str, RolloutProgress]
    ) -> None:
        """Take a configuration; only its running roll-outs go on.

        One that is not known yet goes on from its durable progress.
        """

    def report(
        self,
        process: str,
        outcomes: Sequence[VersionOutcome],
        now_s: float,
    ) -> None:
        """Add a report of an entry process; each comes once.

        A process is `<entry>/<incarnation>`, so that a restarted entry,
        which forgot what it sent, counts as another one.
        """

    def decide(
        self, processes: Sequence[str], now_s: float
    ) -> Sequence[RolloutDecision]:
        """Return what has to become durable now."""

    def confirm(self, decision: RolloutDecision) -> None:
        """Note that a decision is durable."""

    def grants(self, process: str, now_s: float) -> Sequence[ExposureGrant]:
        """Return the grants of one entry process."""


class SharePlanner(Protocol):
    """Divides the pools between client accounts."""

    def shares(
        self,
        demands: Mapping[str, Sequence[AccountDemand]],
        document: dict,
    ) -> Mapping[str, Sequence[AccountShare]]:
        """Return the shares of each entry."""


class NullRolloutPlanner:
    """Grants nothing and decides nothing."""

    __slots__ = ()

    def begin(self, fencing_number: int) -> None:
        """There is nothing to start."""

    def configure(self, document: dict, progress) -> None:
        """There is nothing to follow."""

    def report(self, process: str, outcomes, now_s: float) -> None:
        """There is nothing to learn."""

    def decide(self, processes, now_s: float) -> Sequence[RolloutDecision]:
        """Decide nothing."""
        return ()

    def confirm(self, decision: RolloutDecision) -> None:
        """There is nothing to confirm."""

    def grants(self, process: str, now_s: float) -> Sequence[ExposureGrant]:
        """Grant nothing."""
        return ()


class WeightedSharePlanner:
    """Divides the slots of each pool by the weights of client accounts.

    Each entry gets the same part of an account's share.

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
        whole = sum(weights.values()) * len(demands)
        shares = [
            AccountShare(
                account=account,
                pool=pool,
                share=slots * weight / whole,
                valid_s=SHARE_VALID_S,
            )
            for pool, slots in sorted(_pool_slots(document).items())
            for account, weight in weights.items()
            if whole
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
