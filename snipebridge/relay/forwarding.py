"""The last filter: attempts at replicas until one of them answers.

A request that may not repeat is sent on once; only a replica's word that it
did not run lets it go to another. All others go on at another replica within
the attempts of the route and the retry budget of the fleet.
"""

import asyncio

from snipebridge.errors import Ran
from snipebridge.filters.chain import Proceed
from snipebridge.relay.allowance import LEAST_STALL_S, Allowance
from snipebridge.relay.choosing import Choice, choose_service
from snipebridge.relay.drafts import DraftJudge
from snipebridge.relay.errors import FailedError, NotRunError, TimedOutError
from snipebridge.relay.events import EventCutter
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.messages import AnswerHead, Dispatch, end_to_end
from snipebridge.relay.outcomes import OutcomeNotes
from snipebridge.relay.parts import ForwardParts
from snipebridge.relay.runs import Run, is_server_failure, is_success
from snipebridge.routing.tables import RouteKind
from snipebridge.upstreams.connections import IDLE_LIMIT_S
from snipebridge.upstreams.errors import (
    InvalidResponseError,
    ResponseTimeoutError,
    UpstreamError,
)

COMPLETE = 'complete'
FAILED_BY_REPLICA = 'failed_by_replica'

# A request that may not repeat can't be resent when a kept connection turns
# out to be closed, so it takes only one that was in use just now.
_SURE_IDLE_S = 1.0
# When callers who found no room come back: spread, so that they do not all
# return at once, and soon enough for what is left of their time.
_RETRY_AFTER_S = (0.3, 1.0)
# The least urgent rank that replicas know.
_LAST_RANK = 9


