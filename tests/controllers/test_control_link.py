"""Lease and configuration of an entry only ever move forward."""

import asyncio

import orjson

from snipebridge.controllers.lease import Lease
from snipebridge.controllers.control_link import ControlLink, LeaderLocator
from snipebridge.rpc.channels import (
    bind_server,
    make_channel_pool,
    make_server,
)
from snipebridge.rpc.control_pb2 import HeartbeatReply, SubmitReply
from snipebridge.rpc.control_pb2_grpc import (
    ControlServicer,
    add_ControlServicer_to_server,
)
from snipebridge.settings.models import (
    ControlAddress,
    ListenerSettings,
    PeerTlsSettings,
    ProcessSettings,
    Settings,
)
from tests.clocks import ManualClock


class _Control(ControlServicer):
    """Answers heartbeats with replies that a test sets."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.reply = HeartbeatReply()
        self.travel_s = 0.0
        self.silent = False
        self.released = asyncio.Event()

    async def Heartbeat(self, request, context):
        self.clock.now_s += self.travel_s
        if self.silent:
            await asyncio.sleep(30)
        return self.reply

    async def Submit(self, request, context):
        await self.released.wait()
        return SubmitReply(leader=True, committed=True)


class _NoReports:
    entry_count = 1

    def fill_request(self, request) -> None:
        """Report nothing."""

    def apply_reply(self, reply) -> bool:
        """Take nothing; all that the lease needs is held."""
        return True


def _reply(number: int, state: str, lease_s: float = 3.0) -> HeartbeatReply:
    body = {'versions': {'small@1': {'state': state}}}
    return HeartbeatReply(
        leader=True,
        lease_s=lease_s,
        number=number,
        configuration=orjson.dumps(body),
    )


async def _with_link(scenario):
    clock = ManualClock()
    control = _Control(clock)
    server = make_server()
    add_ControlServicer_to_server(control, server)
    address = bind_server(server, ListenerSettings(), PeerTlsSettings())
    await server.start()
    settings = Settings(
        process=ProcessSettings('entry-1', 'dc-a'),
        controls=[ControlAddress('control-1', address)],
    )
    pool = make_channel_pool(PeerTlsSettings())
    link = ControlLink(settings, clock, pool, _NoReports())
    try:
        await scenario(link, control, clock)
    finally:
        await link.close()
        await server.stop(0)


def test_lease_counts_from_the_sending():
    """A reply that travels long grants that much less."""

    async def scenario(link, control, clock):
        control.reply = _reply(1, 'serving', lease_s=3.0)
        control.travel_s = 2.0
        assert await link.send_heartbeat()
        assert link.lease.is_valid(clock.now_s + 0.9)
        assert not link.lease.is_valid(clock.now_s + 1.1)

    asyncio.run(_with_link(scenario))


def test_older_number_neither_reverts_nor_shrinks():
    """A leader that is behind takes nothing back."""

    async def scenario(link, control, clock):
        control.reply = _reply(7, 'withdrawn')
        await link.send_heartbeat()
        control.reply = _reply(6, 'serving')
        await link.send_heartbeat()
        assert link.view.number == 7
        assert link.view.versions['small@1'].state == 'withdrawn'

    asyncio.run(_with_link(scenario))


def test_newer_number_without_its_body_grants_nothing():
    """A lease is for the number that the entry really holds."""

    async def scenario(link, control, clock):
        control.reply = HeartbeatReply(leader=True, lease_s=3.0, number=5)
        await link.send_heartbeat()
        assert not link.lease.is_valid(clock.now_s)

    asyncio.run(_with_link(scenario))


def test_late_reply_never_shortens_a_lease():
    """Replies may cross on their way."""
    lease = Lease()
    lease.extend(sent_at_s=10.0, lease_s=3.0)
    lease.extend(sent_at_s=9.0, lease_s=3.0)
    assert lease.is_valid(12.9)


def test_search_follows_and_moves_on():
    """A hint is followed, a silent process is left, strangers return."""
    search = LeaderLocator(['a', 'b', 'c'])
    search.follow_redirect('c')
    assert search.address == 'c'
    search.try_next('c')
    assert search.address == 'a'
    search.try_next('c')
    assert search.address == 'a'
    search.follow_redirect('elsewhere')
    search.try_next('elsewhere')
    assert search.address == 'a'
    search.follow_redirect('')
    assert search.address == 'b'


def test_heartbeat_that_times_out_spares_a_running_submit():
    """A channel that is given up lets the calls on it end by themselves."""

    async def scenario(link, control, clock):
        control.silent = True
        submitting = asyncio.create_task(link.submit([], clock.now_s + 60))
        await asyncio.sleep(0.05)
        assert not await link.send_heartbeat()
        control.released.set()
        assert await submitting == []

    asyncio.run(_with_link(scenario))
