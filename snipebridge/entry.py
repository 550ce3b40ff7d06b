"""The entry process: listens, works in the background, and drains."""

import asyncio
import random

import grpc
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from snipebridge.chains import make_chains
from snipebridge.clock import Clock, SystemClock
from snipebridge.controllers.view import ConfigurationView
from snipebridge.entry_parts import EntryParts, make_entry_parts
from snipebridge.listener import ListenerParts, make_application
from snipebridge.logs import log_event
from snipebridge.rpc.channels import bind_server, make_server
from snipebridge.rpc.control_pb2_grpc import add_PeerServicer_to_server
from snipebridge.settings.models import ListenerSettings, Settings
from snipebridge.settings.seeds import seed_addresses
from snipebridge.settings.watching import SettingsWatch
from snipebridge.supervision import Duty
from snipebridge.tls import TlsFiles, make_tls_files

_LEAVING_GRACE_S = 1.0
_DRAIN_POLL_S = 0.05
_RPC_GRACE_S = 0.5
_FLUSH_TIMEOUT_S = 10.0


class EntryProcess:
    """One entry: its listeners and its background work."""

    def __init__(
        self, settings: Settings, clock: Clock, parts: EntryParts
    ) -> None:
        """Keep the parts; `start` makes them work."""
        self._settings = settings
        self._clock = clock
        self._parts = parts
        self._supervisor = parts.supervisor
        self._server = make_server(self._supervisor)
        self._http: HTTPServer | None = None
        self._tls: TlsFiles | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._leaving = False
        self._closed = False
        self.listener: ListenerParts | None = None
        self.http_port = 0

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force here."""
        return self._parts.link.view

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        lease = self._parts.link.lease
        is_leased = lease.is_valid(self._clock.monotonic_s())
        return not self._leaving and is_leased and self.view.number > 0

    def accepts(self) -> bool:
        """Tell whether a request that came all the same is taken."""
        return not self._closed

    def update_metrics(self) -> None:
        """Bring the gauges up to date."""
        metrics = self._parts.metrics
        lease = self._parts.link.lease
        remaining_s = lease.remaining_s(self._clock.monotonic_s())
        metrics.lease_remaining_s.set({}, remaining_s)
        metrics.configuration_number.set({}, self.view.number)
        metrics.pending_records.set({}, self._parts.recorder.pending())

    def take_settings(self, settings: Settings) -> None:
        """Take what may change while the process runs: the seeds."""
        self._parts.link.set_seeds(seed_addresses(settings))

    async def start(self, listener: ListenerParts) -> None:
        """Listen and start the background work."""
        parts = self._parts
        self.listener = listener
        add_PeerServicer_to_server(parts.directory, self._server)
        address = bind_server(
            self._server, self._settings.rpc_listener, self._settings.peer_tls
        )
        await self._server.start()
        parts.link.set_address(address)
        for name, duty in (
            ('heartbeats', parts.link.run),
            ('recorder', parts.recorder.run),
            ('admission', parts.gate.run),
            ('pool_limits', parts.limits.run),
            ('host_list', parts.watch.run),
        ):
            self._spawn(name, duty)
        self._listen(listener)
        log_event('started', http_port=self.http_port, rpc_address=address)

    async def drain(self) -> None:
        """Leave without cutting off a request.

        The balancer is told first, and requests it still sends are served.
        Then nothing new is taken, and the process waits for what runs.
        """
        self._leaving = True
        self._parts.link.leaving = True
        log_event('leaving', running=len(self.listener.running))
        await asyncio.sleep(_LEAVING_GRACE_S)
        self._http.stop()
        await self._wait_for_requests()
        self._closed = True
        await self._parts.recorder.flush(_FLUSH_TIMEOUT_S)
        await self._parts.directory.hand_over()
        log_event('left', pending=self._parts.recorder.pending())

    async def close(self) -> None:
        """Stop the background work and close all connections."""
        await self._parts.watch.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.close_all_connections()
        await self._parts.link.close()
        await self._server.stop(_RPC_GRACE_S)

    async def _wait_for_requests(self) -> None:
        limit_s = self._settings.entry.drain_timeout_s
        deadline_s = self._clock.monotonic_s() + limit_s
        while self.listener.running:
            if self._clock.monotonic_s() > deadline_s:
                return
            await asyncio.sleep(_DRAIN_POLL_S)

    def _listen(self, listener: ListenerParts) -> None:
        limits = self._settings.listener
        self._tls = make_tls_files(limits)
        self._http = make_http_server(listener, limits, self._tls)
        sockets = bind_sockets(limits.port, limits.host)
        self._http.add_sockets(sockets)
        self.http_port = sockets[0].getsockname()[1]
        if self._tls is not None:
            self._spawn('tls_files', self._tls.run)

    def _spawn(self, name: str, duty: Duty) -> None:
        running = self._supervisor.keep_running(name, duty)
        self._tasks.append(asyncio.create_task(running))


def make_http_server(
    listener: ListenerParts, limits: ListenerSettings, tls: TlsFiles | None
) -> HTTPServer:
    """Return the callers' server with the limits of the settings."""
    return HTTPServer(
        make_application(listener),
        ssl_options=tls.context if tls is not None else None,
        # One more byte is read, so that the handler answers a larger body.
        max_body_size=limits.body_limit_bytes + 1,
        max_header_size=limits.header_limit_bytes,
        idle_connection_timeout=limits.idle_timeout_s,
        body_timeout=limits.body_timeout_s,
    )


async def serve(
    settings: Settings,
    stop: asyncio.Event,
    watch: SettingsWatch | None = None,
) -> None:
    """Run an entry until `stop` is set, then drain."""
    grpc.aio.init_grpc_aio()
    clock = SystemClock()
    seed = settings.process.seed
    rng = random.Random(f'{settings.process.name}/{seed}' if seed else None)
    parts = make_entry_parts(settings, clock, rng)
    process = EntryProcess(settings, clock, parts)
    listener = ListenerParts(
        state=process,
        chains=make_chains(settings, clock, parts, rng),
        clock=clock,
        metrics=parts.metrics,
        body_limit_bytes=settings.listener.body_limit_bytes,
    )
    await process.start(listener)
    watching = asyncio.create_task(
        watch.run(process.take_settings) if watch else stop.wait()
    )
    await stop.wait()
    watching.cancel()
    await process.drain()
    await process.close()