class ForwardFilter:
    """Forwards each request in an object of its own."""

    __slots__ = ('_parts',)

    def __init__(self, parts: ForwardParts) -> None:
        """Keep what the requests share."""
        self._parts = parts

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Bring the answer, or raise `RelayError`."""
        await Forwarding(self._parts, exchange).run()


class Forwarding:
    """The attempts of one request."""

    def __init__(self, parts: ForwardParts, exchange: RelayExchange) -> None:
        """Start before the first attempt."""
        self._parts = parts
        self._exchange = exchange
        self._route = exchange.route
        self._request = exchange.request
        self._progress = exchange.progress
        self._allowance = Allowance(parts, exchange)
        self._drafts = DraftJudge(parts, exchange, self._allowance)
        self._notes = OutcomeNotes(parts, exchange, self._allowance)
        self._cutter = EventCutter()
        self._model = self._drafts.first_model()

    async def run(self) -> None:
        """Bring the answer, or raise `RelayError`."""
        self._progress.service = choose_service(
            self._route, self._request.session or self._request.attempt_id
        )
        self._parts.retries.record_request(
            self._progress.service, self._parts.clock.monotonic_s()
        )
        try:
            async with asyncio.timeout(self._allowance.left_s()):
                await self._attempts()
        except TimeoutError as error:
            self._end_at_the_limit(error)

    async def _attempts(self) -> None:
        while True:
            run = await self._next_run()
            try:
                if await self._relay(run):
                    return
            except UpstreamError as error:
                self._note_fault(run, error)
            finally:
                run.close()

    async def _next_run(self) -> Run:
        """Return a run whose head has come, or raise the final error."""
        while True:
            run = self._make_run(self._choose())
            is_there = False
            try:
                is_there = await self._open(run)
            finally:
                if not is_there:
                    run.close()
            if is_there:
                return run

    async def _open(self, run: Run) -> bool:
        """Send the request; tell whether its head is worth reading on."""
        try:
            await run.connect(self._longest_idle_s())
            await self._send(run)
        except UpstreamError as error:
            self._note_fault(run, error)
            return False
        if run.head.did_not_run:
            self._notes.note_refusal(run)
            return False
        self._progress.ran = Ran.YES
        self._notes.note_head(run)
        return True

    async def _send(self, run: Run) -> None:
        progress = self._progress
        now_s = self._parts.clock.monotonic_s()
        self._allowance.arrivals += 1
        progress.first_dispatch_s = progress.first_dispatch_s or now_s
        progress.replica = run.choice.replica.id
        progress.software = run.choice.replica.software
        progress.model = run.choice.model
        content = self._parts.codec.render(self._request, self._dispatch(run))
        known = progress.ran
        progress.ran = Ran.UNKNOWN if known is Ran.NO else known
        run.send(content, self._request.method)
        self._parts.software.note_sent(run.choice.replica)
        head = await self._wait_head(run)
        if head.did_not_run:
            progress.ran = known
            return
        progress.attempts += 1
        self._note_use(run, now_s)

    def _dispatch(self, run: Run) -> Dispatch:
        account = self._exchange.account
        return Dispatch(
            replica=run.choice.replica.id,
            account=account.name if account else '',
            remaining_s=self._allowance.left_s(),
            model=run.choice.model,
            priority=self._priority(),
            last_event_id=self._cutter.last_id,
        )

    def _note_use(self, run: Run, now_s: float) -> None:
        replica = run.choice.replica
        self._parts.software.note_use(replica, self._request.session, now_s)
        replica.note_parts(
            run.choice.model,
            [part.identity for part in self._request.parts],
            now_s,
        )

    async def _wait_head(self, run: Run) -> AnswerHead:
        """Wait for a head as long as there is nowhere else to go.

        A version whose first tokens are late is noticed while they are.
        """
        patient_until_s = run.sent_s + self._allowance.patience_s()
        while True:
            left_s = patient_until_s - self._parts.clock.monotonic_s()
            late_in_s = run.late_in_s()
            is_due = 0 < late_in_s < left_s and self._is_stream()
            try:
                return await run.wait_head(
                    self._request.attempt_id, late_in_s if is_due else left_s
                )
            except ResponseTimeoutError:
                if is_due:
                    self._notes.note_late(run)
                elif self._allowance.can_repeat():
                    raise
                else:
                    patient_until_s += self._allowance.left_s()

    def _is_stream(self) -> bool:
        return self._route.kind is RouteKind.STREAMING

    def _choose(self) -> Choice:
        """Return the next choice; raises the final error without one."""
        objection = self._allowance.objection()
        if objection:
            self._give_up(objection)
        choice = self._parts.chooser.choose(
            self._exchange,
            self._progress.service,
            self._model,
            self._notes.excluded,
        )
        if choice is None:
            self._give_up('no replica is left')
        return choice

    def _give_up(self, reason: str) -> None:
        message = f'{reason}; {self._notes.last_error}'
        if self._exchange.reply.started or self._progress.ran is not Ran.NO:
            raise FailedError(message)
        raise NotRunError(message, self._parts.rng.uniform(*_RETRY_AFTER_S))

    async def _relay(self, run: Run) -> bool:
        """Pass the answer on; tell whether the request is done."""
        if not (run.head.is_stream and is_success(run.head.status)):
            return await self._relay_whole(run)
        self._progress.confidence = run.head.confidence
        model = self._drafts.next_model(run)
        if model:
            self._notes.note_answer(run)
            self._progress.escalations += 1
            self._model = model
            return False
        await self._relay_stream(run)
        return True

    async def _relay_whole(self, run: Run) -> bool:
        body = await self._read_whole(run)
        self._notes.note_answer(run)
        fails = is_server_failure(run.head.status)
        if self._exchange.reply.started:
            raise InvalidResponseError(f'no stream but {run.head.status}')
        if fails and self._route.may_repeat and self._allowance.can_repeat():
            return False
        headers = end_to_end(run.head.headers)
        headers.append(('Content-Length', str(len(body))))
        reply = self._exchange.reply
        self._notes.note_first_byte(run)
        await reply.start(run.head.status, headers)
        if body and self._request.method != 'HEAD':
            await reply.write(body)
        await reply.finish()
        self._exchange.outcome = FAILED_BY_REPLICA if fails else COMPLETE
        return True

    async def _read_whole(self, run: Run) -> bytes:
        parts = []
        while True:
            chunk = await run.read(self._allowance.left_s())
            if not chunk:
                return b''.join(parts)
            parts.append(chunk)

    async def _relay_stream(self, run: Run) -> None:
        """Pass events on as they come, whole ones only."""
        is_over = False
        while not is_over:
            chunk = await self._read_on(run)
            is_over = not chunk
            await self._pass_events(
                run, self._cutter.rest if is_over else self._cutter.feed(chunk)
            )
        if not self._exchange.reply.started:
            raise InvalidResponseError('a stream without an event')
        self._notes.note_answer(run)
        await self._exchange.reply.finish()
        self._exchange.outcome = COMPLETE

    async def _pass_events(self, run: Run, events: bytes) -> None:
        if not events:
            return
        reply = self._exchange.reply
        if not reply.started:
            self._notes.note_first_byte(run)
            await reply.start(run.head.status, end_to_end(run.head.headers))
        self._notes.note_events(events, self._cutter.last_id)
        await reply.write(events)

    async def _read_on(self, run: Run) -> bytes:
        """Return the next bytes of a stream, empty at its end.

        A replica that answers others meanwhile is only slow: moving the
        stream would make it read the prompt again elsewhere.
        """
        while True:
            try:
                return await run.read(self._allowance.stall_s())
            except ResponseTimeoutError:
                heard_s = self._parts.clock.monotonic_s() - LEAST_STALL_S
                is_alive = run.choice.replica.is_heard(heard_s)
                if self._allowance.can_repeat() and not is_alive:
                    raise

    def _note_fault(self, run: Run, error: UpstreamError) -> None:
        self._cutter.restart()
        self._notes.note_fault(run, error)

    def _end_at_the_limit(self, error: TimeoutError) -> None:
        if self._exchange.reply.started:
            raise FailedError('the time was over in the stream') from error
        if self._progress.ran is Ran.NO:
            raise NotRunError('the time was over before a run') from error
        raise TimedOutError('the time of the request is over') from error

    def _make_run(self, choice: Choice) -> Run:
        return Run(
            choice,
            self._parts.pool,
            self._parts.codec,
            self._parts.paces,
            self._parts.clock,
        )

    def _priority(self) -> int | None:
        if not self._is_stream():
            return None
        return min(_LAST_RANK, max(0, self._exchange.priority))

    def _longest_idle_s(self) -> float:
        return IDLE_LIMIT_S if self._route.may_repeat else _SURE_IDLE_S
