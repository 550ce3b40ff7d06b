"""Tests that the lease and configuration of an entry never go backwards."""

import asyncio

import orjson

from snipebridge.controllers.control_link import ControlLink, LeaderLocator
from snipebridge.controllers.lease import Lease
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
    """Answers heartbeats with a reply that a test sets."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.reply = HeartbeatReply()
        self.delay_s = 0.0
        self.silent = False
        self.submit_allowed = asyncio.Event()

    async def Heartbeat(self, request, context):
        self.clock.now_s += self.delay_s
        if self.silent:
            await asyncio.sleep(30)
        return self.reply

    async def Submit(self, request, context):
        await self.submit_allowed.wait()
        return SubmitReply(leader=True, committed=True)


class _EmptyReporter:
    entry_count = 1

    def fill_request(self, request) -> None:
        """Report nothing."""

    def apply_reply(self, reply) -> bool:
        """Ignore the reply; the entry has all that the lease requires."""
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
    link = ControlLink(settings, clock, pool, _EmptyReporter())
    try:
        await scenario(link, control, clock)
    finally:
        await link.close()
        await server.stop(0)


def test_lease_starts_when_heartbeat_is_sent():
    """Network delay shortens the lease at the entry."""

    async def scenario(link, control, clock):
        control.reply = _reply(1, 'serving', lease_s=3.0)
        control.delay_s = 2.0
        assert await link.send_heartbeat()
        assert link.lease.is_valid(clock.now_s + 0.9)
        assert not link.lease.is_valid(clock.now_s + 1.1)

    asyncio.run(_with_link(scenario))


def test_older_number_does_not_revert_configuration():
    """A leader that lags behind must not restore an old configuration."""

    async def scenario(link, control, clock):
        control.reply = _reply(7, 'withdrawn')
        await link.send_heartbeat()
        control.reply = _reply(6, 'serving')
        await link.send_heartbeat()
        assert link.view.number == 7
        assert link.view.versions['small@1'].state == 'withdrawn'

    asyncio.run(_with_link(scenario))


def test_newer_number_without_body_extends_no_lease():
    """A lease requires the configuration of the reply's number."""

    async def scenario(link, control, clock):
        control.reply = HeartbeatReply(leader=True, lease_s=3.0, number=5)
        await link.send_heartbeat()
        assert not link.lease.is_valid(clock.now_s)

    asyncio.run(_with_link(scenario))


def test_late_reply_never_shortens_a_lease():
    """Replies may arrive out of order."""
    lease = Lease()
    lease.extend(sent_at_s=10.0, lease_s=3.0)
    lease.extend(sent_at_s=9.0, lease_s=3.0)
    assert lease.is_valid(12.9)


def test_locator_follows_redirects_and_skips_failures():
    """After an unknown address fails, the first known one is tried."""
    locator = LeaderLocator(['a', 'b', 'c'])
    locator.follow_redirect('c')
    assert locator.address == 'c'
    locator.try_next('c')
    assert locator.address == 'a'
    locator.try_next('c')
    assert locator.address == 'a'
    locator.follow_redirect('elsewhere')
    locator.try_next('elsewhere')
    assert locator.address == 'a'
    locator.follow_redirect('')
    assert locator.address == 'b'


def test_heartbeat_timeout_does_not_cancel_running_submit():
    """Calls on a discarded channel are allowed to finish."""

    async def scenario(link, control, clock):
        control.silent = True
        submitting = asyncio.create_task(link.submit([], clock.now_s + 60))
        await asyncio.sleep(0.05)
        assert not await link.send_heartbeat()
        control.submit_allowed.set()
        assert await submitting == []

    asyncio.run(_with_link(scenario))
