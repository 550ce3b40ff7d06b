"""Memory for the bodies of requests, over all connections of an entry.

Answers many callers that send bodies and stop short of their end, or go on
beyond the limit. One body is limited by the configuration, all together by a
share of the memory of the host. Where that is used up, the unfinished body that
has got nothing for longest goes: an ordinary caller sends its body in one go.
Bodies of requests that run are never dropped, so if they fill the memory, a new
request is refused.

>>> budget = BodyBudget(total_limit_bytes=10)
>>> stalled, other = budget.open(lambda: print('dropped')), budget.open(print)
>>> stalled.add(b'12345678', limit_bytes=8)
>>> other.add(b'1234', limit_bytes=8)
dropped
>>> other.finish()
b'1234'
>>> other.release()
>>> budget.used_bytes
0
"""

from collections.abc import Callable

from snipebridge.logs import log_event

# What the bodies may use of the memory of a host.
_MEMORY_SHARE = 0.25
_BYTES_PER_MB = 1_000_000
# Where the settings do not tell the memory of the host.
_DEFAULT_LIMIT_BYTES = 67_108_864
# The budget is no longer short once so much of it is free.
_RELIEF_SHARE = 0.5


class BodyBudget:
    """Limits the bodies of all requests together."""

    __slots__ = (
        '_dropped',
        '_is_short',
        '_refused',
        '_unfinished',
        'total_limit_bytes',
        'used_bytes',
    )

    def __init__(self, total_limit_bytes: int = _DEFAULT_LIMIT_BYTES) -> None:
        """Start with nothing in use."""
        self.total_limit_bytes = total_limit_bytes
        self.used_bytes = 0
        # The one that has got nothing for longest comes first.
        self._unfinished: dict[RequestBody, None] = {}
        self._is_short = False
        self._dropped = 0
        self._refused = 0

    def open(self, drop: Callable[[], None]) -> 'RequestBody':
        """Return the body of one request; ``drop`` ends its connection."""
        return RequestBody(self, drop)

    def take(self, body: 'RequestBody', size_bytes: int) -> bool:
        """Take memory for a body that goes on; tell whether there is any."""
        self._unfinished.pop(body, None)
        while self.used_bytes + size_bytes > self.total_limit_bytes:
            if not self._unfinished:
                self._refused += 1
                self._begin_shortage()
                return False
            stalled = next(iter(self._unfinished))
            stalled.drop()
            self._dropped += 1
            self._begin_shortage()
        self.used_bytes += size_bytes
        self._unfinished[body] = None
        return True

    def give_back(self, body: 'RequestBody', size_bytes: int) -> None:
        """Free the memory of a body."""
        self._unfinished.pop(body, None)
        self.used_bytes -= size_bytes
        relief_bytes = _RELIEF_SHARE * self.total_limit_bytes
        if self._is_short and self.used_bytes <= relief_bytes:
            self._is_short = False
            log_event(
                'body_memory_sufficient',
                dropped=self._dropped,
                refused=self._refused,
            )
            self._dropped = 0
            self._refused = 0

    def keep(self, body: 'RequestBody') -> None:
        """Note that a body is whole, so that it is not dropped."""
        self._unfinished.pop(body, None)

    def _begin_shortage(self) -> None:
        if self._is_short:
            return
        self._is_short = True
        log_event(
            'body_memory_short',
            used_bytes=self.used_bytes,
            limit_bytes=self.total_limit_bytes,
            unfinished=len(self._unfinished),
        )


class RequestBody:
    """The body of one request so far."""

    __slots__ = (
        '_budget',
        '_content',
        '_drop',
        '_kept_bytes',
        'is_refused',
        'is_too_large',
        'size_bytes',
    )

    def __init__(self, budget: BodyBudget, drop: Callable[[], None]) -> None:
        """Start empty."""
        self._budget = budget
        self._drop = drop
        self._content = bytearray()
        self._kept_bytes = 0
        # What has arrived, kept or not.
        self.size_bytes = 0
        self.is_too_large = False
        # There was no memory for it.
        self.is_refused = False

    def add(self, chunk: bytes, limit_bytes: int) -> None:
        """Keep bytes within the limits; beyond them nothing is kept."""
        self.size_bytes += len(chunk)
        if self.is_refused or self.is_too_large:
            return
        if self.size_bytes > limit_bytes:
            self.is_too_large = True
            self.release()
        elif self._budget.take(self, len(chunk)):
            self._kept_bytes += len(chunk)
            self._content += chunk
        else:
            self.is_refused = True
            self.release()

    def finish(self) -> bytes:
        """Return the whole body, which counts until it is released."""
        self._budget.keep(self)
        content = bytes(self._content)
        self._content = bytearray()
        return content

    def drop(self) -> None:
        """Free the memory and end the connection."""
        self.is_refused = True
        self.release()
        self._drop()

    def release(self) -> None:
        """Free the memory."""
        kept_bytes = self._kept_bytes
        self._kept_bytes = 0
        self._content = bytearray()
        self._budget.give_back(self, kept_bytes)


def make_body_budget(memory_mb: int) -> BodyBudget:
    """Return the budget of a host with so much memory, 0 if not known.

    >>> make_body_budget(memory_mb=200).total_limit_bytes
    50000000
    """
    if not memory_mb:
        return BodyBudget()
    return BodyBudget(int(_MEMORY_SHARE * memory_mb * _BYTES_PER_MB))
