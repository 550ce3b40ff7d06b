"""Records and logs the outcome of each attempt of a request."""

from snipebridge.clock import elapsed_ms
from snipebridge.logs import log_decision
from snipebridge.policy.latency_baseline import EventIntervals, LatencyBaseline
from snipebridge.policy.version_records import Stratum
from snipebridge.relay.attempt_limits import AttemptLimits
from snipebridge.relay.attempts import Attempt, is_server_failure
from snipebridge.relay.dependencies import ForwardDependencies
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.messages import ResponseHead
from snipebridge.routing.tables import Route, RouteKind
from snipebridge.upstreams.errors import (
    ConnectError,
    ResponseTimeoutError,
    UpstreamError,
)

_MS_PER_S = 1000
_EVENT_END = b'\n\n'
# A prompt may have parts without number.
_LOGGED_PARTS = 8


class OutcomeRecorder:
    """Updates circuit breakers, roll-outs, prices, metrics and the log."""

    __slots__ = (
        '_limits',
        '_exchange',
        '_intervals',
        '_dependencies',
        'excluded',
        'last_error',
    )

    def __init__(
        self,
        dependencies: ForwardDependencies,
        exchange: RelayExchange,
        limits: AttemptLimits,
    ) -> None:
        """Start before the first attempt."""
        self._dependencies = dependencies
        self._exchange = exchange
        self._limits = limits
        self._intervals = EventIntervals()
        # Replicas that this request must not use again.
        self.excluded: set[str] = set()
        self.last_error = ''

    def record_refusal(self, attempt: Attempt) -> None:
        """Count a response saying that the request did not run."""
        replica = attempt.choice.replica
        self._limits.refused_count += 1
        self.excluded.add(replica.id)
        self.last_error = f'{replica.id} refused with {attempt.head.status}'
        if attempt.head.is_misdirected:
            replica.record_misdirected(self._dependencies.clock.monotonic_s())
        self._log(attempt, 'refused')

    def record_paused(self, attempt: Attempt) -> None:
        """Count an attempt that a pause came before."""
        replica = attempt.choice.replica
        self._limits.record_failed_connection()
        self.excluded.add(replica.id)
        self.last_error = f'{replica.id} asked for a pause'
        self._log(attempt, 'paused')

    def record_fault(self, attempt: Attempt, error: UpstreamError) -> None:
        """Count an attempt that ended without a valid response."""
        replica = attempt.choice.replica
        now_s = self._dependencies.clock.monotonic_s()
        self._exclude(attempt, error.message)
        if isinstance(error, ConnectError):
            self._limits.record_failed_connection()
            replica.circuit_breaker.record_unreachable(now_s)
            replica.lost_s = now_s
            self._dependencies.pool.drop(replica.id)
        else:
            replica.circuit_breaker.record_failure(now_s)
        if isinstance(error, ResponseTimeoutError):
            self._dependencies.paths.check(replica.id, replica.address)
        self._dependencies.crashes.record_fault(attempt, self._exchange, error)
        self._intervals = EventIntervals()
        self._exchange.progress.resumptions += self._exchange.reply.started
        self._log(attempt, error.code, error.message)

    def record_response(self, attempt: Attempt) -> None:
        """Count a complete response, successful or not."""
        replica = attempt.choice.replica
        failed = is_server_failure(attempt.head.status)
        # It may fail for what it is, wherever it runs.
        is_repeat = bool(self._exchange.progress.erring_software)
        if failed:
            replica.circuit_breaker.record_failure(
                self._dependencies.clock.monotonic_s()
            )
            self._exclude(attempt, f'answered {attempt.head.status}')
            self._exchange.progress.erring_software.add(replica.software)
        else:
            replica.circuit_breaker.record_success()
        spent_s = self._spent_s(attempt)
        is_slow = self._exceeds(attempt, spent_s)
        if attempt.is_counted and is_slow:
            self._record_slow_body(attempt)
        self._record_new_time(attempt, spent_s)
        if not is_repeat:
            self._count_for_version(
                attempt,
                failed=failed,
                slow=is_slow,
                is_timed=self._is_comparable(attempt, spent_s),
                spent_s=_fleet_time_s(self._exchange.route, attempt, spent_s),
            )
        self._log(attempt, 'answered')
        if spent_s and not failed:
            self._add_sample(attempt, spent_s)

    def record_signs(self, attempt: Attempt, head: ResponseHead) -> None:
        """Note what a replica says of itself, also if it refused."""
        if head.is_misdirected:
            return
        self._dependencies.back_offs.record_answer(
            attempt.choice.replica.id,
            head,
            self._dependencies.clock.monotonic_s(),
        )
        self._dependencies.brittle.record_answer(
            attempt.choice.replica.service,
            head,
            self._dependencies.clock.monotonic_s(),
        )
        if self._dependencies.limits.record_answer(
            attempt.choice.replica.id,
            head.rate_sign,
            self._dependencies.clock.monotonic_s(),
        ):
            self._dependencies.report_now()

    def record_head(self, attempt: Attempt) -> None:
        """Note that a replica has begun to answer."""
        replica = attempt.choice.replica
        replica.record_identified(self._dependencies.clock.monotonic_s())
        self._dependencies.paths.record_answer(replica.id)
        self._dependencies.crashes.record_began(attempt, self._exchange)

    def record_dropped(self, attempt: Attempt) -> None:
        """Count a draft that is dropped at its head.

        It says nothing about the pace of its version.
        """
        attempt.choice.replica.circuit_breaker.record_success()
        self._log(attempt, 'answered')

    def record_closed(self, attempt: Attempt) -> None:
        """Note the end of an attempt whose connection has been released."""
        self._dependencies.software.record_use(
            attempt.choice.replica,
            self._exchange.request.session,
            self._dependencies.clock.monotonic_s(),
        )
        self._dependencies.crashes.record_closed(attempt, self._exchange)

    def record_late_first_byte(self, attempt: Attempt) -> None:
        """Count a late first byte while it is still awaited."""
        attempt.was_late = True
        self._count_for_version(attempt, failed=False, slow=True)

    def record_first_byte(self, attempt: Attempt) -> None:
        """Record that the first byte is sent to the caller now."""
        progress = self._exchange.progress
        progress.status = attempt.head.status
        progress.first_byte_s = self._dependencies.clock.monotonic_s()
        if attempt.head.is_stream:
            attempt.record_first_token()
            self._dependencies.price.record_first_token(
                progress.first_byte_s - self._exchange.request.received_s,
                self._exchange.route.objective_s,
                progress.first_byte_s,
            )

    def record_events(
        self, attempt: Attempt, events: bytes, last_event_id: str
    ) -> None:
        """Record events that are sent to the caller."""
        count = events.count(_EVENT_END)
        self._intervals.add_events(
            count, self._dependencies.clock.monotonic_s()
        )
        self._exchange.progress.last_event_id = last_event_id
        self._compare_running(attempt)

    def _exclude(self, attempt: Attempt, reason: str) -> None:
        replica = attempt.choice.replica
        self.excluded.add(replica.id)
        self._exchange.progress.failed_software.add(replica.software)
        self.last_error = f'{replica.id}: {reason}'

    def _count_for_version(
        self,
        attempt: Attempt,
        *,
        failed: bool,
        slow: bool,
        is_timed: bool = True,
        spent_s: float = 0.0,
    ) -> None:
        """Count an attempt for its software version, at most once."""
        if attempt.is_counted:
            return
        attempt.is_counted = True
        attempt.counted_s = spent_s
        attempt.counted_rollout = self._dependencies.software.active_number(
            attempt.choice.replica.service
        )
        attempt.was_late = attempt.was_late or slow
        if self._dependencies.software.record_outcome(
            attempt.choice.replica,
            failed=failed,
            slow=slow,
            is_timed=is_timed,
            stratum=_stratum(self._exchange.route, attempt),
            spent_s=spent_s,
        ):
            self._dependencies.report_now()

    def _record_new_time(self, attempt: Attempt, spent_s: float) -> None:
        """Correct the time of a stream that was counted while it ran."""
        if attempt.counted_s and spent_s:
            self._dependencies.software.record_new_time(
                attempt.choice.replica,
                _stratum(self._exchange.route, attempt),
                attempt.counted_rollout,
                attempt.counted_s,
                spent_s,
            )
            attempt.counted_s = spent_s

    def _record_slow_body(self, attempt: Attempt) -> None:
        """Count a counted attempt as slow, at most once."""
        if not attempt.was_late:
            attempt.was_late = True
            self._dependencies.software.record_slow_body(attempt.choice.replica)

    def _compare_running(self, attempt: Attempt) -> None:
        """Count a stream for its version once its pace is known.

        Answers and slow answers must be counted alike: a slow version ends few
        streams while it is on trial.
        """
        if not self._intervals.is_early_look_due:
            return
        interval_s = self._spent_s(attempt)
        if not interval_s:
            return
        is_slow = self._exceeds(attempt, interval_s)
        if attempt.is_counted and is_slow:
            self._record_slow_body(attempt)
        self._count_for_version(
            attempt,
            failed=False,
            slow=is_slow,
            is_timed=self._is_comparable(attempt, interval_s),
            spent_s=interval_s,
        )

    def _is_comparable(self, attempt: Attempt, spent_s: float) -> bool:
        return spent_s > 0 and self._baseline(attempt).has_samples(
            self._kind(attempt), attempt.choice.model
        )

    def _exceeds(self, attempt: Attempt, spent_s: float) -> bool:
        return self._baseline(attempt).exceeds(
            self._kind(attempt), attempt.choice.model, spent_s
        )

    def _add_sample(self, attempt: Attempt, spent_s: float) -> None:
        if not self._dependencies.software.is_on_trial(attempt.choice.replica):
            self._baseline(attempt).add_sample(
                self._kind(attempt), attempt.choice.model, spent_s
            )

    def _spent_s(self, attempt: Attempt) -> float:
        """Return the time to compare with what is typical, 0 if unknown.

        For a stream this is the undisturbed interval of its events; its first token
        is checked separately when it is due. Other responses are measured
        from sending the request to their end. Work that takes longer because
        the replica shares its host says nothing about its version, so the time
        is divided by the stated pace.
        """
        pace = attempt.choice.replica.pace
        if attempt.head.is_stream:
            return self._intervals.typical_s() / pace
        return (self._dependencies.clock.monotonic_s() - attempt.sent_s) / pace

    def _baseline(self, attempt: Attempt) -> LatencyBaseline:
        if attempt.head is not None and attempt.head.is_stream:
            return self._dependencies.stream_baseline
        return self._dependencies.answer_baseline

    def _kind(self, attempt: Attempt) -> str:
        """Return what answers are alike in their time.

        All streams of a batch advance by the same steps, whatever their route.
        """
        if attempt.head is not None and attempt.head.is_stream:
            return attempt.choice.replica.service
        return self._exchange.route.name

    def _log(self, attempt: Attempt, outcome: str, reason: str = '') -> None:
        replica = attempt.choice.replica
        spent_s = 0.0
        if attempt.was_sent:
            spent_s = self._dependencies.clock.monotonic_s() - attempt.sent_s
        typical_s = self._baseline(attempt).typical_s(
            self._kind(attempt), attempt.choice.model
        )
        self._dependencies.metrics.attempts.inc(
            {'service': replica.service, 'outcome': outcome}
        )
        log_decision(
            'attempt',
            request_id=self._exchange.request.attempt_id,
            digest=self._exchange.digest,
            replica=replica.id,
            software=replica.software,
            model=attempt.choice.model,
            number=self._limits.dispatch_count,
            outcome=outcome,
            reason=reason,
            status=attempt.head.status if attempt.head else 0,
            confidence=attempt.head.confidence if attempt.head else None,
            framing=attempt.framing,
            unfinished_bytes=attempt.unfinished_bytes,
            spent_ms=round(spent_s * _MS_PER_S, 1),
            running=replica.running,
            failure_share=round(replica.circuit_breaker.failure_share, 2),
            began_ms=elapsed_ms(attempt.sent_s, attempt.head_s),
            late_after_ms=round(attempt.late_after_ms, 1),
            slow=attempt.was_late,
            event_interval_ms=round(self._intervals.typical_s() * _MS_PER_S, 2),
            typical_ms=round(typical_s * _MS_PER_S, 2),
            shared_parts=[
                part.identity
                for part in self._exchange.request.shared_parts[-_LOGGED_PARTS:]
            ],
            resumed_after=self._exchange.progress.last_event_id,
        )


def _stratum(route: Route, attempt: Attempt) -> Stratum:
    is_stream = route.kind is RouteKind.STREAMING
    return Stratum(route.name, attempt.choice.model, is_stream)


def _fleet_time_s(route: Route, attempt: Attempt, spent_s: float) -> float:
    """Return the time that the fleet compares, 0 if there is none.

    A route of streams may be answered by a whole body, such as an error.
    """
    is_stream = route.kind is RouteKind.STREAMING
    return spent_s if attempt.head.is_stream == is_stream else 0.0
