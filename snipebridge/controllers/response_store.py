"""Stores the responses of finished requests for callers that resend.

Memory is bounded: responses above a size limit are not stored, and the
oldest are evicted when the total size exceeds its limit. A request whose
response was evicted still counts as run.

>>> store = ResponseStore()
>>> store.put(('a', 'r'), StoredAnswer(status=200))
>>> store.get(('a', 'r')).status
200
"""

import base64
import zlib

from snipebridge.rpc.commands_pb2 import StoredAnswer

MAX_RESPONSE_BYTES = 262_144
MAX_STORE_BYTES = 33_554_432

_COMPRESSION_LEVEL = 1

Key = tuple[str, str]


class ResponseStore:
    """Compressed responses by key, oldest first."""

    __slots__ = ('_responses', '_size_bytes')

    def __init__(self) -> None:
        """Start without responses."""
        self._responses: dict[Key, bytes] = {}
        self._size_bytes = 0

    def put(self, key: Key, response: StoredAnswer) -> None:
        """Store a response unless it exceeds the size limit."""
        content = zlib.compress(
            response.SerializeToString(deterministic=True), _COMPRESSION_LEVEL
        )
        if len(content) > MAX_RESPONSE_BYTES:
            return
        self._responses[key] = content
        self._size_bytes += len(content)
        while self._size_bytes > MAX_STORE_BYTES:
            self.remove(next(iter(self._responses)))

    def get(self, key: Key) -> StoredAnswer | None:
        """Return the response, None if it is not stored."""
        content = self._responses.get(key)
        if content is None:
            return None
        return StoredAnswer.FromString(zlib.decompress(content))

    def remove(self, key: Key) -> None:
        """Remove a response if it is stored."""
        self._size_bytes -= len(self._responses.pop(key, b''))

    def dump(self) -> list:
        """Return the state as JSON types."""
        return [
            [account, request_id, base64.b64encode(content).decode()]
            for (account, request_id), content in self._responses.items()
        ]

    def load(self, state: list) -> None:
        """Replace the state with a dumped one."""
        self._responses = {
            (account, request_id): base64.b64decode(content)
            for account, request_id, content in state
        }
        self._size_bytes = sum(map(len, self._responses.values()))
