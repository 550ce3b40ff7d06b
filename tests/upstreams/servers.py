"""Small TCP servers that answer with fixed bytes, or not at all."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

Answer = Callable[[asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_server(answer: Answer) -> AsyncIterator[str]:
    """Yield the URL of a server that reads a request and runs `answer`."""

    async def handle(reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        length = 0
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        await reader.readexactly(length)
        await answer(writer)
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        server.close()


def send(*parts: bytes) -> Answer:
    """Return an answer that sends the parts one by one and closes."""

    async def answer(writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)

    return answer


async def send_nothing(writer: asyncio.StreamWriter) -> None:
    """Keep the connection open without a word."""
    await asyncio.sleep(10)
