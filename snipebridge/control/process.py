"""Wires the control process.

>>> process = make_control(settings, machine, replica)  # doctest: +SKIP
>>> await process.start()  # doctest: +SKIP
"""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from snipebridge.admin.server import make_admin_server
from snipebridge.admin.api import AdminApi
from snipebridge.admin.forwarding import GrpcForwarder, add_operators_to_server
from snipebridge.clock import Clock, SystemClock
from snipebridge.consensus.errors import DiskError, StorageError
from snipebridge.consensus.interfaces import Replica
from snipebridge.control.duties import LeaderDuties
from snipebridge.control.leader import Leadership, Planners
from snipebridge.control.metrics import ControlMetrics
from snipebridge.control.orders import Orders, make_orders
from snipebridge.control.service import ControlService
from snipebridge.controllers.state_machine import ControlStateMachine
from snipebridge.errors import SnipebridgeError
from snipebridge.fleet.duties import make_routed_duties
from snipebridge.fleet.joining import Joining
from snipebridge.logs import log_event
from snipebridge.rpc import control_pb2_grpc
from snipebridge.rpc.channels import (
    RpcServer,
    bind_server,
    make_channel_pool,
    make_server,
)
from snipebridge.settings.models import Settings
from snipebridge.settings.seeds import seed_addresses
from snipebridge.supervision import Duty, Supervisor
from snipebridge.tls import make_tls_files
from snipebridge.upstreams.engine import Engine

_DRAIN_POLL_S = 0.02
_DRAIN_LIMIT_S = 10.0
_SERVER_GRACE_S = 1.0


class ControlError(SnipebridgeError):
    """The control process can't start or can't go on."""

    code = 'control'


class ControlProcess:
    """One control process: its replica, its duties and two listeners."""

    __slots__ = (
        '_api',
        '_duties',
        '_forwarder',
        '_http',
        '_joining',
        '_routed',
        '_server',
        '_service',
        '_settings',
        '_supervisor',
        '_tasks',
        '_tls',
        'http_port',
        'leadership',
        'rpc_address',
    )

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        orders: Orders | None,
    ) -> None:
        """Build the parts; `start` makes them listen."""
        self.leadership = leadership
        self.http_port = 0
        self.rpc_address = ''
        self._settings = settings
        self._tasks: list[asyncio.Task] = []
        metrics = ControlMetrics(leadership)
        self._supervisor = Supervisor(metrics.registry, leadership.clock)
        self._duties = LeaderDuties(leadership, orders, self._supervisor)
        self._service = ControlService(leadership, metrics)
        pool = make_channel_pool(settings.peer_tls)
        self._forwarder = GrpcForwarder(pool)
        self._routed = make_routed_duties(
            settings, leadership, self._supervisor
        )
        self._joining = Joining(
            pool, settings.process, seed_addresses(settings)
        )
        self._api = AdminApi(
            leadership,
            metrics,
            self._forwarder,
            settings.admin_key_hash,
            is_keyless=settings.keyless_operators,
            resend_ms=settings.promises.resend_ms,
        )
        self._server = self._make_server()
        self._tls = make_tls_files(settings.listener)
        self._http = self._make_http(metrics)

    def is_ready(self) -> bool:
        """Tell whether operators and entries may use this process."""
        replica = self.leadership.replica
        led = self.leadership.is_in_office() or (
            replica.leader_address() and not replica.is_leader()
        )
        return bool(led) and not self._service.draining

    async def start(self) -> None:
        """Listen, recover, and take part in the log."""
        try:
            self._bind()
        except (OSError, RuntimeError) as error:
            raise ControlError(f'can not listen: {error}') from error
        await self._server.start()
        await self._start_replica()
        self._spawn('leader_duties', self._duties.run)
        if self._routed is not None:
            self._spawn('routed_duties', self._routed.run)
        if self._settings.seeds.addresses:
            self._spawn('joining', self._join)
        if self._tls is not None:
            self._spawn('tls_files', self._tls.run)
        log_event('listening', http=self.http_port, rpc=self.rpc_address)

    def take_settings(self, settings: Settings) -> None:
        """Take what may change while the process runs: the seeds."""
        self._joining.set_seeds(seed_addresses(settings))

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, or until a duty fails."""
        waiting = asyncio.create_task(stop.wait())
        await asyncio.wait(
            (waiting, *self._tasks), return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        ended = [task for task in self._tasks if task.done()]
        await self.stop()
        for task in ended:
            task.result()

    async def stop(self) -> None:
        """Finish what is under way, hand the lead over, and leave."""
        self._service.draining = True
        self._http.stop()
        finishing = asyncio.create_task(self._finish_requests())
        await asyncio.wait((finishing,), timeout=_DRAIN_LIMIT_S)
        finishing.cancel()
        for task in self._tasks:
            task.cancel()
        if self._routed is not None:
            await self._routed.close()
        # The other members still reach the replica while it hands over.
        await self.leadership.replica.hand_over()
        if self._settings.seeds.addresses:
            await self._joining.leave(self.leadership.replica, self.rpc_address)
        await self._release()

    async def _release(self) -> None:
        await self.leadership.replica.stop()
        await self._forwarder.close()
        await self._server.stop(_SERVER_GRACE_S)
        self._http.stop()
        await self._http.close_all_connections()

    async def _finish_requests(self) -> None:
        while self._service.under_way or self._api.under_way:
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _start_replica(self) -> None:
        try:
            await self.leadership.replica.start()
        except DiskError:
            await self._release()
            raise
        except (OSError, StorageError) as error:
            await self._server.stop(None)
            raise folder_error(error) from error

    async def _join(self) -> None:
        await self._joining.run(self.leadership.replica, self.rpc_address)

    def _spawn(self, name: str, duty: Duty) -> None:
        running = self._supervisor.keep_running(name, duty)
        self._tasks.append(asyncio.create_task(running))

    def _bind(self) -> None:
        settings = self._settings
        self.rpc_address = bind_server(
            self._server, settings.rpc_listener, settings.peer_tls
        )
        sockets = bind_sockets(settings.listener.port, settings.listener.host)
        self._http.add_sockets(sockets)
        self.http_port = sockets[0].getsockname()[1]

    def _make_server(self) -> RpcServer:
        server = make_server(self._supervisor)
        control_pb2_grpc.add_ControlServicer_to_server(self._service, server)
        add_operators_to_server(self._api, server)
        self.leadership.replica.add_to_server(server)
        return server

    def _make_http(self, metrics: ControlMetrics) -> HTTPServer:
        return make_admin_server(
            self._api,
            metrics,
            self.is_ready,
            self._settings.listener,
            self._tls.context if self._tls else None,
        )


def make_control(
    settings: Settings,
    machine: ControlStateMachine,
    replica: Replica,
    clock: Clock | None = None,
    planners: Planners | None = None,
    engine: Engine | None = None,
) -> ControlProcess:
    """Return a control process around a replica, not started.

    Without an adapter to engines it gives no orders.
    """
    leadership = Leadership(
        replica,
        machine,
        settings.control,
        clock or SystemClock(),
        planners or Planners(),
    )
    orders = None
    if engine is not None:
        orders = make_orders(leadership, engine, settings.control)
    return ControlProcess(settings, leadership, orders)


def folder_error(error: Exception) -> ControlError:
    """Return the error of a data folder that needs an operator."""
    return ControlError(f'the data folder can not be used: {error}')
