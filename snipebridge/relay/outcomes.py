"""What is learned and logged from each run of a request."""

from snipebridge.logs import log_decision
from snipebridge.policy.latency_baseline import EventInterval
from snipebridge.relay.allowance import Allowance
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.parts import ForwardParts
from snipebridge.relay.runs import Run, is_server_failure
from snipebridge.upstreams.errors import ConnectError, UpstreamError

_MS_PER_S = 1000
_EVENT_END = b'\n\n'


class OutcomeNotes:
    """Tells trust, roll-outs, prices and the log how each run went."""

    __slots__ = (
        '_allowance',
        '_exchange',
        '_pace',
        '_parts',
        'excluded',
        'last_error',
    )

    def __init__(
        self,
        parts: ForwardParts,
        exchange: RelayExchange,
        allowance: Allowance,
    ) -> None:
        """Start before the first run."""
        self._parts = parts
        self._exchange = exchange
        self._allowance = allowance
        self._pace = EventInterval()
        # Replicas that this request does not try again.
        self.excluded: set[str] = set()
        self.last_error = ''

    def note_refusal(self, run: Run) -> None:
        """Count a replica's word that it did not run the request."""
        replica = run.choice.replica
        self._allowance.refusals += 1
        self.excluded.add(replica.id)
        self.last_error = f'{replica.id} refused with {run.head.status}'
        replica.is_gone = replica.is_gone or run.head.is_misdirected
        self._log(run, 'refused')

    def note_fault(self, run: Run, error: UpstreamError) -> None:
        """Count a run that brought no answer of its own."""
        replica = run.choice.replica
        replica.trust.record_failure(self._parts.clock.monotonic_s())
        self._avoid(run, error.message)
        if isinstance(error, ConnectError):
            self._allowance.refusals += 1
            self._parts.pool.drop(replica.id)
        self._pace = EventInterval()
        self._exchange.progress.resumptions += self._exchange.reply.started
        self._log(run, error.code, error.message)

    def note_answer(self, run: Run) -> None:
        """Count an answer of the replica's own, good or bad."""
        replica = run.choice.replica
        failed = is_server_failure(run.head.status)
        if failed:
            replica.trust.record_failure(self._parts.clock.monotonic_s())
            self._avoid(run, f'answered {run.head.status}')
            self._exchange.progress.erring_software.add(replica.software)
        else:
            replica.trust.record_success()
        is_slow = self._is_slow(run)
        if run.is_judged and is_slow and not run.was_late:
            self._parts.software.note_slow_end(replica)
        self._judge_version(run, failed=failed, slow=is_slow)
        self._log(run, 'answered')

    def note_head(self, run: Run) -> None:
        """Count the begin of a stream: it says most about its version."""
        if run.head.is_stream and not is_server_failure(run.head.status):
            self._judge_version(run, failed=False, slow=False)

    def note_late(self, run: Run) -> None:
        """Count a first byte that is late, before it comes."""
        run.was_late = True
        self._judge_version(run, failed=False, slow=True)

    def note_first_byte(self, run: Run) -> None:
        """Note that the caller gets the first byte now."""
        progress = self._exchange.progress
        progress.status = run.head.status
        progress.first_byte_s = self._parts.clock.monotonic_s()
        if run.head.is_stream:
            run.note_first_token()
            self._parts.price.record_first_token(
                progress.first_byte_s - self._exchange.request.received_s,
                self._exchange.route.objective_s,
                progress.first_byte_s,
            )

    def note_events(self, events: bytes, last_event_id: str) -> None:
        """Note events that the caller gets."""
        count = events.count(_EVENT_END)
        self._pace.add_events(count, self._parts.clock.monotonic_s())
        self._exchange.progress.last_event_id = last_event_id

    def _avoid(self, run: Run, reason: str) -> None:
        replica = run.choice.replica
        self.excluded.add(replica.id)
        self._exchange.progress.failed_software.add(replica.software)
        self.last_error = f'{replica.id}: {reason}'

    def _judge_version(self, run: Run, *, failed: bool, slow: bool) -> None:
        """Count a run once, as soon as it says something."""
        if run.is_judged:
            return
        run.is_judged = True
        if self._parts.software.note_outcome(
            run.choice.replica, failed=failed, slow=slow
        ):
            self._parts.hurry()

    def _is_slow(self, run: Run) -> bool:
        """Tell whether an answer speaks for a slow version.

        A stream is judged by its pace here, and by its first token when that
        comes; any other answer by its whole time.
        """
        if run.head.is_stream:
            spent_s = self._pace.mean_interval_s()
        else:
            spent_s = self._parts.clock.monotonic_s() - run.sent_s
        return spent_s > 0 and self._parts.usual.is_slow(
            self._exchange.route.name, run.choice.model, spent_s
        )

    def _log(self, run: Run, outcome: str, reason: str = '') -> None:
        replica = run.choice.replica
        spent_s = 0.0
        if run.was_sent:
            spent_s = self._parts.clock.monotonic_s() - run.sent_s
        self._parts.metrics.attempts.inc(
            {'service': replica.service, 'outcome': outcome}
        )
        log_decision(
            'attempt',
            request_id=self._exchange.request.attempt_id,
            replica=replica.id,
            software=replica.software,
            model=run.choice.model,
            number=self._allowance.arrivals,
            outcome=outcome,
            reason=reason,
            status=run.head.status if run.head else 0,
            confidence=run.head.confidence if run.head else None,
            spent_ms=round(spent_s * _MS_PER_S, 1),
            running=replica.running,
            failure_share=round(replica.trust.failure_share, 2),
            resumed_after=self._exchange.progress.last_event_id,
        )
