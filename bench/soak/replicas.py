"""Replicas of a soak: each behind a proxy that harms the way to it."""

import asyncio
import itertools

from bench.soak.promises import Arrival
from fakes.fault_proxy import FaultProxy
from fakes.platform_list import PlatformList
from fakes.platform_replica import PlatformReplica

_HOST = '127.0.0.1'
_SERVICES = ('desk', 'models')


class SoakReplica(PlatformReplica):
    """A replica whose listed address is that of its proxy."""

    def __init__(self, name: str, service: str) -> None:
        """Prepare; `start` listens."""
        super().__init__(name, service, _HOST)
        self.proxy: FaultProxy | None = None
        self.proxy_port = 0
        self.is_stopped = False
        self._proxy_server: asyncio.Server | None = None
        self._links: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        """Listen; the port is that of the listed address."""
        await super().start()
        self.proxy = FaultProxy(f'{_HOST}:{self.port}')
        self._proxy_server = await asyncio.start_server(
            self._accept, _HOST, port
        )
        self.proxy_port = self._proxy_server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Crash, with the listed address."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self._proxy_server.close()
        for connection in tuple(self.proxy.connections):
            connection.abort()
        for link in tuple(self._links):
            link.cancel()
        await asyncio.gather(*self._links)
        await super().stop()

    def entry(self) -> dict:
        """Return the entry of the platform's list."""
        return {**super().entry(), 'address': f'{_HOST}:{self.proxy_port}'}

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = asyncio.current_task()
        self._links.add(link)
        try:
            await self.proxy.accept(reader, writer)
        except asyncio.CancelledError:
            # This replica stops, and its connections with it.
            return
        finally:
            self._links.discard(link)

    def other_service(self) -> str:
        """Return the service that may get its address later."""
        return _SERVICES[self.service == _SERVICES[0]]

    def arrivals(self, begun_s: float) -> list[Arrival]:
        """Return what arrived here, by seconds since the run began."""
        return [
            Arrival(
                attempt_id=run.attempt_id,
                replica=self.name,
                service=self.service,
                arrived_s=run.arrived_s - begun_s,
                ran=run.outcome != 'refused',
                headers=run.headers,
            )
            for run in self.runs
        ]


class Slots:
    """The places of replicas, half of them for each service."""

    def __init__(self, count: int) -> None:
        """Fill each place; `start` makes them listen."""
        self._numbers = itertools.count(1)
        self._list: PlatformList | None = None
        self.all: list[SoakReplica] = []
        self._places = [
            self._make(_SERVICES[number % len(_SERVICES)])
            for number in range(count)
        ]

    def listed(self) -> list[SoakReplica]:
        """Return the replicas of the places."""
        return list(self._places)

    def use(self, shown: PlatformList) -> None:
        """Show changes in the platform's list from now on."""
        self._list = shown

    def at(self, number: int) -> SoakReplica:
        """Return the replica that fills a place now."""
        return self._places[number]

    async def renew(self, number: int) -> None:
        """Fill a place with a new replica of the same service."""
        fresh = self._make(self._places[number].service)
        await fresh.start()
        self._places[number] = fresh
        self._list.replicas.append(fresh)

    async def add_at(self, port: int, service: str) -> None:
        """Add one replica at an address that another one had."""
        fresh = self._make(service)
        await fresh.start(port)
        self._list.replicas.append(fresh)

    def unlist(self, replica: SoakReplica) -> None:
        """Take a replica out of the list."""
        if replica in self._list.replicas:
            self._list.replicas.remove(replica)

    async def stop(self) -> None:
        """Stop all that were ever started."""
        for replica in self.all:
            if replica.proxy is not None:
                await replica.stop()

    def _make(self, service: str) -> SoakReplica:
        replica = SoakReplica(f'{service}-{next(self._numbers)}', service)
        self.all.append(replica)
        return replica
