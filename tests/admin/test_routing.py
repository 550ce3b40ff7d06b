"""Operators' pages on routes and on roll-outs of software."""

import copy

import orjson
import pytest

from fakes.platform_caller import DOCUMENT
from tests.running_control import run_with_control


def document(version=1, **changes):
    """Return a configuration of routes."""
    return orjson.dumps(
        {**copy.deepcopy(DOCUMENT), 'version': version, **changes}
    )


def order(**changes):
    """Return the order of a roll-out."""
    return orjson.dumps(
        {'service': 's', 'target': 'v2', 'deadline_s': 20, **changes}
    )


def test_routes_are_put_and_read_back():
    """As they were sent; an older version changes nothing."""

    async def scenario(control):
        empty = await control.call('/admin/v1/routing')
        assert (empty.status, empty.error['code']) == (404, 'no_routing')
        for version, taken in ((3, True), (3, False), (2, False), (7, True)):
            answer = await control.call(
                '/admin/v1/routing', 'PUT', document(version)
            )
            assert answer.status == 200
            assert answer.body['taken'] is taken
        answer = await control.call('/admin/v1/routing')
        assert answer.body == orjson.loads(document(7))
        status = await control.call('/admin/v1/status')
        assert status.body['routing_version'] == 7

    run_with_control(scenario)


def test_invalid_routes_change_nothing():
    """The answer names the place."""

    async def scenario(control):
        answer = await control.call(
            '/admin/v1/routing', 'PUT', document(1, services=[])
        )
        assert answer.status == 400
        assert 'routes[0].service' in answer.error['message']
        assert (await control.call('/admin/v1/routing')).status == 404

    run_with_control(scenario)


def test_rollout_is_ordered_and_read():
    """A resent order is acknowledged and starts nothing anew."""

    async def scenario(control):
        path = '/admin/v1/software-rollouts'
        for _ in range(2):
            answer = await control.call(path, 'POST', order())
            assert answer.body == {'state': 'active', 'target': 'v2'}
        answer = await control.call(f'{path}/s')
        assert answer.body['state'] == 'active'
        assert (await control.call(f'{path}/t')).status == 404
        rollouts = control.machine.software_rollouts.by_service
        assert rollouts['s'].number == 1

    run_with_control(scenario)


@pytest.mark.parametrize(
    'body',
    [
        b'{',
        b'[]',
        order(service=''),
        order(target=5),
        order(deadline_s=0),
        order(deadline_s=True),
    ],
)
def test_bad_orders_are_refused(body):
    """Each with what was found."""

    async def scenario(control):
        answer = await control.call('/admin/v1/software-rollouts', 'POST', body)
        assert (answer.status, answer.error['code']) == (400, 'bad_order')

    run_with_control(scenario)


def test_only_operators_may_change_routes():
    """Where keys are asked for."""

    async def scenario(control):
        answer = await control.call(
            '/admin/v1/routing', 'PUT', document(), key='wrong'
        )
        assert answer.status == 401

    run_with_control(scenario)
