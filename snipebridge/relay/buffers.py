"""Memory for responses that are buffered whole before they are passed on.

A response that may be retried elsewhere is passed on only once it is complete,
so a replica that sends without end must not fill the memory of its entry.

>>> budget = BufferBudget(response_limit_bytes=10, total_limit_bytes=15)
>>> first, second = budget.open(), budget.open()
>>> first.add(b'12345678')
>>> second.add(b'12345678')
Traceback (most recent call last):
snipebridge.upstreams.errors.InvalidResponseError: ...
>>> first.close()
>>> second.content
b''
"""

from snipebridge.upstreams.errors import InvalidResponseError

RESPONSE_LIMIT_BYTES = 8_388_608
TOTAL_LIMIT_BYTES = 33_554_432


class BufferBudget:
    """Limits one response, and all responses of an entry together."""

    __slots__ = ('response_limit_bytes', 'total_limit_bytes', 'used_bytes')

    def __init__(
        self,
        response_limit_bytes: int = RESPONSE_LIMIT_BYTES,
        total_limit_bytes: int = TOTAL_LIMIT_BYTES,
    ) -> None:
        """Start with nothing in use."""
        self.response_limit_bytes = response_limit_bytes
        self.total_limit_bytes = total_limit_bytes
        self.used_bytes = 0

    def open(self) -> 'ResponseBuffer':
        """Return the buffer of one response, which must be closed."""
        return ResponseBuffer(self)


class ResponseBuffer:
    """The body of one response so far."""

    __slots__ = ('_budget', '_parts', '_size_bytes')

    def __init__(self, budget: BufferBudget) -> None:
        """Start empty."""
        self._budget = budget
        self._parts: list[bytes] = []
        self._size_bytes = 0

    @property
    def content(self) -> bytes:
        """The bytes added so far."""
        return b''.join(self._parts)

    def add(self, chunk: bytes) -> None:
        """Add bytes; raises `InvalidResponseError` over a limit."""
        budget = self._budget
        size_bytes = self._size_bytes + len(chunk)
        if size_bytes > budget.response_limit_bytes:
            raise InvalidResponseError(
                f'the body is over {budget.response_limit_bytes} bytes'
            )
        if budget.used_bytes + len(chunk) > budget.total_limit_bytes:
            raise InvalidResponseError(
                f'all bodies are over {budget.total_limit_bytes} bytes'
            )
        budget.used_bytes += len(chunk)
        self._size_bytes = size_bytes
        self._parts.append(chunk)

    def close(self) -> None:
        """Release the memory."""
        self._budget.used_bytes -= self._size_bytes
        self._size_bytes = 0
        self._parts.clear()
