"""A replica that sends bytes of a test's choice."""

from collections.abc import Awaitable, Callable

from fakes.platform_replica import PlatformReplica

SIGNED = b'X-Attempt-Id: a1\r\nX-Response-Signature: s\r\n'

Script = Callable[..., Awaitable[None]]


class ScriptedReplica(PlatformReplica):
    """Runs a script on each connection, after the head of a request."""

    def __init__(self, service: str, script: Script) -> None:
        """Keep the script, which gets the reader and the writer."""
        super().__init__('scripted', service, '127.0.0.1')
        self._script = script

    async def _serve_one(self, reader, writer) -> bool:
        await reader.readuntil(b'\r\n\r\n')
        await self._script(reader, writer)
        return False
