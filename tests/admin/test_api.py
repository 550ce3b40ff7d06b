"""What operators are told, over HTTP."""

import asyncio

import pytest

from tests.controllers.commands import DOCUMENT, bill, command
from tests.running_control import (
    RunningControl,
    make_settings,
    run_with_control,
)

CONFIG = '/admin/v1/config'
MEMBERS = '/admin/v1/members'


def test_patch_answers():
    """Accepted, resent, raced, reused and faulty patches."""

    async def scenario(control):
        first = await control.patch(DOCUMENT, 0)
        assert first.headers['ETag'] == '"1"'
        again = await control.patch(DOCUMENT, 0)
        assert (again.status, again.body) == (200, {'number': 1})
        reused = await control.patch({}, 0)
        assert (reused.status, reused.error['code']) == (409, 'key_reused')
        raced = await control.patch({}, 0, key='k2')
        assert raced.status == 412
        assert (raced.error['number'], raced.error['ran']) == (1, 'no')
        faulty = await control.patch({'tasks': 3}, 1, key='k3')
        assert faulty.status == 422
        assert 'tasks: found 3' in faulty.error['message']
        assert control.machine.configuration.number == 1

    run_with_control(scenario)


@pytest.mark.parametrize(
    ('headers', 'body', 'status', 'code'),
    [
        ({'Idempotency_Key': 'k'}, '{}', 428, 'missing_number'),
        ({'If_Match': '"0"'}, '{}', 400, 'missing_key'),
        ({'If_Match': '*', 'Idempotency_Key': 'k'}, '{}', 400, 'bad_number'),
        ({'If_Match': '"0"', 'Idempotency_Key': 'k'}, '{', 400, 'bad_json'),
        (
            {'If_Match': '"0"', 'Idempotency_Key': 'k'},
            b'\xff',
            400,
            'bad_request',
        ),
    ],
)
def test_patch_that_never_reaches_the_log(headers, body, status, code):
    """It is refused with what is allowed."""

    async def scenario(control):
        length = len(control.replica.log)
        answer = await control.call(CONFIG, 'PATCH', body, **headers)
        assert (answer.status, answer.error['code']) == (status, code)
        assert answer.error['ran'] == 'no'
        assert len(control.replica.log) == length

    run_with_control(scenario)


@pytest.mark.parametrize(
    ('path', 'method', 'key', 'status'),
    [
        (CONFIG, 'GET', 'operator.other', 401),
        (CONFIG, 'PATCH', '', 401),
        ('/admin/v1/none', 'GET', 'operator.secret', 404),
        ('/admin/v1/status', 'PATCH', 'operator.secret', 405),
        ('/admin/v1/bills?after=x', 'GET', 'operator.secret', 400),
        (CONFIG, 'DELETE', 'operator.secret', 405),
        ('/none', 'GET', 'operator.secret', 404),
    ],
)
def test_refusals_are_json(path, method, key, status):
    """Each has a code, a message and says that nothing ran."""

    async def scenario(control):
        answer = await control.call(path, method, key=key)
        assert answer.status == status
        assert answer.error['code'] and answer.error['message']
        assert answer.error['ran'] == 'no'

    run_with_control(scenario)


@pytest.mark.parametrize('surplus', [1, 100_000])
def test_body_over_the_limit(surplus):
    """It is refused in words, and the next request is answered."""

    async def scenario(control):
        limit_bytes = make_settings().listener.body_limit_bytes
        body = b' ' * (limit_bytes + surplus)
        refused = await control.call(CONFIG, 'PATCH', body)
        assert (refused.status, refused.error['ran']) == (413, 'no')
        assert (await control.call(CONFIG)).status == 200

    run_with_control(scenario)


def test_lost_acknowledgement_leaves_the_outcome_open():
    """The patch resent by its key gets its first answer."""

    async def scenario(control):
        control.replica.loses_acknowledgement = True
        lost = await control.patch(DOCUMENT, 0)
        assert (lost.status, lost.error['ran']) == (503, 'unknown')
        assert lost.headers['Retry-After'] == '1'
        control.replica.loses_acknowledgement = False
        assert (await control.patch(DOCUMENT, 0)).body == {'number': 1}

    run_with_control(scenario)


