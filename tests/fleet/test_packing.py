"""The routing document on its way to entries."""

import asyncio

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fakes.platform_caller import DOCUMENT
from snipebridge.fleet.packing import PackedDocument, PackingError, unpack
from snipebridge.rpc.commands_pb2 import Command, RoutingCommand
from tests.running_control import RunningControl

LIMIT_BYTES = 1_000_000


def make_document(routes=400, version=1):
    """Return a configuration with as many routes as a storm brings."""
    document = {**DOCUMENT, 'version': version}
    document['routes'] = [
        {
            **DOCUMENT['routes'][0],
            'name': f'r-{number}',
            'path_prefix': f'/{number}/',
        }
        for number in range(routes)
    ]
    return orjson.dumps(document)


def test_a_large_document_shrinks_to_a_tenth():
    document = make_document()
    packed = PackedDocument().pack(1, document)
    assert len(packed) < len(document) / 10
    assert unpack(packed, LIMIT_BYTES) == document


def test_each_version_is_packed():
    packed = PackedDocument()
    first = packed.pack(1, b'one')
    assert packed.pack(1, b'one') is first
    assert unpack(packed.pack(2, b'two'), LIMIT_BYTES) == b'two'


def test_unpacking_is_bounded():
    packed = PackedDocument().pack(1, bytes(50_000_000))
    with pytest.raises(PackingError):
        unpack(packed, LIMIT_BYTES)


@given(st.binary(max_size=60))
def test_damaged_bytes_are_an_error(damaged):
    """Whatever arrives, the answer is a document or the error of the layer."""
    document = make_document(routes=3)
    packed = PackedDocument().pack(1, document)
    for content in (damaged, packed[: len(damaged)], packed + damaged):
        try:
            unpacked = unpack(content, LIMIT_BYTES)
        except PackingError:
            continue
        assert unpacked == document or content == damaged


def test_entries_of_both_builds_get_the_document():
    """An entry that does not know the packed form gets the plain one."""
    document = make_document(routes=50, version=5)

    async def scenario():
        async with RunningControl() as control:
            await control.replica.submit(
                [Command(routing=RoutingCommand(version=5, document=document))]
            )
            await control.beat()
            old = await control.beat()
            assert old.routing == document and not old.packed_routing
            new = await control.beat('e2', reads_packed_routing=True)
            assert not new.routing
            assert unpack(new.packed_routing, LIMIT_BYTES) == document
            held = await control.beat(
                'e2', reads_packed_routing=True, routing_version=5
            )
            assert not held.packed_routing

    asyncio.run(scenario())
