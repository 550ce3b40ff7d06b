"""Runs calls of plain services, non-idempotent ones at most once.

A non-idempotent call is recorded before its dispatch. A request repeated with
the same idempotency key, at any entry, reads that record: it gets the stored
response, or an error if the outcome is unknown, but never runs the call again.
"""

import asyncio
import hashlib
from dataclasses import dataclass

from snipebridge.clock import Clock
from snipebridge.controllers.errors import ControlUnreachableError
from snipebridge.controllers.view import UpstreamView
from snipebridge.errors import Ran
from snipebridge.filters.attempts import AttemptRunner, AttemptState
from snipebridge.filters.billing import COMPLETE, CommandRecorder
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import (
    BillingError,
    InProgressError,
    KeyReusedError,
    RequestError,
    ResponseNotStoredError,
    UnavailableError,
)
from snipebridge.filters.exchange import Exchange
from snipebridge.rpc.commands_pb2 import (
    RAN_NO,
    RAN_UNKNOWN,
    RAN_YES,
    BeginCommand,
    BillCommand,
    Command,
    CommandResult,
    FinishCommand,
    StoredAnswer,
)
from snipebridge.settings.models import EntrySettings
from snipebridge.upstreams.client import UpstreamResponse
from snipebridge.upstreams.services import Service, ServiceCall

_RETRY_AFTER_S = 1.0
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'
_FORWARDED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')
_RAN_STATES = {
    Ran.NO: RAN_NO,
    Ran.YES: RAN_YES,
    Ran.UNKNOWN: RAN_UNKNOWN,
}


@dataclass(slots=True)
class ServiceDependencies:
    """Collaborators of the service filter."""

    service: Service
    attempt_runner: AttemptRunner
    recorder: CommandRecorder
    clock: Clock
    limits: EntrySettings
    entry: str


