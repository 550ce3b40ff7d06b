"""Operators' pages on routes and on roll-outs of software."""

import copy
from urllib.parse import quote

import orjson
import pytest

from fakes.platform_caller import DOCUMENT
from snipebridge.routing.documents import read_table
from snipebridge.rpc.commands_pb2 import Command, RoutingCommand
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


@pytest.mark.parametrize('name', ['', ' x', 'Gafsa\nX-A: 1', 'a\0b'])
def test_account_that_replicas_cannot_be_told_is_refused(name):
    """Guards against an account that is acknowledged and never served."""

    async def scenario(control):
        accounts = [{'name': 'ok', 'keys': ['k']}, {'name': name, 'keys': []}]
        answer = await control.call(
            '/admin/v1/routing', 'PUT', document(1, accounts=accounts)
        )
        assert answer.status == 400
        assert f'accounts[1].name: found {name!r}' in answer.error['message']
        assert (await control.call('/admin/v1/routing')).status == 404

    run_with_control(scenario)


def test_model_that_replicas_cannot_be_told_is_refused():
    """Guards against a route that is acknowledged and never served."""

    async def scenario(control):
        put = orjson.loads(document(1))
        put['routes'][2]['tiers'] = ['small', 'large\n']
        answer = await control.call(
            '/admin/v1/routing', 'PUT', orjson.dumps(put)
        )
        assert answer.status == 400
        assert 'routes[2].tiers: found' in answer.error['message']

    run_with_control(scenario)


@pytest.mark.parametrize('host', ['a.example', 'A.Example'])
def test_second_route_of_one_host_and_prefix_is_refused(host):
    """Guards against a route that is acknowledged and gets no request."""

    async def scenario(control):
        put = orjson.loads(document(1))
        twin = {**put['routes'][0], 'name': 'twin', 'host': host}
        put['routes'].append(twin)
        answer = await control.call(
            '/admin/v1/routing', 'PUT', orjson.dumps(put)
        )
        assert answer.status == 400
        assert 'found 2 routes of a.example/' in answer.error['message']
        twin['path_prefix'] = '/twin/'
        answer = await control.call(
            '/admin/v1/routing', 'PUT', orjson.dumps(put)
        )
        assert answer.status == 200

    run_with_control(scenario)


def test_second_route_of_an_earlier_release_stays_in_force():
    """Guards against entries that can't read what was acknowledged."""

    async def scenario(control):
        put = orjson.loads(document(4))
        put['routes'].append({**put['routes'][0], 'host': 'A.Example'})
        accepted = orjson.dumps(put)
        command = RoutingCommand(version=4, document=accepted)
        await control.replica.submit([Command(routing=command)])
        answer = await control.call('/admin/v1/routing', 'PUT', accepted)
        assert (answer.status, answer.body['version']) == (200, 4)
        route = read_table(accepted).find_route('A.Example', '/look/x')
        assert route.name == put['routes'][0]['name']

    run_with_control(scenario)


def test_names_of_other_alphabets_are_taken():
    """Guards against a check that refuses more than it has to."""

    async def scenario(control):
        accounts = [{'name': name} for name in ('福岡', 'Télé', 'a b')]
        answer = await control.call(
            '/admin/v1/routing', 'PUT', document(1, accounts=accounts)
        )
        assert answer.status == 200
        read = await control.call('/admin/v1/routing')
        assert read.body['accounts'] == accounts

    run_with_control(scenario)


def test_names_in_force_are_acknowledged_again():
    """Guards against a resent change that an earlier release has taken."""

    async def scenario(control):
        accepted = document(4, accounts=[{'name': 'x\n', 'keys': ['k']}])
        command = RoutingCommand(version=4, document=accepted)
        await control.replica.submit([Command(routing=command)])
        answer = await control.call('/admin/v1/routing', 'PUT', accepted)
        assert (answer.status, answer.body['version']) == (200, 4)
        changed = document(5, accounts=[{'name': 'x\n', 'keys': ['k']}])
        answer = await control.call('/admin/v1/routing', 'PUT', changed)
        assert answer.status == 400

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


@pytest.mark.parametrize('service', ['予約台帳', 'member studio', 'a/b'])
def test_rollout_is_read_by_the_encoded_name_of_its_service(service):
    """Guards against a name that is accepted and can't be read back."""

    async def scenario(control):
        path = '/admin/v1/software-rollouts'
        await control.call(path, 'POST', order(service=service))
        answer = await control.call(f'{path}/{quote(service, safe="")}')
        assert (answer.status, answer.body['target']) == (200, 'v2')

    run_with_control(scenario)


def test_evacuation_is_ordered_and_withdrawn():
    """Resent orders are acknowledged again; a name in use is counted."""

    async def scenario(control):
        path = '/admin/v1/evacuations'
        for _ in range(2):
            answer = await control.call(f'{path}/tunis-a', 'POST')
            assert answer.body == {
                'data_centre': 'tunis-a',
                'evacuated': True,
                'replicas': 0,
            }
        await control.call(f'{path}/tunis%20b', 'POST')
        answer = await control.call(path)
        assert answer.body == {'data_centres': ['tunis b', 'tunis-a']}
        assert (await control.call('/admin/v1/status')).body['evacuated']
        for _ in range(2):
            answer = await control.call(f'{path}/tunis-a', 'DELETE')
            assert (answer.status, answer.body['evacuated']) == (200, False)
        answer = await control.call(path)
        assert answer.body == {'data_centres': ['tunis b']}

    run_with_control(scenario)


@pytest.mark.parametrize('name', ['', 'a%2Fb', 'x' * 201])
def test_evacuation_of_a_bad_name_is_refused(name):
    """Nothing is kept of it."""

    async def scenario(control):
        answer = await control.call(f'/admin/v1/evacuations/{name}', 'POST')
        assert (answer.status, answer.error['code']) == (400, 'bad_order')
        assert not control.machine.evacuations.in_force

    run_with_control(scenario)


def test_entries_are_told_of_evacuations():
    """Also one that has just started, and that none is left."""

    async def scenario(control):
        path = '/admin/v1/evacuations/tunis-a'
        for method, expected in (('POST', ['tunis-a']), ('DELETE', [])):
            await control.call(path, method)
            reply = await control.beat()
            assert reply.HasField('evacuations')
            assert list(reply.evacuations.data_centres) == expected

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
        order(deadline_s=1.7976931348623157e308),
        order(deadline_s=31 * 86400),
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
