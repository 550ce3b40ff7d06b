"""Orders of operators that change replicated state: new ones and resent ones.

Only the leader takes orders. It tells a resent order by when its first copy
arrived (`policy/resent_orders.py`), which is a matter of its own clock, and
puts its verdict into the log: a new order gets the next number. Where another
order took that number meanwhile, the verdict is formed again.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from snipebridge.control.leader import Leadership
from snipebridge.controllers.software_rollouts import duration_ms
from snipebridge.policy.resent_orders import (
    PastOrder,
    is_resent,
    resend_window_s,
)
from snipebridge.rpc.commands_pb2 import (
    Command,
    CommandResult,
    EvacuationCommand,
    SoftwareRolloutCommand,
)


@dataclass(slots=True, frozen=True)
class OrderOutcome:
    """What became of an order.

    `number` is that of the order itself, 0 if it was resent. `last_number`
    and `last_age_s` tell of the last order of its subject before it.
    """

    is_resent: bool
    number: int
    last_number: int
    last_age_s: float | None = None


class OrderTaker:
    """Numbers new orders and submits them to the log."""

    __slots__ = ('_leadership', '_window_s')

    def __init__(self, leadership: Leadership, resend_ms: float) -> None:
        """Take orders while operators resend each for `resend_ms`."""
        self._leadership = leadership
        self._window_s = resend_window_s(resend_ms)

    async def take_rollout(self, order: SoftwareRolloutCommand) -> OrderOutcome:
        """Return once the order is in force, or was before."""
        rollouts = self._leadership.machine.software_rollouts
        arrived_s = self._now_s()
        subject = ('software', order.service)

        def judge() -> tuple[Command | None, OrderOutcome]:
            past = {
                one.number: PastOrder(
                    (one.target, one.duration_ms),
                    self._age_s((*subject, one.number)),
                )
                for one in rollouts.orders(order.service)
            }
            content = (order.target, duration_ms(order))
            last = rollouts.last_number(order.service)
            last_age_s = past[last].age_s if last else None
            if is_resent(content, past.values(), self._window_s):
                return None, OrderOutcome(True, 0, last, last_age_s)
            order.number = last + 1
            order.in_use = self._most_listed(order)
            command = Command(software_rollout=order)
            return command, OrderOutcome(False, last + 1, last, last_age_s)

        return await self._take(subject, arrived_s, judge)

    async def take_evacuation(self, order: EvacuationCommand) -> OrderOutcome:
        """Return once the evacuation or withdrawal is in force, or was before.

        It is resent until it is answered, so its age is that of its last copy.
        """
        evacuations = self._leadership.machine.evacuations
        arrived_s = self._now_s()
        subject = ('evacuation', order.data_centre)

        def judge() -> tuple[Command | None, OrderOutcome]:
            changes = evacuations.changes(order.data_centre)
            last = evacuations.last_number(order.data_centre)
            ages_s = {
                one.number: self._age_s((*subject, one.number))
                for one in changes
            }
            last_age_s = ages_s.get(last)
            same = [one for one in changes if one.withdrawn == order.withdrawn]
            if same and is_resent(
                order.withdrawn,
                [PastOrder(order.withdrawn, ages_s[same[-1].number])],
                self._window_s,
            ):
                self._leadership.order_arrivals.note(
                    (*subject, same[-1].number), arrived_s
                )
                return None, OrderOutcome(True, 0, last, last_age_s)
            order.number = last + 1
            command = Command(evacuation=order)
            return command, OrderOutcome(False, last + 1, last, last_age_s)

        return await self._take(subject, arrived_s, judge)

    async def _take(
        self,
        subject: tuple[str, str],
        arrived_s: float,
        judge: Callable[[], tuple[Command | None, OrderOutcome]],
    ) -> OrderOutcome:
        replica = self._leadership.replica
        arrivals = self._leadership.order_arrivals
        while True:
            self._leadership.look_for_orders()
            command, outcome = judge()
            if command is None:
                # What is told of the order in force has to be the newest.
                await replica.read_barrier()
                return outcome
            results = await replica.submit([command])
            if results[0].code != CommandResult.CONFLICT:
                arrivals.note((*subject, outcome.number), arrived_s)
                return outcome

    def _most_listed(self, order: SoftwareRolloutCommand) -> str:
        """Return the version of most replicas that was never ordered."""
        orders = self._leadership.machine.software_rollouts.orders(
            order.service
        )
        ordered = {order.target, *(one.target for one in orders)}
        versions = Counter(
            one.software
            for one in self._leadership.routed.held.replicas
            if one.service == order.service and one.software not in ordered
        )
        return max(versions, key=versions.__getitem__, default='')

    def _age_s(self, order: tuple[str, str, int]) -> float:
        return self._leadership.order_arrivals.age_s(order, self._now_s())

    def _now_s(self) -> float:
        return self._leadership.clock.monotonic_s()
