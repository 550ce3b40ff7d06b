"""Process of a routed entry: starts, serves and drains."""

import asyncio
import random
from collections.abc import Sequence

import grpc
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from snipebridge.clock import Clock, SystemClock
from snipebridge.controllers.control_link import ControlLink, make_control_link
from snipebridge.logs import dropped_lines, log_event
from snipebridge.relay.filter_chain import make_filters
from snipebridge.relay.messages import HeaderCodec
from snipebridge.relay.state import RelayState
from snipebridge.relay.metrics import RelayMetrics
from snipebridge.relay.status_endpoints import make_status_application
from snipebridge.relay.paths import PathFinder
from snipebridge.relay.replica_placement import make_regions
from snipebridge.relay.reporting import RelayReporter
from snipebridge.relay.server import ServerDependencies, make_relay_server
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.relay.list_fallback import ReplicaListFallback
from snipebridge.routing.tables import CallerLimits, RoutingTable
from snipebridge.rpc.control_pb2 import EntryMember
from snipebridge.settings.models import ListenerSettings, Settings
from snipebridge.settings.seeds import resolve_entry_seeds, seed_addresses
from snipebridge.settings.watching import SettingsWatch
from snipebridge.supervision import Duty, Supervisor
from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.connections import ConnectionPool
from snipebridge.upstreams.replica_list import make_replica_list
from snipebridge.upstreams.tunnels import TunnelServer

# The load balancer checks once a second and removes a host after two failed
# checks. Until then new requests arrive and are served. A later request on a
# kept-alive connection might not end in time; it is refused, and the caller
# retries at another host.
_DEREGISTRATION_DELAY_S = 2.8
# Share of the grace period after which running requests are ended; the rest
# is for their last answers and for stopping the process.
_GRACE_SHARE = 0.9
# How long callers may take to read these answers.
_LAST_ANSWERS_S = 0.2
_DRAIN_POLL_S = 0.05
_POOL_CLEANUP_INTERVAL_S = 0.5


