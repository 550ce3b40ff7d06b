"""Fencing numbers increase, and orders with old ones are rejected."""

from snipebridge.controllers.fencing import Fencing
from snipebridge.rpc.commands_pb2 import LeadershipCommand, OrderCommand
from tests.controllers.commands import CONFLICT, DUPLICATE, INVALID, OK


def assign(fencing, leader, term):
    """Assign a fencing number to a leadership."""
    return fencing.assign(LeadershipCommand(leader=leader, term=term))


def order(number, state='issued', order_id='o1', upstream='u1'):
    """Return an order to load a version."""
    return OrderCommand(
        order_id=order_id,
        upstream=upstream,
        kind='load',
        version='m@1',
        fencing_number=number,
        state=state,
    )


def test_each_leadership_has_a_greater_number():
    """A resent command keeps its number; an outdated one gets none."""
    fencing = Fencing()
    assert assign(fencing, 'c1', 1).fencing_number == 1
    assert assign(fencing, 'c2', 3).fencing_number == 2
    again = assign(fencing, 'c2', 3)
    assert (again.code, again.fencing_number) == (DUPLICATE, 2)
    assert assign(fencing, 'c1', 1).code == CONFLICT
    assert assign(fencing, 'c1', 4).fencing_number == 3


def test_order_of_an_older_leadership_is_rejected():
    """So are its outcomes and the outcomes of replaced orders."""
    fencing = Fencing()
    assign(fencing, 'c1', 1)
    assert fencing.record_order(order(1)).code == OK
    assert fencing.record_order(order(1)).code == DUPLICATE
    assign(fencing, 'c2', 2)
    refused = fencing.record_order(order(1, 'done'))
    assert (refused.code, refused.fencing_number) == (CONFLICT, 2)
    assert fencing.record_order(order(2, order_id='o2')).code == OK
    assert (
        fencing.record_order(order(2, 'done', order_id='o1')).code == CONFLICT
    )
    assert fencing.record_order(order(2, 'done', order_id='o2')).code == OK
    assert fencing.record_order(order(2, 'lost')).code == INVALID


def test_latest_orders_are_restored_and_follow_the_configuration():
    """A new leader reads the orders of its predecessor."""
    fencing = Fencing()
    assign(fencing, 'c1', 1)
    fencing.record_order(order(1))
    fencing.record_order(order(1, upstream='u2'))
    restored = Fencing()
    restored.load(fencing.dump())
    assert [one.state for one in restored.orders()] == ['issued', 'issued']
    restored.keep_upstreams({'u2'})
    assert [one.upstream for one in restored.orders()] == ['u2']
