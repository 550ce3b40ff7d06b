"""Fencing numbers and the orders that carry them.

Each leadership gets a number greater than all earlier ones. An order to an
upstream is recorded before it is sent, and a record with an older number is
rejected, so a deposed leader cannot issue orders.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from snipebridge.controllers.results import (
    accepted,
    conflict,
    duplicate,
    invalid,
)
from snipebridge.rpc.commands_pb2 import (
    CommandResult,
    LeadershipCommand,
    OrderCommand,
)

ISSUED = 'issued'
DONE = 'done'
FAILED = 'failed'


@dataclass(slots=True)
class Order:
    """The latest order of one kind for one version to an upstream."""

    order_id: str
    upstream: str
    kind: str
    version: str
    fencing_number: int
    state: str


class Fencing:
    """Replicated state: the current fencing number and latest orders.

    >>> fencing = Fencing()
    >>> fencing.assign(LeadershipCommand(leader='c1', term=1)).fencing_number
    1
    """

    __slots__ = ('_orders', 'leader', 'number', 'term')

    def __init__(self) -> None:
        """Initialize the state before the first leadership."""
        self.number = 0
        self.leader = ''
        self.term = 0
        self._orders: dict[tuple[str, str, str], Order] = {}

    def assign(self, command: LeadershipCommand) -> CommandResult:
        """Assign a number to a leadership; a repeated command keeps it."""
        if command.term < self.term:
            return conflict(
                'a later leadership has the current number',
                fencing_number=self.number,
            )
        same = (command.leader, command.term) == (self.leader, self.term)
        if same and self.number:
            return duplicate(fencing_number=self.number)
        self.number += 1
        self.leader = command.leader
        self.term = command.term
        return accepted(fencing_number=self.number)

    def record_order(self, command: OrderCommand) -> CommandResult:
        """Record an order or its outcome."""
        if command.state not in {ISSUED, DONE, FAILED}:
            return invalid(
                f'state: found {command.state!r}, '
                f'allowed are {DONE}, {FAILED}, {ISSUED}'
            )
        if command.fencing_number != self.number:
            return conflict(
                'the fencing number is not the current one',
                fencing_number=self.number,
            )
        key = (command.upstream, command.kind, command.version)
        order = Order(
            command.order_id,
            command.upstream,
            command.kind,
            command.version,
            command.fencing_number,
            command.state,
        )
        known = self._orders.get(key)
        if known == order:
            return duplicate(fencing_number=self.number)
        if command.state != ISSUED and not _is_same_order(known, order):
            return conflict('the order is not the latest one of its kind')
        self._orders[key] = order
        return accepted(fencing_number=self.number)

    def orders(self) -> Iterator[Order]:
        """Yield the latest order of each upstream, kind and version."""
        yield from self._orders.values()

    def keep_upstreams(self, names) -> None:
        """Remove orders to upstreams that are no longer configured."""
        self._orders = {
            key: order
            for key, order in self._orders.items()
            if order.upstream in names
        }

    def dump(self) -> dict:
        """Return the state as JSON types."""
        return {
            'number': self.number,
            'leader': self.leader,
            'term': self.term,
            'orders': [asdict(order) for order in self._orders.values()],
        }

    def load(self, state: dict) -> None:
        """Replace the state with a dumped one."""
        self.number = state['number']
        self.leader = state['leader']
        self.term = state['term']
        orders = [Order(**order) for order in state['orders']]
        self._orders = {
            (order.upstream, order.kind, order.version): order
            for order in orders
        }


def _is_same_order(known: Order | None, order: Order) -> bool:
    return known is not None and known.order_id == order.order_id
