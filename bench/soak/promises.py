"""The promises that a soak checks, from what callers and replicas saw.

Each check is a function from the whole record of a run to the broken cases
that it found. None asks the system itself what it did.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

# Of the platform's thresholds: docs/PROMISES.md names the page of each.
REVOCATION_S = 5.0
DRAIN_S = 3.0
# A final answer may be this much later than the time of the route.
ANSWER_SLACK_S = 0.5
# Of proper requests in calm spans; the rest is the target's own allowance.
SERVED_SHARE = 0.999
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+) (\d+)\n\n')
_OK = 200
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Call:
    """One request of a caller and what came back."""

    attempt_id: str
    kind: str
    key: str
    entry: str
    sent_s: float
    timeout_s: float
    ended_s: float = 0.0
    # 0 where the connection ended without an answer.
    status: int = 0
    is_whole: bool = False
    body: bytes = b''
    signature: str = ''
    # The request that the answer says it belongs to.
    named: str = ''
    fault: str = ''
    # The run ended before the answer did.
    is_cut_off: bool = False

    @property
    def is_served(self) -> bool:
        """Tell whether the caller got a whole success."""
        return self.status == _OK and self.is_whole


@dataclass(slots=True)
class Arrival:
    """One request as a replica saw it."""

    attempt_id: str
    replica: str
    service: str
    arrived_s: float
    ran: bool
    headers: dict[str, str]


@dataclass(slots=True)
class Acknowledged:
    """A configuration, and when its acknowledgement came."""

    version: int
    at_s: float


@dataclass(slots=True)
class Reading:
    """A configuration read back."""

    version: int
    asked_s: float
    body: dict = field(default_factory=dict)


@dataclass(slots=True)
class Record:
    """All that was seen in a run."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    acknowledged: list[Acknowledged] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    # Contents that were sent under each version, and refused ones.
    sent: dict[int, list[dict]] = field(default_factory=dict)
    invalid_versions: set[int] = field(default_factory=set)
    # Of the invalid ones, those that were acknowledged all the same.
    taken_invalid: list[int] = field(default_factory=list)
    # Acknowledgement of the change that took a key away.
    revoked_s: dict[str, float] = field(default_factory=dict)
    # Since when the list shows a replica as leaving or not at all.
    left_s: dict[str, float] = field(default_factory=dict)
    # Spans in which the whole system was left alone.
    calm: list[tuple[float, float]] = field(default_factory=list)
    # Ends of processes that nothing had struck.
    own_ends: list[str] = field(default_factory=list)
    # What did not come back, or got no answer, in the time it has.
    failures: list[str] = field(default_factory=list)
    events: int = 0
    convergence_s: float = 2.0


def check_answers(record: Record) -> Iterable[str]:
    """A success is one replica's whole answer to this very request."""
    ran = defaultdict(set)
    for arrival in record.arrivals:
        ran[arrival.attempt_id].add(arrival.replica)
    for call in record.calls:
        if not call.is_served:
            continue
        replica = call.signature.removesuffix('.sig')
        if replica not in ran[call.attempt_id]:
            yield f'{call.attempt_id}: signed by {replica or "nobody"}'
        if call.named != call.attempt_id:
            yield f'{call.attempt_id}: an answer to {call.named or "nobody"}'
        if call.kind != 'chat' and call.body != f'answer of {replica}'.encode():
            yield f'{call.attempt_id}: body {call.body[:40]!r}'


def check_streams(record: Record) -> Iterable[str]:
    """A stream has each event once, in order, of its own request."""
    for call in record.calls:
        if call.kind != 'chat' or call.status != _OK:
            continue
        events = _EVENT.findall(call.body)
        numbers = [int(number) for number, _, _ in events]
        owners = {owner.decode() for _, owner, _ in events}
        if numbers != list(range(1, len(numbers) + 1)):
            yield f'{call.attempt_id}: events {numbers}'
        if owners - {call.attempt_id}:
            yield f'{call.attempt_id}: events of {owners}'
        if call.is_whole and len(numbers) != record.events:
            yield f'{call.attempt_id}: complete after {len(numbers)} events'


def check_once(record: Record) -> Iterable[str]:
    """A request that must not repeat runs at most once."""
    runs = Counter(one.attempt_id for one in record.arrivals if one.ran)
    for call in record.calls:
        if call.kind == 'book' and runs[call.attempt_id] > 1:
            yield f'{call.attempt_id}: ran {runs[call.attempt_id]} times'


def check_refusals(record: Record) -> Iterable[str]:
    """A request that was refused as not run has not run."""
    ran = {one.attempt_id for one in record.arrivals if one.ran}
    for call in record.calls:
        is_refused = call.status in _NOT_RUN_STATUSES
        if call.kind == 'book' and is_refused and call.attempt_id in ran:
            yield f'{call.attempt_id}: {call.status} although it ran'


def check_asked(record: Record) -> Iterable[str]:
    """Replicas get what callers sent, under its account and no key."""
    calls = {call.attempt_id: call for call in record.calls}
    for arrival in record.arrivals:
        if arrival.attempt_id not in calls:
            yield f'{arrival.attempt_id}: nobody sent it'
        if arrival.headers.get('x-tenant', '') != 'studio':
            yield f'{arrival.attempt_id}: account {arrival.headers}'
        if 'x-key' in arrival.headers:
            yield f'{arrival.attempt_id}: the key was passed on'