def test_any_control_process_answers():
    """One that does not lead passes the request on to the leader."""

    async def run():
        async with (
            RunningControl() as leader,
            RunningControl(name='c2', leads=False) as other,
        ):
            unknown = await other.call(CONFIG)
            assert unknown.error['code'] == 'no_leader'
            other.replica.address = leader.process.rpc_address
            assert (await other.patch(DOCUMENT, 0)).body == {'number': 1}
            assert (await other.call(CONFIG)).body['number'] == 1
            raced = await other.patch({}, 0, key='k2')
            assert raced.error['number'] == 1
            assert (await other.call(CONFIG, key='x')).status == 401
            leader.replica.leads = False
            refused = await other.patch({}, 1, key='k3')
            assert (refused.status, refused.error['ran']) == (503, 'no')
            await leader.process.stop()
            gone = await other.patch({}, 1, key='k4')
            assert (gone.status, gone.error['ran']) == (503, 'unknown')

    asyncio.run(run())


def test_bills_by_pages_until_acknowledged():
    """A page begins after the cursor; acknowledged bills are gone."""

    async def scenario(control):
        made = [command(bill=bill(f'r{n}', 1_000_000)) for n in range(5)]
        await control.submit(*made)
        page = await control.call('/admin/v1/bills?after=1&limit=2')
        assert page.text.count('\n') == 2
        assert '"cursor":2' in page.text
        answer = await control.patch({'billing': {'exported_through': 4}}, 0)
        assert answer.status == 200
        rest = await control.call('/admin/v1/bills')
        assert rest.text.startswith('{"cursor":5,')
        status = (await control.call('/admin/v1/status')).body
        assert status['bills']['totals']['a']['bills'] == 5

    run_with_control(scenario)


@pytest.mark.parametrize(
    ('change', 'steps'),
    [
        (
            '{"action": "replace", "name": "c9", "address": "h:1",'
            ' "dead": "c1"}',
            [('c9', True, False), ('c1', True, True)],
        ),
        (
            '{"action": "replace", "name": "c1", "address": "h:1",'
            ' "dead": "c1"}',
            [('c1', True, False)],
        ),
        (
            '{"action": "add", "name": "c9", "address": "h:1"}',
            [('c9', False, False)],
        ),
        ('{"action": "promote", "name": "c1"}', [('c1', True, False)]),
        ('{"action": "remove", "name": "c1"}', [('c1', True, True)]),
    ],
)
def test_changes_of_members(change, steps):
    """A replacement brings in the new one before the dead one goes."""

    async def scenario(control):
        answer = await control.call(MEMBERS, 'POST', change)
        assert answer.status == 200
        assert control.replica.changes == steps

    run_with_control(scenario)


@pytest.mark.parametrize(
    ('change', 'status', 'part'),
    [
        ('{', 400, 'not valid JSON'),
        ('{"action": "kill", "name": "c1"}', 422, 'add, promote'),
        ('{"action": "remove", "nam": "c1"}', 422, 'nam: allowed are'),
        ('{"action": "add", "name": "c9"}', 422, 'address: is missing'),
        ('{"action": "promote", "name": "c9"}', 404, "found 'c9'"),
    ],
)
def test_faulty_changes_of_members(change, status, part):
    """Nothing is changed."""

    async def scenario(control):
        answer = await control.call(MEMBERS, 'POST', change)
        assert answer.status == status
        assert part in answer.error['message']
        assert not control.replica.changes

    run_with_control(scenario)


def test_probes_and_metrics():
    """They need no key; a process without a leader is not ready."""

    async def scenario(control):
        assert (await control.call('/readyz', key='')).status == 200
        await control.beat()
        page = (await control.call('/metrics', key='')).text
        assert 'snipebridge_control_heartbeats_total 1' in page
        assert 'snipebridge_control_leader 1' in page
        control.replica.leads = False
        assert (await control.call('/readyz')).status == 503
        assert (await control.call('/healthz')).status == 200

    run_with_control(scenario)
