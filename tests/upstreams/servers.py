"""TCP servers that respond with fixed bytes or not at all."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

Responder = Callable[[asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_server(respond: Responder) -> AsyncIterator[str]:
    """Yield the URL of a server that reads a request and runs `respond`."""

    async def handle(reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        length = 0
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        await reader.readexactly(length)
        await respond(writer)
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        server.close()


def send(*parts: bytes) -> Responder:
    """Return a responder that sends the parts one by one."""

    async def respond(writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)

    return respond


async def send_nothing(writer: asyncio.StreamWriter) -> None:
    """Keep the connection open without sending anything."""
    await asyncio.sleep(10)