def check_revoked(record: Record) -> Iterable[str]:
    """A key that was taken away opens nothing after the promised time."""
    ran = {one.attempt_id for one in record.arrivals if one.ran}
    for call in record.calls:
        revoked_s = record.revoked_s.get(call.key)
        if revoked_s is None or call.attempt_id not in ran:
            continue
        late_s = call.sent_s - revoked_s - REVOCATION_S
        if late_s > 0:
            yield f'{call.attempt_id}: key {call.key}, {late_s:.2f} s late'


def check_drained(record: Record) -> Iterable[str]:
    """A replica that leaves gets nothing after the promised time.

    Calm spans only: it binds entries that are in touch.
    """
    for arrival in record.arrivals:
        left_s = record.left_s.get(arrival.replica)
        if left_s is None or not _is_calm(record, arrival.arrived_s):
            continue
        late_s = arrival.arrived_s - left_s - DRAIN_S
        if late_s > 0:
            yield f'{arrival.attempt_id}: {arrival.replica}, {late_s:.2f} s'


def check_readings(record: Record) -> Iterable[str]:
    """What is read back is what was sent, and never older than promised."""
    for reading in record.readings:
        newest = max(
            (
                one.version
                for one in record.acknowledged
                if one.at_s + record.convergence_s < reading.asked_s
            ),
            default=0,
        )
        if reading.version < newest:
            yield f'read {reading.version} after {newest} was acknowledged'
        if reading.body not in record.sent.get(reading.version, []):
            yield f'version {reading.version} is not what was sent'
        if reading.version in record.invalid_versions:
            yield f'version {reading.version} is invalid, and is in force'


def check_invalid(record: Record) -> Iterable[str]:
    """What is invalid is not acknowledged."""
    for version in record.taken_invalid:
        yield f'invalid version {version} was acknowledged'


def check_routes(record: Record) -> Iterable[str]:
    """A request runs at the service of its route only.

    Addresses of replicas that are gone are used again by the other service.
    """
    kinds = {call.attempt_id: call.kind for call in record.calls}
    for arrival in record.arrivals:
        kind = kinds.get(arrival.attempt_id)
        wanted = 'models' if kind == 'chat' else 'desk'
        if arrival.ran and kind and arrival.service != wanted:
            yield f'{arrival.attempt_id}: {kind} ran at {arrival.replica}'


def check_times(record: Record) -> Iterable[str]:
    """In calm spans no request goes without its final answer."""
    for call in record.calls:
        if call.is_cut_off or not _is_calm(record, call.sent_s):
            continue
        spent_s = call.ended_s - call.sent_s
        # A stream that runs is not cut: only its first event is due.
        if call.kind != 'chat' and spent_s > call.timeout_s + ANSWER_SLACK_S:
            yield f'{call.attempt_id}: {spent_s:.2f} s'


def check_served(record: Record) -> Iterable[str]:
    """In calm spans proper requests are served."""
    calm = [
        call
        for call in record.calls
        if call.key not in record.revoked_s
        and not call.is_cut_off
        and _is_calm(record, call.sent_s)
        and _is_calm(record, call.ended_s)
    ]
    missed = [call for call in calm if not call.is_served]
    if len(missed) > (1 - SERVED_SHARE) * len(calm):
        for call in missed:
            yield (
                f'{call.attempt_id} ({call.kind}, {call.entry}) at '
                f'{call.sent_s:.2f} s: {call.status} {call.fault}'
            )


def check_recovered(record: Record) -> Iterable[str]:
    """After the last fault all is back in time, and orders get an answer."""
    return record.failures


def check_processes(record: Record) -> Iterable[str]:
    """No process ends by itself."""
    return record.own_ends


Check = Callable[[Record], Iterable[str]]
CHECKS: dict[str, Check] = {
    'answers': check_answers,
    'streams': check_streams,
    'once': check_once,
    'refusals': check_refusals,
    'asked': check_asked,
    'revoked': check_revoked,
    'drained': check_drained,
    'readings': check_readings,
    'invalid': check_invalid,
    'routes': check_routes,
    'times': check_times,
    'served': check_served,
    'recovered': check_recovered,
    'processes': check_processes,
}


@dataclass(slots=True, frozen=True)
class Broken:
    """A promise that was broken."""

    check: str
    what: str

    def __str__(self) -> str:
        """Return it as a line of the report."""
        return f'{self.check}: {self.what}'


def check_all(record: Record) -> list[Broken]:
    """Return every broken case."""
    return [
        Broken(name, what)
        for name, check in CHECKS.items()
        for what in check(record)
    ]


def _is_calm(record: Record, moment_s: float) -> bool:
    return is_within(record.calm, moment_s)


def is_within(spans: Sequence[tuple[float, float]], moment_s: float) -> bool:
    """Tell whether a moment lies in one of the spans."""
    return any(begin_s <= moment_s <= end_s for begin_s, end_s in spans)
