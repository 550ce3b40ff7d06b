"""The link of an entry to the control leader: heartbeats and commands.

The link finds the leader among the control processes of the settings. It
follows the leader's address from a refusal, and moves on to the next process
after a timeout.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol

import grpc

from snipebridge.clock import Clock
from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.controllers.lease import Lease
from snipebridge.controllers.view import ConfigurationView, make_view
from snipebridge.logs import log_event
from snipebridge.rpc.channels import ChannelPool, make_channel_pool
from snipebridge.rpc.commands_pb2 import Command, CommandResult
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    SubmitReply,
    SubmitRequest,
)
from snipebridge.rpc.control_pb2_grpc import ControlStub
from snipebridge.settings.models import Settings

_HEARTBEAT_TIMEOUT_S = 0.8
_SUBMIT_TIMEOUT_S = 2.0
_RETRY_PAUSE_S = 0.05
# Heartbeats that a leader on a small share of a core answers in a second, from
# all entries together: docs/CAPACITY.md has its time for one.
_FLEET_HEARTBEATS_PER_S = 400.0
# A lease lasts several heartbeats, however many entries there are.
_LONGEST_INTERVAL_S = 0.8
# Members of the log and seeds of the settings, of which some may be gone.
_ADDRESSES_LIMIT = 12


class Reporter(Protocol):
    """Fills in what a heartbeat reports and takes what comes back."""

    # How many entries share the leader, as it told last.
    entry_count: int

    def fill_request(self, request: HeartbeatRequest) -> None:
        """Add the sums since the last acknowledged report."""

    def apply_reply(self, reply: HeartbeatReply) -> bool:
        """Take grants, shares, signs and estimates.

        Tells whether this entry now holds all that the lease is granted with.
        """


class LeaderLocator:
    """Which control process to ask next."""

    __slots__ = ('_addresses', '_current')

    def __init__(self, addresses: Sequence[str]) -> None:
        """Start with the first address."""
        self._addresses = list(addresses)
        self._current = self._addresses[0]

    @property
    def address(self) -> str:
        """Where the leader is thought to be."""
        return self._current

    def follow_redirect(self, leader_address: str) -> None:
        """Go where a process says that the leader is."""
        if leader_address and leader_address != self._current:
            self._current = leader_address
            return
        self.try_next(self._current)

    def add_addresses(self, addresses: Sequence[str]) -> None:
        """Take the members of the log; the settings may name gone ones."""
        known = dict.fromkeys((*addresses, *self._addresses))
        self._addresses = list(known)[:_ADDRESSES_LIMIT]

    def try_next(self, failed_address: str) -> None:
        """Try the next process, unless another call moved on already."""
        if failed_address != self._current:
            return
        addresses = self._addresses
        if self._current in addresses:
            following = addresses.index(self._current) + 1
        else:
            following = 0
        self._current = addresses[following % len(addresses)]


class ControlLink:
    """Keeps lease and configuration fresh and carries commands."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        pool: ChannelPool,
        reporter: Reporter,
    ) -> None:
        """Start without a lease and with an empty configuration."""
        self._settings = settings
        self._clock = clock
        self._pool = pool
        self._reporter = reporter
        self._search = LeaderLocator(
            [control.address for control in settings.controls],
        )
        self._incarnation = clock.wall_ms()
        self._address = ''
        self._urgent = asyncio.Event()
        self.lease = Lease()
        self.view: ConfigurationView = make_view(0, b'')
        self.leaving = False
        self.on_view: Callable[[ConfigurationView], None] | None = None

    def set_address(self, address: str) -> None:
        """Tell where this entry listens for the others."""
        self._address = address

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            succeeded = await self.send_heartbeat()
            spent_s = self._clock.monotonic_s() - started_s
            pause_s = self._interval_s() if succeeded else _RETRY_PAUSE_S
            await self._pause(max(_RETRY_PAUSE_S, pause_s - spent_s))

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """Take addresses of settings that were read again."""
        self._search.add_addresses(addresses)

    def send_now(self) -> None:
        """Send the next heartbeat at once: there is urgent news."""
        self._urgent.set()

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; tell whether the leader granted it in full."""
        address = self._search.address
        request = self._make_heartbeat()
        sent_at_s = self._clock.monotonic_s()
        stub = ControlStub(self._pool.channel(address))
        try:
            reply = await stub.Heartbeat(request, timeout=_HEARTBEAT_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._give_up(address, error)
            return False
        if not reply.leader:
            self._search.follow_redirect(reply.leader_address)
            return False
        return self._accept(reply, sent_at_s)

    async def submit(
        self, commands: Sequence[Command], deadline_s: float
    ) -> list[CommandResult]:
        """Return the results once the commands are durable.

        Resends until `deadline_s` on the monotonic clock; each command has a
        key under which the ledger counts it once. Raises
        `ControlUnreachableError` when no leader acknowledged in time.
        """
        request = SubmitRequest(
            entry=self._settings.process.name, commands=commands
        )
        while self._clock.monotonic_s() < deadline_s:
            reply = await self._submit_once(request)
            if reply is not None and reply.committed:
                return list(reply.results)
            await asyncio.sleep(_RETRY_PAUSE_S)
        raise ControlUnreachableError('no control leader acknowledged')

    async def close(self) -> None:
        """Close the channels."""
        await self._pool.close()

    def _interval_s(self) -> float:
        return heartbeat_interval_s(
            self._settings.entry.heartbeat_interval_s,
            self._reporter.entry_count,
        )

    async def _pause(self, pause_s: float) -> None:
        with suppress(TimeoutError):
            await asyncio.wait_for(self._urgent.wait(), pause_s)
        self._urgent.clear()

    def _make_heartbeat(self) -> HeartbeatRequest:
        process = self._settings.process
        request = HeartbeatRequest(
            entry=process.name,
            data_centre=process.data_centre,
            address=self._address,
            incarnation=self._incarnation,
            number=self.view.number,
            leaving=self.leaving,
        )
        self._reporter.fill_request(request)
        return request

    def _accept(self, reply: HeartbeatReply, sent_at_s: float) -> bool:
        if reply.configuration and reply.number > self.view.number:
            self.view = make_view(reply.number, reply.configuration)
            log_event('configuration', number=reply.number)
            if self.on_view is not None:
                self.on_view(self.view)
        self._search.add_addresses(reply.controls)
        self._renew_incarnation(reply)
        is_current = self._reporter.apply_reply(reply)
        # A lease for a newer number than the one held here grants nothing.
        if self.view.number >= reply.number and is_current:
            self.lease.extend(sent_at_s, reply.lease_s)
        return is_current

    def _renew_incarnation(self, reply: HeartbeatReply) -> None:
        """Go above an older process of this entry whose clock was ahead."""
        if reply.known_incarnation > self._incarnation:
            log_event(
                'incarnation_raised',
                held=self._incarnation,
                known=reply.known_incarnation,
            )
            self._incarnation = reply.known_incarnation + 1

    async def _submit_once(self, request: SubmitRequest) -> SubmitReply | None:
        address = self._search.address
        stub = ControlStub(self._pool.channel(address))
        try:
            reply = await stub.Submit(request, timeout=_SUBMIT_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._give_up(address, error)
            return None
        if not reply.leader:
            self._search.follow_redirect(reply.leader_address)
        return reply

    def _give_up(self, address: str, error: grpc.aio.AioRpcError) -> None:
        self._search.try_next(address)
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            # The connection may have gone silent for good.
            self._pool.discard(address)


def heartbeat_interval_s(configured_s: float, entry_count: int) -> float:
    """Return the time between heartbeats: longer where entries are many.

    >>> heartbeat_interval_s(0.2, 9), heartbeat_interval_s(0.2, 160)
    (0.2, 0.4)
    >>> heartbeat_interval_s(0.2, 5000), heartbeat_interval_s(1.5, 5000)
    (0.8, 1.5)
    """
    shared_s = entry_count / _FLEET_HEARTBEATS_PER_S
    return max(configured_s, min(_LONGEST_INTERVAL_S, shared_s))


def make_control_link(
    settings: Settings, clock: Clock, reporter: Reporter
) -> ControlLink:
    """Return a link over channels of its own."""
    pool = make_channel_pool(settings.peer_tls)
    return ControlLink(settings, clock, pool, reporter)