class ServiceFilter:
    """The last filter of a service call."""

    __slots__ = ('_dependencies', '_tasks')

    def __init__(self, dependencies: ServiceDependencies) -> None:
        """Start with no task in the background."""
        self._dependencies = dependencies
        self._tasks: set[asyncio.Task[StoredAnswer]] = set()

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Make the call, record its outcome, then reply."""
        if exchange.service.is_idempotent:
            response = await self._call(exchange)
            await self._bill(exchange)
        else:
            response = await self._call_shielded(exchange)
        exchange.reply.start(response.status, response.content_type)
        await exchange.reply.finish(response.body)
        exchange.outcome = COMPLETE

    async def _call_shielded(self, exchange: Exchange) -> StoredAnswer:
        """Complete the call even if the caller disconnects.

        Its outcome is then recorded for a repeated request with the same key.
        """
        task = asyncio.create_task(self._call_once(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return await asyncio.shield(task)

    async def _call_once(self, exchange: Exchange) -> StoredAnswer:
        stored = await self._begin(exchange)
        if stored is not None:
            return stored
        try:
            response = await self._call(exchange)
        except RequestError as error:
            await self._finish(exchange, error.ran, None)
            raise
        await self._finish(exchange, Ran.YES, response)
        return response

    async def _begin(self, exchange: Exchange) -> StoredAnswer | None:
        """Record the start; return the response of an earlier run, if any."""
        command = Command(
            begin=BeginCommand(
                account=exchange.account.name,
                request_id=exchange.bill_key,
                attempt=exchange.request_id,
                digest=_digest_request(exchange),
                entry=self._dependencies.entry,
            ),
        )
        try:
            result = await self._dependencies.recorder.record(
                command, self._dependencies.limits.bill_timeout_s
            )
        except ControlUnreachableError as error:
            # A call is not dispatched before its start is recorded, so it did
            # not run. The begin command may still arrive; this one then
            # releases its key.
            self._record_in_background(_make_not_run_command(exchange))
            raise UnavailableError(
                'the request could not be recorded before its dispatch',
                Ran.NO,
                _RETRY_AFTER_S,
            ) from error
        return _read_begin_result(result)

    async def _finish(
        self, exchange: Exchange, ran: Ran, response: StoredAnswer | None
    ) -> None:
        finish = FinishCommand(
            account=exchange.account.name,
            request_id=exchange.bill_key,
            attempt=exchange.request_id,
            ran=_RAN_STATES[ran],
        )
        if response is not None:
            finish.answer.CopyFrom(response)
            finish.bill.CopyFrom(self._make_bill(exchange))
        await self._record(Command(finish=finish), ran)

    async def _bill(self, exchange: Exchange) -> None:
        await self._record(Command(bill=self._make_bill(exchange)), Ran.YES)

    async def _record(self, command: Command, ran: Ran) -> None:
        try:
            await self._dependencies.recorder.record(
                command, self._dependencies.limits.bill_timeout_s
            )
        except ControlUnreachableError as error:
            raise BillingError(
                'the outcome of the request is not durable yet',
                ran,
                _RETRY_AFTER_S,
            ) from error

    def _record_in_background(self, command: Command) -> None:
        task = asyncio.create_task(self._record(command, Ran.NO))
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)

    def _discard_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieved, so that asyncio does not log the error of a record
            # that came too late.
            task.exception()

    async def _call(self, exchange: Exchange) -> StoredAnswer:
        state = AttemptState(
            version='',
            prompt_tokens=0,
            expected_tokens=0,
            is_idempotent=exchange.service.is_idempotent,
        )

        async def call(upstream: UpstreamView) -> UpstreamResponse:
            return await self._dependencies.service.call(
                self._make_call(exchange, upstream)
            )

        response = await self._dependencies.attempt_runner.run(
            exchange, state, call
        )
        return StoredAnswer(
            status=response.status,
            content_type=response.headers.get(
                'Content-Type', _DEFAULT_CONTENT_TYPE
            ),
            body=response.body,
        )

    def _make_call(
        self, exchange: Exchange, upstream: UpstreamView
    ) -> ServiceCall:
        head = exchange.head
        limits = self._dependencies.limits
        query = f'?{head.query}' if head.query else ''
        return ServiceCall(
            url=f'{upstream.url}{exchange.service.path or "/"}{query}',
            request_id=exchange.request_id,
            method=head.method,
            headers={
                name: head.headers[name]
                for name in _FORWARDED_HEADERS
                if name in head.headers
            },
            body=head.body,
            connect_timeout_s=limits.connect_timeout_s,
            first_byte_timeout_s=limits.first_byte_timeout_s,
            idle_timeout_s=limits.idle_chunk_timeout_s,
        )

    def _make_bill(self, exchange: Exchange) -> BillCommand:
        service = exchange.view.services[exchange.service.service]
        cost_micros = service.cost_micros_per_call
        return BillCommand(
            account=exchange.account.name,
            request_id=exchange.bill_key,
            version=service.name,
            upstream=exchange.delivered.upstream,
            cost_micros=cost_micros,
            outcome=COMPLETE,
            entry=self._dependencies.entry,
            finished_at_ms=self._dependencies.clock.wall_ms(),
            internal_cost_micros=cost_micros,
        )


def _make_not_run_command(exchange: Exchange) -> Command:
    return Command(
        finish=FinishCommand(
            account=exchange.account.name,
            request_id=exchange.bill_key,
            attempt=exchange.request_id,
            ran=RAN_NO,
        ),
    )


def _read_begin_result(result: CommandResult) -> StoredAnswer | None:
    if result.code == CommandResult.OK:
        return None
    if result.code == CommandResult.DUPLICATE and result.ran == RAN_YES:
        return _stored_answer(result)
    if result.code == CommandResult.CONFLICT:
        raise KeyReusedError(
            'the idempotency key was used for a different request'
        )
    if result.code == CommandResult.EXPIRED:
        raise KeyReusedError('the idempotency key has expired')
    raise InProgressError(
        'a request with this idempotency key has an unknown outcome',
        Ran.UNKNOWN,
        _RETRY_AFTER_S,
    )


def _stored_answer(result: CommandResult) -> StoredAnswer:
    if not result.HasField('answer'):
        raise ResponseNotStoredError(
            'the request ran, but its response is not stored', Ran.YES
        )
    return result.answer


def _digest_request(exchange: Exchange) -> bytes:
    head = exchange.head
    digest = hashlib.sha256()
    for part in (head.method, head.path, head.query):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(head.body)
    return digest.digest()
