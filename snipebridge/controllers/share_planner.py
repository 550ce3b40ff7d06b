"""Plans shares of pools from the demands reported to the leader."""

import math
from collections.abc import Mapping, Sequence

from snipebridge.clock import Clock
from snipebridge.controllers.planners import DEFAULT_SLOTS, DEFAULT_WEIGHT
from snipebridge.controllers.pool_limits import POOL_HEADROOM
from snipebridge.policy.shares import Demand, SharePlan, make_share_plan
from snipebridge.rpc.control_pb2 import AccountDemand, AccountShare


class DemandSharePlanner:
    """Divides pools by the reported demands and the account weights."""

    __slots__ = ('_clock', '_entries', '_plan')

    def __init__(self, clock: Clock, plan: SharePlan) -> None:
        """Start without demands."""
        self._clock = clock
        self._plan = plan
        self._entries: frozenset[str] = frozenset()

    def shares(
        self,
        demands: Mapping[str, Sequence[AccountDemand]],
        document: dict,
    ) -> Mapping[str, Sequence[AccountShare]]:
        """Return the shares of each entry."""
        now_s = self._clock.monotonic_s()
        self._configure(document)
        for entry in self._entries - demands.keys():
            self._plan.remove_entry(entry)
        self._entries = frozenset(demands)
        for entry, reported in demands.items():
            self._plan.record_demands(entry, _read_demands(reported), now_s)
        return {entry: self._shares_of(entry, now_s) for entry in demands}

    def _configure(self, document: dict) -> None:
        accounts = document.get('accounts', {})
        self._plan.set_weights(
            {
                name: account.get('weight', DEFAULT_WEIGHT)
                for name, account in accounts.items()
            },
        )
        slots: dict[str, int] = {}
        for upstream in document.get('upstreams', {}).values():
            pool = upstream['pool']
            added = upstream.get('slots', DEFAULT_SLOTS)
            slots[pool] = slots.get(pool, 0) + added
        for pool, count in slots.items():
            concurrency = math.ceil(count * POOL_HEADROOM)
            self._plan.set_concurrency(pool, concurrency)

    def _shares_of(self, entry: str, now_s: float) -> list[AccountShare]:
        return [
            AccountShare(
                account=share.account,
                pool=share.pool,
                share=share.share,
                valid_s=share.valid_s,
            )
            for share in self._plan.shares(entry, now_s)
        ]


def make_share_planner(clock: Clock) -> DemandSharePlanner:
    """Return a planner without demands."""
    return DemandSharePlanner(clock, make_share_plan())


def _read_demands(demands: Sequence[AccountDemand]) -> list[Demand]:
    return [
        Demand(one.account, one.pool, one.running, one.waiting)
        for one in demands
    ]
