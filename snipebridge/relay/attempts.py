"""One run of a request at one replica."""

from snipebridge.clock import Clock
from snipebridge.policy.prefill_speed import PrefillSpeedEstimator
from snipebridge.policy.latency_baseline import late_after_ms
from snipebridge.relay.replica_placement import Choice
from snipebridge.relay.messages import ResponseHead, HeaderCodec
from snipebridge.upstreams.connections import ConnectionPool, ReplicaConnection
from snipebridge.upstreams.errors import InvalidResponseError

_MS_PER_S = 1000
# The first digit of a status tells its class.
_STATUS_CLASS = 100
_SUCCESS = 2
_SERVER_FAILURE = 5


class Attempt:
    """A dispatch, its connection and the head of its answer.

    Whatever happens, `close` must be called: it gives the connection back or
    drops it, and takes the run off the replica's load.
    """

    __slots__ = (
        '_backlog_ms',
        '_clock',
        '_codec',
        '_connection',
        '_is_open',
        '_late_after_ms',
        '_prefill_speeds',
        '_pool',
        'choice',
        'head',
        'is_counted',
        'sent_s',
        'was_late',
    )

    def __init__(
        self,
        choice: Choice,
        pool: ConnectionPool,
        codec: HeaderCodec,
        prefill_speeds: PrefillSpeedEstimator,
        clock: Clock,
    ) -> None:
        """Put the run on the replica's load."""
        self.choice = choice
        self.head: ResponseHead | None = None
        self.sent_s = 0.0
        self._pool = pool
        self._codec = codec
        self._prefill_speeds = prefill_speeds
        self._clock = clock
        self._connection: ReplicaConnection | None = None
        self._backlog_ms = choice.backlog_ms
        self._is_open = True
        replica = choice.replica
        self._late_after_ms = late_after_ms(
            choice.full_prompt_ms, replica.total_backlog_ms
        )
        # What it says about its version is counted already.
        self.is_counted = False
        self.was_late = False
        choice.replica.running += 1
        choice.replica.backlog_ms += self._backlog_ms

    @property
    def was_sent(self) -> bool:
        """Tell whether the replica may have the request."""
        return self.sent_s > 0

    async def connect(self, max_idle_s: float) -> None:
        """Get a connection; raises `ConnectError`, and nothing was sent."""
        replica = self.choice.replica
        self._connection = await self._pool.acquire(
            replica.id, replica.address, max_idle_s
        )

    def send(self, content: bytes, method: str) -> None:
        """Send the request."""
        self.sent_s = self._clock.monotonic_s()
        self._connection.send(content, method)

    async def wait_head(
        self, attempt_id: str, timeout_s: float
    ) -> ResponseHead:
        """Return the head of the answer.

        Raises `ResponseTimeoutError` after the time, which may be waited on,
        and `InvalidResponseError` for an answer that is not to be trusted.
        """
        status = await self._connection.wait_head(timeout_s)
        head = self._codec.read_head(status, self._connection.headers)
        self._record_load(head)
        check_head(head, attempt_id)
        self.head = head
        return head

    def late_after_s(self) -> float:
        """Return in how many seconds a first byte would be late.

        It is negative for one that would come far later already than the
        prompt and what was ahead of it explain.
        """
        waited_s = self._clock.monotonic_s() - self.sent_s
        return self._late_after_ms / _MS_PER_S - waited_s

    async def read(self, timeout_s: float) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        chunk = await self._connection.read(timeout_s)
        self.choice.replica.last_byte_s = self._clock.monotonic_s()
        return chunk

    def record_first_token(self) -> None:
        """Learn from the first piece of a stream."""
        waited_ms = (self._clock.monotonic_s() - self.sent_s) * _MS_PER_S
        placement = self.choice.placement
        self._prefill_speeds.add_sample(
            self.choice.model, placement.uncached_tokens, waited_ms
        )

    def close(self) -> None:
        """Give up what the run holds; an unfinished run is cut off."""
        if not self._is_open:
            return
        self._is_open = False
        replica = self.choice.replica
        replica.running -= 1
        self._release_backlog()
        if self._connection is not None:
            self._pool.release(replica.id, self._connection)

    def _record_load(self, head: ResponseHead) -> None:
        self._release_backlog()
        self.choice.replica.record_load(head.load, self._clock.monotonic_s())

    def _release_backlog(self) -> None:
        replica = self.choice.replica
        replica.backlog_ms = max(0.0, replica.backlog_ms - self._backlog_ms)
        self._backlog_ms = 0.0


def is_success(status: int) -> bool:
    """Tell whether a status is one of success."""
    return status // _STATUS_CLASS == _SUCCESS


def is_server_failure(status: int) -> bool:
    """Tell whether a status says that the replica failed."""
    return status // _STATUS_CLASS == _SERVER_FAILURE


def check_head(head: ResponseHead, attempt_id: str) -> None:
    """Raise `InvalidResponseError` for an answer that may not be passed on."""
    if head.did_not_run:
        return
    if head.attempt_id and head.attempt_id != attempt_id:
        raise InvalidResponseError('the answer belongs to another request')
    if is_success(head.status):
        fault = _success_fault(head, attempt_id)
        if fault:
            raise InvalidResponseError(fault)


def _success_fault(head: ResponseHead, attempt_id: str) -> str:
    if not head.is_signed:
        return 'a success without the replica signature'
    if head.attempt_id != attempt_id:
        return 'a success that names no request'
    if head.is_encoded:
        return 'the body is encoded, which nobody asked for'
    return ''
