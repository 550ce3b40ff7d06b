"""Connection of an entry to the control leader for heartbeats and commands.

The leader is located among the control processes of the settings: a process
that is not the leader redirects to it, and after a failed call the next
process is tried.
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
_RETRY_DELAY_S = 0.05
# Heartbeats per second, from all entries together, that a leader can answer on
# a small share of a core: docs/CAPACITY.md has the time for one.
_FLEET_HEARTBEATS_PER_S = 400.0
# Limited so that a lease lasts several heartbeats in a fleet of any size.
_MAX_INTERVAL_S = 0.8
# Limit on members of the log and seeds of the settings, which may be outdated.
_MAX_ADDRESSES = 12


class Reporter(Protocol):
    """Adds reports to heartbeats and applies the replies."""

    # Number of entries, as last reported by the leader.
    entry_count: int

    def fill_request(self, request: HeartbeatRequest) -> None:
        """Add the sums since the last acknowledged report to a heartbeat."""

    def apply_reply(self, reply: HeartbeatReply) -> bool:
        """Apply grants, shares, health signals and estimates.

        Tells whether this entry now has all the data that the lease requires.
        """


class LeaderLocator:
    """Selects the control process to call next."""

    __slots__ = ('_addresses', '_current')

    def __init__(self, addresses: Sequence[str]) -> None:
        """Start with the first address."""
        self._addresses = list(addresses)
        self._current = self._addresses[0]

    @property
    def address(self) -> str:
        """The address of the presumed leader."""
        return self._current

    def follow_redirect(self, leader_address: str) -> None:
        """Switch to the leader that a process names, else to the next one."""
        if leader_address and leader_address != self._current:
            self._current = leader_address
            return
        self.try_next(self._current)

    def add_addresses(self, addresses: Sequence[str]) -> None:
        """Put the members of the log first; the settings may be outdated."""
        candidates = dict.fromkeys((*addresses, *self._addresses))
        self._addresses = list(candidates)[:_MAX_ADDRESSES]

    def try_next(self, failed_address: str) -> None:
        """Switch to the next process unless another call already did."""
        if failed_address != self._current:
            return
        addresses = self._addresses
        if self._current in addresses:
            next_index = addresses.index(self._current) + 1
        else:
            next_index = 0
        self._current = addresses[next_index % len(addresses)]


class ControlLink:
    """Renews the lease and the configuration and submits commands."""

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
        self._locator = LeaderLocator(
            [control.address for control in settings.controls],
        )
        self._incarnation = clock.wall_ms()
        self._address = ''
        self._heartbeat_due = asyncio.Event()
        self.lease = Lease()
        self.view: ConfigurationView = make_view(0, b'')
        self.leaving = False
        self.on_view: Callable[[ConfigurationView], None] | None = None

    def set_address(self, address: str) -> None:
        """Set the address at which this entry listens for other entries."""
        self._address = address

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            succeeded = await self.send_heartbeat()
            elapsed_s = self._clock.monotonic_s() - started_s
            delay_s = self._interval_s() if succeeded else _RETRY_DELAY_S
            await self._wait(max(_RETRY_DELAY_S, delay_s - elapsed_s))

    def set_seeds(self, addresses: Sequence[str]) -> None:
        """Add the control addresses of reloaded settings."""
        self._locator.add_addresses(addresses)

    def send_now(self) -> None:
        """Send the next heartbeat immediately for an urgent report."""
        self._heartbeat_due.set()

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; tell whether the leader accepted it in full."""
        address = self._locator.address
        request = self._make_heartbeat()
        sent_at_s = self._clock.monotonic_s()
        stub = ControlStub(self._pool.channel(address))
        try:
            reply = await stub.Heartbeat(request, timeout=_HEARTBEAT_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._handle_failure(address, error)
            return False
        if not reply.leader:
            self._locator.follow_redirect(reply.leader_address)
            return False
        return self._apply_reply(reply, sent_at_s)

    async def submit(
        self, commands: Sequence[Command], deadline_s: float
    ) -> list[CommandResult]:
        """Submit commands and return their results once they are durable.

        Retries until `deadline_s` on the monotonic clock; the ledger uses
        the key of each command to count it once. Raises
        `ControlUnreachableError` when no leader acknowledged in time.
        """
        request = SubmitRequest(
            entry=self._settings.process.name, commands=commands
        )
        while self._clock.monotonic_s() < deadline_s:
            reply = await self._submit_once(request)
            if reply is not None and reply.committed:
                return list(reply.results)
            await asyncio.sleep(_RETRY_DELAY_S)
        raise ControlUnreachableError('no control leader acknowledged')

    async def close(self) -> None:
        """Close the channels."""
        await self._pool.close()

    def _interval_s(self) -> float:
        return heartbeat_interval_s(
            self._settings.entry.heartbeat_interval_s,
            self._reporter.entry_count,
        )

    async def _wait(self, delay_s: float) -> None:
        with suppress(TimeoutError):
            await asyncio.wait_for(self._heartbeat_due.wait(), delay_s)
        self._heartbeat_due.clear()

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

    def _apply_reply(self, reply: HeartbeatReply, sent_at_s: float) -> bool:
        if reply.configuration and reply.number > self.view.number:
            self.view = make_view(reply.number, reply.configuration)
            log_event('configuration', number=reply.number)
            if self.on_view is not None:
                self.on_view(self.view)
        self._locator.add_addresses(reply.controls)
        self._raise_incarnation(reply)
        is_current = self._reporter.apply_reply(reply)
        # The lease does not cover a newer number than this entry has.
        if self.view.number >= reply.number and is_current:
            self.lease.extend(sent_at_s, reply.lease_s)
        return is_current

    def _raise_incarnation(self, reply: HeartbeatReply) -> None:
        """Exceed the incarnation of an older process whose clock was ahead."""
        if reply.known_incarnation > self._incarnation:
            log_event(
                'incarnation_raised',
                held=self._incarnation,
                known=reply.known_incarnation,
            )
            self._incarnation = reply.known_incarnation + 1

    async def _submit_once(self, request: SubmitRequest) -> SubmitReply | None:
        address = self._locator.address
        stub = ControlStub(self._pool.channel(address))
        try:
            reply = await stub.Submit(request, timeout=_SUBMIT_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._handle_failure(address, error)
            return None
        if not reply.leader:
            self._locator.follow_redirect(reply.leader_address)
        return reply

    def _handle_failure(
        self, address: str, error: grpc.aio.AioRpcError
    ) -> None:
        self._locator.try_next(address)
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            # The connection may be half-open and never answer again.
            self._pool.discard(address)


def heartbeat_interval_s(configured_s: float, entry_count: int) -> float:
    """Return the time between heartbeats, longer in large fleets.

    >>> heartbeat_interval_s(0.2, 9), heartbeat_interval_s(0.2, 160)
    (0.2, 0.4)
    >>> heartbeat_interval_s(0.2, 5000), heartbeat_interval_s(1.5, 5000)
    (0.8, 1.5)
    """
    shared_s = entry_count / _FLEET_HEARTBEATS_PER_S
    return max(configured_s, min(_MAX_INTERVAL_S, shared_s))


def make_control_link(
    settings: Settings, clock: Clock, reporter: Reporter
) -> ControlLink:
    """Return a link that uses its own channels."""
    pool = make_channel_pool(settings.peer_tls)
    return ControlLink(settings, clock, pool, reporter)
