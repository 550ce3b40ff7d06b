"""The life of an entry that routes to services: start, serve, drain."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import grpc
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from snipebridge.clock import Clock, SystemClock
from snipebridge.controllers.link import ControlLink, make_control_link
from snipebridge.logs import dropped_lines, log_event
from snipebridge.relay.chains import make_filters
from snipebridge.relay.messages import HeaderCodec
from snipebridge.relay.knowledge import Knowledge
from snipebridge.relay.metrics import RelayMetrics
from snipebridge.relay.pages import make_pages
from snipebridge.relay.reporting import RelayReporter
from snipebridge.relay.server import ServerParts, make_relay_server
from snipebridge.relay.software import SoftwareChoice
from snipebridge.relay.watching import ListFallback
from snipebridge.routing.tables import CallerLimits, RoutingTable
from snipebridge.settings.models import ListenerSettings, Settings
from snipebridge.settings.seeds import resolve_entry_seeds, seed_addresses
from snipebridge.settings.watching import SettingsWatch
from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.connections import ConnectionPool
from snipebridge.upstreams.replica_list import make_replica_list

# The balancer asks once a second and takes a host out after two refusals;
# until then callers still come, and are served. What comes later on a kept
# connection might not end in time: it is refused, and the caller goes on.
_LEAVING_S = 2.8
# Part of the grace period after which what still runs is cut: the rest is
# for the end of the process.
_GRACE_SHARE = 0.9
_DRAIN_POLL_S = 0.05
_HOUSEKEEPING_S = 0.5


class RelayProcess:
    """One entry: its listeners and its background work."""

    def __init__(
        self, settings: Settings, clock: Clock, rng: random.Random
    ) -> None:
        """Build the parts; `start` makes them work."""
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.is_leaving = False
        self.accepts = True
        self._servers: list[HTTPServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._metrics = RelayMetrics()
        self._pool = ConnectionPool()
        self._knowledge = Knowledge(SoftwareChoice(settings.promises.session_s))
        self._reporter = RelayReporter(self._knowledge, clock)
        self._reporter.on_gone = self._pool.drop
        self._reporter.on_table = self._take_table
        self._link: ControlLink = make_control_link(
            settings, clock, self._reporter
        )
        self._server_parts = ServerParts(
            source=self,
            filters=make_filters(
                settings,
                self._link,
                self._reporter,
                self._knowledge,
                self._pool,
                self._metrics,
                clock,
                rng,
            ),
            codec=HeaderCodec(settings.headers),
            clock=clock,
        )
        self._callers = make_relay_server(self._server_parts, CallerLimits())
        self.http_port = 0
        self.ready_port = 0

    @property
    def table(self) -> RoutingTable:
        """The routes in force here."""
        return self._reporter.table

    @property
    def running_requests(self) -> int:
        """How many requests are under way."""
        return len(self._server_parts.running)

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        is_leased = self._link.lease.is_valid(self._clock.monotonic_s())
        return not self.is_leaving and is_leased and self.table.version > 0

    def take_settings(self, settings: Settings) -> None:
        """Take what may change while the process runs: the seeds."""
        self._link.set_seeds(seed_addresses(settings))

    async def start(self) -> None:
        """Listen and start the background work."""
        settings = self._settings
        name = settings.process.name
        self._link.set_address(f'{settings.listener.host}/{name}')
        self.http_port = self._listen(self._callers, settings.listener)
        pages = HTTPServer(
            make_pages(self.is_ready, self._metrics, self._refresh)
        )
        self.ready_port = self._listen(pages, settings.ready_listener)
        if settings.metrics_listener.port:
            self._listen(pages, settings.metrics_listener)
        self._spawn(self._link.run())
        self._spawn(self._keep_house())
        self._spawn_fallback()
        log_event('started', http_port=self.http_port)

    async def drain(self) -> None:
        """Leave without cutting off a request that can still end."""
        started_s = self._clock.monotonic_s()
        self.is_leaving = True
        self._link.leaving = True
        running = self._server_parts.running
        log_event('leaving', running=len(running))
        limit_s = started_s + _GRACE_SHARE * self._settings.promises.grace_s
        await asyncio.sleep(_LEAVING_S)
        self.accepts = False
        while running and self._clock.monotonic_s() < limit_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        self._callers.stop()
        log_event('left', cut_off=len(running))

    async def close(self) -> None:
        """Stop the background work and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        self._pool.close()
        await self._link.close()

    def _take_table(self, table: RoutingTable) -> None:
        limits = table.limits
        params = self._callers.conn_params
        params.header_timeout = limits.idle_timeout_s
        # A body that stops halfway must not hold its connection for good.
        params.body_timeout = limits.idle_timeout_s
        params.max_header_size = limits.header_limit_bytes

    def _spawn_fallback(self) -> None:
        settings = self._settings.replica_list
        if not settings.url:
            return
        reader = make_replica_list(
            make_upstream_client(), settings.url, self._clock
        )
        fallback = ListFallback(
            self._knowledge.book,
            reader,
            settings,
            self._clock,
            self._rng,
            self._pool.drop,
        )
        self._spawn(fallback.run())

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self._pool.drop_stale()

    def _refresh(self) -> None:
        lease = self._link.lease
        remaining_s = lease.remaining_s(self._clock.monotonic_s())
        self._metrics.lease_remaining_s.set({}, remaining_s)
        self._metrics.routing_version.set({}, self.table.version)
        self._metrics.connections.set({}, self._pool.opened)
        self._metrics.log_lines_dropped.set({}, dropped_lines())

    def _listen(self, server: HTTPServer, listener: ListenerSettings) -> int:
        sockets = bind_sockets(listener.port, listener.host)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))


async def serve(
    settings: Settings,
    stop: asyncio.Event,
    watch: SettingsWatch | None = None,
) -> None:
    """Run an entry until `stop` is set, then drain."""
    grpc.aio.init_grpc_aio()
    resolve_entry_seeds(settings)
    seed = settings.process.seed
    rng = random.Random(f'{settings.process.name}/{seed}' if seed else None)
    process = RelayProcess(settings, SystemClock(), rng)
    await process.start()
    watching = asyncio.create_task(
        watch.run(process.take_settings) if watch else stop.wait()
    )
    await stop.wait()
    watching.cancel()
    await process.drain()
    await process.close()