class RelayProcess:
    """One entry: its listeners and its background tasks."""

    def __init__(
        self, settings: Settings, clock: Clock, rng: random.Random
    ) -> None:
        """Build all components; `start` starts them."""
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.is_draining = False
        self.accepts_requests = True
        self._servers: list[HTTPServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._metrics = RelayMetrics()
        self._supervisor = Supervisor(self._metrics.registry, clock)
        self._pool = ConnectionPool()
        self._state = RelayState(
            SoftwareSelector(
                settings.promises.session_s,
                settings.promises.canary_share,
                rng,
            )
        )
        self._reporter = RelayReporter(self._state, clock)
        self._paths = PathFinder(
            self._state.replicas,
            self._pool,
            clock,
            rng,
            settings.process.data_centre,
        )
        self._paths.on_change = self._apply_path
        self._pool.dialer = self._paths
        self._tunnels = TunnelServer(self._paths)
        self._reporter.on_entries = self._apply_entries
        self._reporter.on_replica_removed = self._remove_replica
        self._reporter.on_table_change = self._apply_limits
        self._link: ControlLink = make_control_link(
            settings, clock, self._reporter
        )
        self._reporter.report_now = self._link.send_now
        self._server_dependencies = ServerDependencies(
            source=self,
            filters=make_filters(
                settings,
                self._link,
                self._reporter,
                self._state,
                self._pool,
                self._paths,
                self._metrics,
                clock,
                rng,
            ),
            codec=HeaderCodec(settings.headers),
            clock=clock,
            memory_mb=settings.process.memory_mb,
        )
        self._caller_server = make_relay_server(
            self._server_dependencies, CallerLimits()
        )
        self.http_port = 0
        self.ready_port = 0

    @property
    def table(self) -> RoutingTable:
        """The routes in force here."""
        return self._reporter.table

    @property
    def running_requests(self) -> int:
        """Number of running requests."""
        return len(self._server_dependencies.running)

    def is_ready(self) -> bool:
        """Tell whether the load balancer should use this host."""
        is_leased = self._link.lease.is_valid(self._clock.monotonic_s())
        return not self.is_draining and is_leased and self.table.version > 0

    def apply_settings(self, settings: Settings) -> None:
        """Apply the only settings that may change at run time: the seeds."""
        self._link.set_seeds(seed_addresses(settings))

    async def start(self) -> None:
        """Listen and start the background tasks."""
        settings = self._settings
        tunnels = settings.tunnel_listener
        await self._tunnels.start(tunnels.host, tunnels.port)
        self._paths.helpers.own_address = f'{tunnels.host}:{self._tunnels.port}'
        self._link.set_address(self._paths.helpers.own_address)
        self.http_port = self._listen(self._caller_server, settings.listener)
        pages = HTTPServer(
            make_status_application(
                self.is_ready, self._metrics, self._refresh_gauges
            )
        )
        self.ready_port = self._listen(pages, settings.ready_listener)
        if settings.metrics_listener.port:
            self._listen(pages, settings.metrics_listener)
        self._spawn('heartbeats', self._link.run)
        self._spawn('connection_pool', self._clean_up_pool)
        self._spawn('replica_paths', self._paths.run)
        self._spawn_fallback()
        log_event('started', http_port=self.http_port)

    async def drain(self) -> None:
        """Stop accepting requests and wait until the running ones end.

        Those that are not over in time are answered, not cut off; only what
        has begun to be answered, or is not read, is left then.
        """
        started_s = self._clock.monotonic_s()
        self.is_draining = True
        self._link.leaving = True
        running = self._server_dependencies.running
        allowed_s = _GRACE_SHARE * self._settings.promises.grace_s
        end_s = started_s + allowed_s
        log_event('leaving', running=len(running), allowed_s=allowed_s)
        self._state.stop.begin(end_s)
        await asyncio.sleep(min(_DEREGISTRATION_DELAY_S, allowed_s))
        self.accepts_requests = False
        while running and self._clock.monotonic_s() < end_s + _LAST_ANSWERS_S:
            await asyncio.sleep(_DRAIN_POLL_S)
        self._caller_server.stop()
        log_event('left', cut_off=len(running))

    async def close(self) -> None:
        """Stop the background tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        self._tunnels.close()
        self._pool.close()
        await self._link.close()

    def _apply_entries(self, entries: Sequence[EntryMember]) -> None:
        regions = make_regions(self._settings)
        here = self._settings.process.data_centre
        # A helper in another region would see requests that must not go there.
        self._paths.helpers.set_peers(
            [
                one
                for one in entries
                if regions.are_together(one.data_centre, here)
            ]
        )
        staying = sorted(one.name for one in entries if not one.leaving)
        name = self._settings.process.name
        if name in staying:
            self._state.brittle.set_position(staying.index(name), len(staying))

    def _remove_replica(self, replica: str) -> None:
        self._paths.forget(replica)
        self._state.back_offs.forget(replica)
        self._pool.drop(replica)

    def _apply_path(self, replica: str) -> None:
        """Start afresh with a replica whose way has changed."""
        self._pool.drop(replica)
        listed = self._state.replicas.by_id.get(replica)
        if listed is not None:
            listed.circuit_breaker.close()

    def _apply_limits(self, table: RoutingTable) -> None:
        limits = table.limits
        params = self._caller_server.conn_params
        params.header_timeout = limits.idle_timeout_s
        # A body that never completes must not hold its connection forever.
        params.body_timeout = limits.idle_timeout_s
        params.max_header_size = limits.header_limit_bytes

    def _spawn_fallback(self) -> None:
        settings = self._settings.replica_list
        if not settings.url:
            return
        reader = make_replica_list(
            make_upstream_client(), settings.url, self._clock
        )
        fallback = ReplicaListFallback(
            self._state.replicas,
            reader,
            settings,
            self._clock,
            self._rng,
            self._remove_replica,
        )
        self._spawn('replica_list', fallback.run)

    async def _clean_up_pool(self) -> None:
        while True:
            await asyncio.sleep(_POOL_CLEANUP_INTERVAL_S)
            self._pool.drop_stale()

    def _refresh_gauges(self) -> None:
        lease = self._link.lease
        remaining_s = lease.remaining_s(self._clock.monotonic_s())
        self._metrics.lease_remaining_s.set({}, remaining_s)
        self._metrics.routing_version.set({}, self.table.version)
        self._metrics.connections.set({}, self._pool.opened)
        self._metrics.indirect_replicas.set({}, self._paths.indirect_count)
        self._metrics.body_memory_bytes.set(
            {}, self._server_dependencies.bodies.used_bytes
        )
        self._metrics.open_tunnels.set({}, self._tunnels.open_tunnels)
        self._metrics.log_lines_dropped.set({}, dropped_lines())

    def _listen(self, server: HTTPServer, listener: ListenerSettings) -> int:
        sockets = bind_sockets(listener.port, listener.host)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    def _spawn(self, name: str, duty: Duty) -> None:
        running = self._supervisor.keep_running(name, duty)
        self._tasks.append(asyncio.create_task(running))


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
        watch.run(process.apply_settings) if watch else stop.wait()
    )
    await stop.wait()
    watching.cancel()
    await process.drain()
    await process.close()
