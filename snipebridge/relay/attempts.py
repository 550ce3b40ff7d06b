"""Sends a request to one replica and reads the response."""

from snipebridge.clock import Clock
from snipebridge.policy.latency_baseline import late_after_ms
from snipebridge.policy.prefill_speed import PrefillSpeedEstimator
from snipebridge.relay.messages import HeaderCodec, ResponseHead
from snipebridge.relay.replica_placement import Choice
from snipebridge.upstreams.connections import (
    ConnectionPool,
    Framing,
    ReplicaConnection,
)
from snipebridge.upstreams.errors import InvalidResponseError

_MS_PER_S = 1000
# The first digit of a status is its class.
_STATUS_CLASS = 100
_SUCCESS = 2
_SERVER_FAILURE = 5


class Attempt:
    """A dispatch, its connection and the head of its response.

    `close` must always be called: it returns the connection to the pool or
    drops it, and removes the attempt from the load of the replica.
    """

    __slots__ = (
        '_backlog_ms',
        '_clock',
        '_codec',
        '_connection',
        '_is_open',
        '_prefill_speeds',
        '_pool',
        'choice',
        'counted_rollout',
        'counted_s',
        'head',
        'head_s',
        'is_counted',
        'late_after_ms',
        'sent_s',
        'unfinished_bytes',
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
        """Add the attempt to the load of the replica."""
        self.choice = choice
        self.head: ResponseHead | None = None
        self.sent_s = 0.0
        # When the head came: the replica has begun to answer.
        self.head_s = 0.0
        # Received bytes of an event that has not ended.
        self.unfinished_bytes = 0
        self._pool = pool
        self._codec = codec
        self._prefill_speeds = prefill_speeds
        self._clock = clock
        self._connection: ReplicaConnection | None = None
        self._backlog_ms = choice.backlog_ms
        self._is_open = True
        replica = choice.replica
        self.late_after_ms = late_after_ms(
            choice.full_prompt_ms, replica.total_backlog_ms
        )
        # Whether the outcome is already counted for the software version.
        self.is_counted = False
        # The time that it was counted with, 0 without one, and in which
        # roll-out.
        self.counted_s = 0.0
        self.counted_rollout = 0
        self.was_late = False
        choice.replica.running += 1
        choice.replica.backlog_ms += self._backlog_ms

    @property
    def was_sent(self) -> bool:
        """Tell whether the replica may have received the request."""
        return self.sent_s > 0

    @property
    def framing(self) -> Framing:
        """What delimits the body, unknown before the head has arrived."""
        return self._connection.framing if self.head else Framing.UNKNOWN

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has arrived."""
        return self._connection is not None and self._connection.is_complete

    async def connect(self, max_idle_s: float) -> None:
        """Acquire a connection; on `ConnectError` nothing was sent."""
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
        """Return the head of the response.

        Raises `ResponseTimeoutError` after the timeout, after which the head
        may be awaited again, and `InvalidResponseError` for a response that
        must not be passed on.
        """
        status = await self._connection.wait_head(timeout_s)
        head = self._codec.read_head(status, self._connection.headers)
        self._record_load(head)
        try:
            check_head(head, attempt_id, is_reused=self._connection.is_reused)
        except InvalidResponseError:
            # What belongs to this request may still come.
            self._connection.abort()
            raise
        if head.did_not_run and not head.attempt_id:
            # Written once more here, it would seem to be of a later request.
            self._connection.max_idle_s = 0.0
        self.head = head
        self.head_s = self._clock.monotonic_s()
        return head

    def late_after_s(self) -> float:
        """Return the seconds until a pending first byte is considered late.

        Negative once the wait is longer than the prompt and the backlog ahead
        of it explain.
        """
        waited_s = self._clock.monotonic_s() - self.sent_s
        return self.late_after_ms / _MS_PER_S - waited_s

    async def read(self, timeout_s: float) -> bytes:
        """Return the next chunk of the body, empty at its end."""
        chunk = await self._connection.read(timeout_s)
        self.choice.replica.last_byte_s = self._clock.monotonic_s()
        return chunk

    def record_first_token(self) -> None:
        """Update the prefill speed estimate with the time to first token."""
        waited_ms = (self._clock.monotonic_s() - self.sent_s) * _MS_PER_S
        placement = self.choice.placement
        self._prefill_speeds.add_sample(
            self.choice.model, placement.uncached_tokens, waited_ms
        )

    def close(self) -> None:
        """Release connection and load; an unfinished response is aborted."""
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
    """Tell whether a status is of class 2xx."""
    return status // _STATUS_CLASS == _SUCCESS


def is_server_failure(status: int) -> bool:
    """Tell whether a status is of class 5xx."""
    return status // _STATUS_CLASS == _SERVER_FAILURE


def check_head(head: ResponseHead, attempt_id: str, *, is_reused: bool) -> None:
    """Raise `InvalidResponseError` if a response must not be passed on.

    One without an id may be left over from an earlier request of the
    connection, so it neither answers this one nor says that it did not run.
    Only a refusal that is the first response of a connection needs no id.
    """
    if head.attempt_id and head.attempt_id != attempt_id:
        raise InvalidResponseError('the response belongs to another request')
    is_named = head.attempt_id or not attempt_id
    if not is_named and (is_reused or not head.did_not_run):
        raise InvalidResponseError('the response names no request')
    if head.did_not_run:
        return
    if is_success(head.status):
        fault = _success_fault(head, attempt_id)
        if fault:
            raise InvalidResponseError(fault)


def _success_fault(head: ResponseHead, attempt_id: str) -> str:
    if not head.is_signed:
        return 'a success response without the replica signature'
    if head.attempt_id != attempt_id:
        return 'a success response without the attempt id'
    if head.is_encoded:
        return 'the body has a content encoding that was not requested'
    return ''
