"""The way of one entry to one replica, which a test can cut.

An entry whose list names the link in place of the replica loses it in each form
that the platform knows: connections hang or are reset, or open ones live on
while new ones are refused. Others still reach the replica.

    link = CutLink(replica)
    await link.start()
    await link.cut(SILENT)
"""

import asyncio
import socket

SILENT = 'silent'
RESET = 'reset'
NEW_REFUSED = 'new_refused'
_READ_BYTES = 65_536
# Connections that fill the queue of a listener that accepts none.
_QUEUE_FILL = 4


class CutLink:
    """Passes bytes to a replica while it is not cut."""

    def __init__(self, replica) -> None:
        """Stand in for a replica that is started elsewhere."""
        self._replica = replica
        self.host = '127.0.0.1'
        self.port = 0
        self.passed_bytes = 0
        self._form = ''
        self._whole = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._blockers: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def __getattr__(self, name: str):
        """Look like the replica in the list."""
        return getattr(self._replica, name)

    async def start(self) -> None:
        """Listen, on the same port as before."""
        self._form = ''
        self._whole.set()
        self._server = await asyncio.start_server(
            self._pass, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End all connections."""
        self._close_listener()
        self._abort_all()

    async def cut(self, form: str) -> None:
        """Cut the way in one of the forms."""
        self._close_listener()
        self._form = form
        if form == RESET:
            self._abort_all()
        if form == SILENT:
            self._whole.clear()
            self._block_port()

    async def heal(self) -> None:
        """Pass bytes again; connections that were silent are lost."""
        self._close_listener()
        if self._form == SILENT:
            self._abort_all()
        await self.start()

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for blocker in self._blockers:
            blocker.close()
        self._blockers = []

    def _abort_all(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _block_port(self) -> None:
        """Listen with a full queue: the next handshake is not answered."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self._blockers = [listener]
        for _ in range(_QUEUE_FILL):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._blockers.append(filler)

    async def _pass(self, reader, writer) -> None:
        # The replica may have moved on to another port since.
        target = await asyncio.open_connection(
            self._replica.host, self._replica.port
        )
        ends = {writer, target[1]}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pump(reader, target[1]), self._pump(target[0], writer)
            )
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pump(self, reader, writer) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                await self._whole.wait()
                self.passed_bytes += len(data)
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            writer.transport.abort()
