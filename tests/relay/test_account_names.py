"""Names of accounts and models on their way to a replica."""

import asyncio
import copy

import pytest

from fakes.platform_caller import CHAT_HEADERS, DOCUMENT
from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry

BAD_NAMES = ('', ' x', 'x\t', 'Gafsa\nX-A: 1', 'Gafsa\r\nX-A: 1', 'a\0b')


def with_accounts(names):
    """Return the document with an account a name, of the key of its number."""
    document = copy.deepcopy(DOCUMENT)
    document['accounts'] = [
        {'name': name, 'keys': [f'key-{number}']}
        for number, name in enumerate(names)
    ]
    return document


def ask_as_each(names, document=None):
    """Ask once with each key; return statuses and what the replica got."""

    async def session():
        replica = PlatformReplica('d1', 'desk', '127.0.0.1')
        document = with_accounts(names)
        async with RunningEntry(replica, document=document) as entry:
            statuses = []
            for number, _ in enumerate(names):
                headers = {
                    'X-Key': f'key-{number}',
                    'X-Attempt-Id': f'{number}',
                }
                answer = await entry.request('/look/x', headers=headers)
                statuses.append(answer.status)
        return statuses, replica.runs

    return asyncio.run(asyncio.wait_for(session(), 20))


@pytest.mark.parametrize(
    'names', [('福岡', '熊本'), ('é', 'Ã©'), ('Télé', 'Tèlé', 'T?l?')]
)
def test_replicas_can_tell_accounts_apart(names):
    """Guards against letters that are replaced by a question mark."""
    statuses, runs = ask_as_each(names)
    assert set(statuses) == {200}
    assert len({run.headers['x-tenant'] for run in runs}) == len(names)


@pytest.mark.parametrize('bad_name', BAD_NAMES)
def test_name_that_cannot_be_sent_takes_nothing_from_others(bad_name):
    """Guards against requests under another account or with more headers.

    An earlier release acknowledged such a name, so it may be in force.
    """
    statuses, runs = ask_as_each([bad_name, 'Sfax'])
    assert statuses == [503, 200]
    assert [run.headers['x-tenant'] for run in runs] == ['Sfax']
    assert 'x-a' not in runs[0].headers


def test_models_keep_their_names():
    """Guards against model names that reach a replica as question marks."""

    async def session():
        document = copy.deepcopy(DOCUMENT)
        document['routes'][2]['tiers'] = ['小', '大']
        replica = PlatformReplica('m1', 'models', '127.0.0.1')
        async with RunningEntry(replica, document=document) as entry:
            answer = await entry.request(
                '/chat/x', 'POST', b'prompt', CHAT_HEADERS
            )
        assert answer.status == 200
        sent = replica.runs[0].headers['x-model-id'].encode('latin1')
        assert sent.decode() in {'小', '大'}

    asyncio.run(asyncio.wait_for(session(), 20))


def test_replica_with_any_printable_id_is_reached():
    """Guards against an id that the replica does not know as its own."""

    async def session():
        replica = PlatformReplica('実', 'desk', '127.0.0.1')
        async with RunningEntry(replica) as entry:
            entry.replicas = [copy.copy(replica)]
            await entry.replace_list()
            # What a header with its id reads like.
            replica.name = '実'.encode().decode('latin1')
            answer = await entry.request('/look/x')
        assert answer.status == 200

    asyncio.run(asyncio.wait_for(session(), 20))
