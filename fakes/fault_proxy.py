"""TCP proxy between two processes that can be told to misbehave.

    python -m fakes.fault_proxy --listen=127.0.0.1:0 \\
        --target=127.0.0.1:9001 --control_port=0

``POST /control`` on the control port takes a JSON object with any of:

- ``cut``: no byte passes either way, and open connections stay open, as in a
  network partition; what was held passes after the heal, as TCP resends it;
- ``one_way``: the same in one direction, ``forward`` or ``backward``;
- ``delay_s`` and ``slow_bytes_per_s``, for each direction;
- ``silence``: connections that are open now never pass a byte again, also not
  after a heal, while new ones work;
- ``refuse``: open connections are reset and new ones closed at once;
- ``only_pids``: the faults strike connections from these processes alone;
- ``heal``: all of the above off.
"""

import asyncio
import dataclasses
import json
import os
from typing import Any

import orjson
from absl import app, flags
from tornado import httpserver, netutil, web

from fakes.sockets import process_inodes, socket_inode

_LISTEN = flags.DEFINE_string('listen', '127.0.0.1:0', 'Address to listen on.')
_TARGET = flags.DEFINE_string('target', '', 'Address to pass bytes to.')
_CONTROL_PORT = flags.DEFINE_integer('control_port', 0, 'Port of control.')
_PROXY_NAME = flags.DEFINE_string('name', 'proxy', 'Name of this proxy.')
_EXIT_WITH_PARENT = flags.DEFINE_boolean(
    'exit_with_parent', False, 'Stop when the starting process is gone.'
)

_READ_BYTES = 65_536
_QUEUED_READS = 64
_PARENT_CHECK_INTERVAL_S = 1.0
_FORWARD = 'forward'
_BACKWARD = 'backward'


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Faults of a link; the defaults mean healthy."""

    cut: bool = False
    one_way: str = ''
    delay_s: float = 0.0
    slow_bytes_per_s: float = 0.0
    refuse: bool = False
    only_pids: list[int] = dataclasses.field(default_factory=list)

    def holds(self, direction: str) -> bool:
        """Tell whether no byte passes in this direction."""
        return self.cut or self.one_way == direction


class Connection:
    """One connection through the proxy and its two directions."""

    __slots__ = ('is_silent', 'is_struck', 'source', 'writers')

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Start healthy."""
        self.source = socket_inode(
            writer.get_extra_info('peername'),
            writer.get_extra_info('sockname'),
        )
        self.writers = [writer]
        self.is_silent = False
        self.is_struck = True

    def close(self) -> None:
        """End both sides."""
        for writer in self.writers:
            writer.close()

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Accepts connections and passes their bytes under the faults."""

    __slots__ = ('_changed', '_target', 'accepted', 'connections', 'faults')

    def __init__(self, target: str) -> None:
        """Pass bytes to `target`, host:port."""
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._changed = asyncio.Condition()
        self.faults = LinkFaults()
        self.connections: set[Connection] = set()
        self.accepted = 0

    async def change(self, change: dict[str, Any]) -> None:
        """Take new faults and let waiting directions look again."""
        if change.pop('heal', False):
            self.faults = LinkFaults()
        is_silencing = change.pop('silence', False)
        self.faults = dataclasses.replace(self.faults, **change)
        for connection in tuple(self.connections):
            self._strike(connection)
            if connection.is_struck and is_silencing:
                connection.is_silent = True
            if connection.is_struck and self.faults.refuse:
                connection.abort()
        async with self._changed:
            self._changed.notify_all()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until both directions are over."""
        self.accepted += 1
        connection = Connection(writer)
        self._strike(connection)
        if self.faults.refuse and connection.is_struck:
            connection.abort()
            return
        self.connections.add(connection)
        try:
            await self._connect(connection, reader, writer)
        except OSError:
            connection.abort()
        finally:
            self.connections.discard(connection)
            connection.close()

    async def _connect(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self._wait_until_open(_FORWARD, connection)
        remote_reader, remote_writer = await asyncio.open_connection(
            *self._target
        )
        connection.writers.append(remote_writer)
        await asyncio.gather(
            self._pass(connection, _FORWARD, reader, remote_writer),
            self._pass(connection, _BACKWARD, remote_reader, writer),
        )

    def _strike(self, connection: Connection) -> None:
        pids = self.faults.only_pids
        connection.is_struck = not pids or any(
            connection.source in process_inodes(pid) for pid in pids
        )

    async def _pass(
        self,
        connection: Connection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_QUEUED_READS)
        await asyncio.gather(
            self._read(connection, reader, queue),
            self._write(connection, direction, queue, writer),
        )

    async def _read(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        loop = asyncio.get_running_loop()
        piece = b'-'
        while piece:
            piece = await reader.read(_READ_BYTES)
            delay_s = self.faults.delay_s if connection.is_struck else 0
            await queue.put((loop.time() + delay_s, piece))

    async def _write(
        self,
        connection: Connection,
        direction: str,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, piece = await queue.get()
            await asyncio.sleep(max(0, due_s - loop.time()))
            await self._wait_until_open(direction, connection)
            if not piece:
                writer.write_eof()
                return
            rate = self.faults.slow_bytes_per_s
            if rate and connection.is_struck:
                await asyncio.sleep(len(piece) / rate)
            writer.write(piece)
            await writer.drain()

    async def _wait_until_open(
        self, direction: str, connection: Connection
    ) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: self._is_open(direction, connection)
            )

    def _is_open(self, direction: str, connection: Connection) -> bool:
        is_held = connection.is_struck and self.faults.holds(direction)
        return not connection.is_silent and not is_held


class LinkControlHandler(web.RequestHandler):
    """``/control`` of a proxy."""

    def initialize(self, proxy: FaultProxy) -> None:
        """Keep the proxy."""
        self.proxy = proxy

    def get(self) -> None:
        """Return faults and counts."""
        self.write(
            {
                'faults': dataclasses.asdict(self.proxy.faults),
                'accepted': self.proxy.accepted,
                'open': len(self.proxy.connections),
            }
        )

    async def post(self) -> None:
        """Change the faults that the body names."""
        try:
            await self.proxy.change(orjson.loads(self.request.body))
        except (TypeError, orjson.JSONDecodeError) as error:
            raise web.HTTPError(400, str(error)) from error
        self.get()


async def _serve() -> None:
    proxy = FaultProxy(_TARGET.value)
    host, _, port = _LISTEN.value.rpartition(':')
    server = await asyncio.start_server(proxy.accept, host, int(port))
    routes = [('/control', LinkControlHandler, {'proxy': proxy})]
    control = httpserver.HTTPServer(web.Application(routes))
    sockets = netutil.bind_sockets(_CONTROL_PORT.value, host)
    control.add_sockets(sockets)
    control_port = sockets[0].getsockname()[1]
    line = {
        'kind': 'fault_proxy',
        'name': _PROXY_NAME.value,
        'address': f'{host}:{server.sockets[0].getsockname()[1]}',
        'url': f'http://{host}:{control_port}',
        'pid': os.getpid(),
    }
    print(json.dumps(line), flush=True)
    await _wait_for_parent()


async def _wait_for_parent() -> None:
    parent = os.getppid()
    while not _EXIT_WITH_PARENT.value or os.getppid() == parent:
        await asyncio.sleep(_PARENT_CHECK_INTERVAL_S)


def main(_arguments: list[str]) -> None:
    """Pass bytes until the process is stopped."""
    try:
        asyncio.run(_serve())
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    app.run(main)
