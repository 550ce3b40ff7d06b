"""Keys of client accounts, also when the last account is taken away."""

import asyncio
import copy

import pytest

from fakes.platform_caller import DOCUMENT
from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry

KEYS = ({}, {'X-Key': 'unknown'}, {'X-Key': ''})


async def put(entry, **changes):
    """Put the next version, with some fields changed."""
    version = entry.process.table.version + 1
    document = {**copy.deepcopy(DOCUMENT), 'version': version, **changes}
    entry.control.set_document(document)
    await entry.wait_until(lambda: entry.process.table.version == version)


def play(scenario):
    """Run a scenario on one entry before one replica."""

    async def session():
        replica = PlatformReplica('d1', 'desk', '127.0.0.1')
        async with RunningEntry(replica) as entry:
            await scenario(entry, replica)

    asyncio.run(asyncio.wait_for(session(), 20))


@pytest.mark.parametrize('headers', KEYS)
def test_no_key_works_after_the_last_account_is_gone(headers):
    """Guards against an empty list taken for a configuration without keys."""

    async def scenario(entry, replica):
        assert (await entry.request('/look/x')).status == 200
        replica.runs.clear()
        await put(entry, accounts=[])
        assert (await entry.request('/look/x', headers=headers)).status == 401
        assert (await entry.request('/open/x', headers=headers)).status == 200
        assert [run.target for run in replica.runs] == ['/open/x']
        await put(entry)
        assert (await entry.request('/look/x')).status == 200

    play(scenario)


def test_open_connection_loses_its_key_with_the_last_account():
    """Guards against a connection that is trusted for its earlier requests."""

    async def scenario(entry, replica):
        request = (
            b'GET /look/x HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\n\r\n'
        )
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.process.http_port
        )
        writer.write(request)
        assert b' 200 ' in await reader.readline()
        await put(entry, accounts=[])
        writer.write(request)
        answered = await reader.readuntil(b' 401 ')
        assert answered
        assert len(replica.runs) == 1
        writer.close()

    play(scenario)


@pytest.mark.parametrize('accounts', ['absent', None])
def test_without_accounts_no_key_is_needed(accounts):
    """Guards against keys where the configuration has no list of accounts."""

    async def scenario(entry, replica):
        document = copy.deepcopy(DOCUMENT)
        document.pop('accounts')
        if accounts is None:
            document['accounts'] = None
        document['version'] = entry.process.table.version + 1
        entry.control.set_document(document)
        await entry.wait_until(
            lambda: entry.process.table.version == document['version']
        )
        assert (await entry.request('/look/x')).status == 200
        answer = await entry.request('/look/x', headers={'X-Key': 'any'})
        assert answer.status == 200

    play(scenario)
