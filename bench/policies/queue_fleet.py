"""Entries with the real policies, before replicas that are queues."""

import random
from collections import Counter
from dataclasses import dataclass

from bench.policies.event_loop import Action, Loop
from bench.policies.queues import DEADLINE_S, REPORT_LAG_S, SLOTS, Engine, Job
from snipebridge.errors import Ran
from snipebridge.policy.admission import (
    AdmissionRequest,
    Admitted,
    Queued,
    make_admission,
)
from snipebridge.policy.concurrency import make_concurrency_limit
from snipebridge.policy.health import HealthSignal, Outcome, UpstreamState
from snipebridge.policy.prefixes import Prefix
from snipebridge.policy.replica_selection import (
    NoReplica,
    ReplicaRequest,
    ReplicaView,
    make_replica_selector,
)
from snipebridge.policy.retries import FailedAttempt, make_retry_policy
from snipebridge.policy.shares import Demand, make_share_plan

POOL = 'models'
VERSION = 'small@1'
DATA_CENTRES = ('a', 'b', 'c')
REPLICAS = 10
MEAN_DECODE_TOKENS = 120
NEAR_S = 0.0005
FAR_S = 0.0015
POLL_INTERVAL_S = 0.5
HEARTBEAT_S = 0.5
SYSTEM_TOKENS = 512
SESSION_TOKENS = 1024
TAIL_TOKENS = 256
SESSIONS = 400
EXPECTED_S = 2.0
SIGN_AFTER_S = 1.0
SIGN_VALID_S = 2.0
# Requests the whole fleet keeps at the replicas, by their slots: some more
# than run, so that parts by entry leave no slot idle.
FLEET_CONCURRENCY = 1.25


@dataclass(slots=True, frozen=True)
class Account:
    """A client account and its part of the requests."""

    name: str
    weight: float = 1.0
    rate_share: float = 1.0
    priority: int = 1
    # Entries that its requests arrive at; all when empty.
    entries: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Setup:
    """What differs between the runs."""

    seed: int
    kind: str = 'expected_wait'
    entries: int = 6
    random_choices: int = 2
    shared_prompts: bool = True
    admission: bool = False
    shares: bool = False
    budget: bool = True
    signs: bool = False
    report_lag_s: float = REPORT_LAG_S
    slow_engines: int = 0
    accounts: tuple[Account, ...] = (Account('a'),)


class Entry:
    """An entry with the policies under test."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        """Build the policies of one entry."""
        setup = fleet.setup
        self.fleet = fleet
        self.loop = fleet.loop
        self.name = f'entry-{number}'
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.rng = random.Random(f'{setup.seed} {self.name}')
        self.book = make_replica_selector(
            self.data_centre,
            self.name,
            setup.kind,
            random_choices=setup.random_choices,
        )
        self.book.set_replicas(fleet.views(), 0.0)
        self.admission = make_admission()
        self.limit = make_concurrency_limit(
            FLEET_CONCURRENCY * REPLICAS * SLOTS / setup.entries,
            self.name,
        )
        self.admission.set_limit(POOL, self.limit.limit, 0.0)
        self.retries = make_retry_policy()
        self.waiting: dict[int, Job] = {}
        self.running: Counter[str] = Counter()
        self.cache_sequences: Counter[str] = Counter()
        self.signs_sent: dict[str, float] = {}

    def start(self) -> None:
        """Begin to poll, adapt and report, out of step with the others."""
        for interval_s, action in (
            (POLL_INTERVAL_S, self._poll),
            (0.25, self._adapt),
            (0.02, self._expire),
            (HEARTBEAT_S, self._heartbeat),
        ):
            self._start_timer(interval_s, action)

    def arrive(self, job: Job) -> None:
        """Take a request from a caller."""
        if not self.fleet.setup.admission:
            self._dispatch(job)
            return
        result = self.admission.offer(
            AdmissionRequest(
                job.account,
                job.weight,
                POOL,
                job.priority,
                job.arrived_s + DEADLINE_S,
                EXPECTED_S,
            ),
            self.loop.now_s,
        )
        if isinstance(result, Admitted):
            job.ticket = result.ticket
            self._dispatch(job)
        elif isinstance(result, Queued):
            self.waiting[result.ticket] = job
        else:
            job.refused = True

    def first_token(self, job: Job, engine: Engine) -> None:
        """Take the first token of an answer in."""
        now_s = self.loop.now_s
        if job.first_token_s is None:
            job.first_token_s = now_s + self._way_s(engine)
        self.book.record_first_token(engine.name, str(job.number), now_s)
        waited_s = now_s - job.arrived_s
        self.limit.record_first_token(waited_s)
        if self.fleet.setup.signs and waited_s > SIGN_AFTER_S:
            self._send_sign(engine)

    def end(self, job: Job, engine: Engine) -> None:
        """Take the end of an answer in."""
        job.end_s = self.loop.now_s + self._way_s(engine)
        self._note_end(job, engine, Outcome.ANSWERED)
        self.retries.record_success(POOL)
        self._release(job)

    def lose(self, job: Job, engine: Engine, ran: Ran) -> None:
        """Decide what follows a failed attempt."""
        outcome = Outcome.UNREACHABLE if ran is Ran.NO else Outcome.FAILED
        self._note_end(job, engine, outcome)
        now_s = self.loop.now_s
        attempt = FailedAttempt(
            POOL,
            ran,
            is_idempotent=True,
            attempts=job.attempts,
            deadline_s=job.arrived_s + DEADLINE_S,
            expected_s=EXPECTED_S,
        )
        delay_s = 0.1
        allowed = job.attempts < 3
        if self.fleet.setup.budget:
            decision = self.retries.decide(attempt, now_s, self.rng)
            delay_s = decision.delay_s
            allowed = decision.allowed
        if allowed:
            self.fleet.retries += 1
            self.loop.after(delay_s, lambda: self._dispatch(job))
        else:
            job.refused = True
            self._release(job)

    def record_signal(self, sign: HealthSignal) -> None:
        """Take in a sign that control passes on."""
        self.book.health.record_signal(sign, self.loop.now_s)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Take in this entry's shares of the fleet."""
        now_s = self.loop.now_s
        admitted = self.admission.set_shares(POOL, shares, now_s, 3.0)
        self._go_on(admitted)

    def _dispatch(self, job: Job) -> None:
        now_s = self.loop.now_s
        request = ReplicaRequest(
            VERSION,
            job.prompt_tokens,
            job.prefixes,
            job.priority,
        )
        choice = self.book.choose(request, now_s, self.rng)
        if isinstance(choice, NoReplica):
            job.refused = True
            self.retries.mark_pool_empty(POOL, now_s + choice.retry_after_s)
            self._release(job)
            return
        job.attempts += 1
        self.running[job.account] += 1
        self.book.record_dispatch(
            choice.name,
            str(job.number),
            choice.prefill_tokens,
            job.decode_tokens,
            now_s,
        )
        self.book.prefixes.record_dispatch(choice.name, job.prefixes, now_s)
        engine = self.fleet.engines[choice.name]
        self.loop.after(self._way_s(engine), lambda: self._submit(job, engine))

    def _submit(self, job: Job, engine: Engine) -> None:
        if not engine.submit(job):
            self.lose(job, engine, Ran.NO)

    def _note_end(self, job: Job, engine: Engine, outcome: Outcome) -> None:
        self.running[job.account] -= 1
        number = str(job.number)
        self.book.record_end(engine.name, number, outcome, self.loop.now_s)

    def _release(self, job: Job) -> None:
        if job.ticket:
            now_s = self.loop.now_s
            self._go_on(self.admission.release(job.ticket, now_s))

    def _go_on(self, admitted: list[Admitted]) -> None:
        for result in admitted:
            job = self.waiting.pop(result.ticket)
            job.ticket = result.ticket
            self._dispatch(job)

    def _way_s(self, engine: Engine) -> float:
        return NEAR_S if engine.data_centre == self.data_centre else FAR_S

    def _start_timer(
        self,
        interval_s: float,
        action: Action,
    ) -> None:
        phase_s = self.rng.random() * interval_s
        self.loop.after(phase_s, lambda: self.loop.every(interval_s, action))

    def _poll(self) -> None:
        waiting = 0
        live = 0
        for engine in self.fleet.engines.values():
            if engine.is_down:
                continue
            report = engine.report(self.fleet.setup.report_lag_s)
            self.book.record_report(engine.name, report, self.loop.now_s)
            waiting += report.waiting
            live += 1
            after = self.cache_sequences[engine.name] - 1
            events = engine.cache_events(after, self.rng)
            if events:
                last = events[-1].sequence
                self.cache_sequences[engine.name] = last + 1
                self.book.prefixes.record_events(
                    engine.name,
                    events,
                    last,
                    self.loop.now_s,
                )
        self.limit.record_load(waiting, live * SLOTS, self.loop.now_s)

    def _adapt(self) -> None:
        now_s = self.loop.now_s
        limit = self.limit.update(self.admission.running(POOL), now_s)
        self._go_on(self.admission.set_limit(POOL, limit, now_s))

    def _expire(self) -> None:
        for refused in self.admission.expire(self.loop.now_s):
            self.waiting.pop(refused.ticket).refused = True

    def _heartbeat(self) -> None:
        if not self.fleet.setup.shares:
            return
        waiting = Counter(job.account for job in self.waiting.values())
        demands = [
            Demand(account.name, POOL, running, waiting[account.name])
            for account in self.fleet.setup.accounts
            for running in (self.running[account.name],)
        ]
        self.fleet.heartbeat(self, demands)

    def _send_sign(self, engine: Engine) -> None:
        now_s = self.loop.now_s
        if now_s - self.signs_sent.get(engine.name, -SIGN_VALID_S) < 1:
            return
        self.signs_sent[engine.name] = now_s
        delay_s = self.fleet.sign_rng.random() * HEARTBEAT_S
        self.loop.after(delay_s, lambda: self.fleet.pass_on(engine.name))


class Fleet:
    """Entries, replicas, control and the source of the requests."""

    def __init__(self, setup: Setup) -> None:
        """Build all parts for one run."""
        self.setup = setup
        self.loop = Loop()
        self.rng = random.Random(f'{setup.seed} source')
        # Apart, so that signs leave the arrivals as they are.
        self.sign_rng = random.Random(f'{setup.seed} signs')
        self.engines = {
            name: Engine(self.loop, name, data_centre)
            for name, data_centre in (
                (f'engine-{number}', DATA_CENTRES[number % 3])
                for number in range(REPLICAS)
            )
        }
        for number in range(setup.slow_engines):
            self.engines[f'engine-{number}'].slowness = 2.0
        self.jobs: list[Job] = []
        self.retries = 0
        self.rate = 0.0
        self.plan = make_share_plan()
        slots = REPLICAS * SLOTS
        self.plan.set_concurrency(POOL, int(FLEET_CONCURRENCY * slots))
        weights = {item.name: item.weight for item in setup.accounts}
        self.plan.set_weights(weights)
        self._sign_sequence = 0
        self.entries = [Entry(self, number) for number in range(setup.entries)]
        for entry in self.entries:
            entry.start()

    def views(self) -> list[ReplicaView]:
        """Return the replicas as the configuration names them."""
        return [
            ReplicaView(
                engine.name,
                engine.data_centre,
                POOL,
                frozenset({VERSION}),
                SLOTS,
            )
            for engine in self.engines.values()
        ]

    def run(self, rate: float, duration_s: float) -> None:
        """Let requests arrive at a rate for a while."""
        is_idle = self.rate <= 0
        self.rate = rate
        if is_idle:
            self.loop.after(0.0, self._arrive)
        self.loop.run_until(self.loop.now_s + duration_s)

    def break_pool(self) -> None:
        """Take all replicas down with what they run."""
        for engine in self.engines.values():
            engine.fail_all()

    def mend_pool(self) -> None:
        """Bring all replicas back, empty."""
        for engine in self.engines.values():
            engine.is_down = False

    def between(self, start_s: float, end_s: float) -> list[Job]:
        """Return the requests that arrived in a time."""
        return [job for job in self.jobs if start_s <= job.arrived_s < end_s]

    def heartbeat(self, entry: Entry, demands: list[Demand]) -> None:
        """Answer the demands of an entry with its shares."""
        now_s = self.loop.now_s
        self.plan.record_demands(entry.name, demands, now_s)
        shares = {
            share.account: share.share
            for share in self.plan.shares(entry.name, now_s)
        }
        self.loop.after(2 * FAR_S, lambda: entry.set_shares(shares))

    def pass_on(self, engine: str) -> None:
        """Tell all entries with their next heartbeat of an overload."""
        self._sign_sequence += 1
        sign = HealthSignal(
            engine,
            UpstreamState.OVERLOADED,
            self._sign_sequence,
            SIGN_VALID_S,
        )
        for entry in self.entries:
            self._pass_on_to(entry, sign)

    def _pass_on_to(self, entry: Entry, sign: HealthSignal) -> None:
        delay_s = self.sign_rng.random() * HEARTBEAT_S
        self.loop.after(delay_s, lambda: entry.record_signal(sign))

    def _arrive(self) -> None:
        accounts = self.setup.accounts
        rates = [account.rate_share for account in accounts]
        account = self.rng.choices(accounts, rates)[0]
        numbers = account.entries or range(self.setup.entries)
        entry = self.entries[self.rng.choice(numbers)]
        job = self._job(account, entry)
        self.jobs.append(job)
        entry.arrive(job)
        self.loop.after(self.rng.expovariate(self.rate), self._arrive)

    def _job(self, account: Account, entry: Entry) -> Job:
        number = len(self.jobs)
        session = self.rng.randrange(SESSIONS)
        key = f'{session}' if self.setup.shared_prompts else f'only {number}'
        prefixes = []
        tokens = 64
        while tokens <= SYSTEM_TOKENS + SESSION_TOKENS:
            is_system = tokens <= SYSTEM_TOKENS and self.setup.shared_prompts
            owner = account.name if is_system else key
            prefixes.append(Prefix(f'{owner} {tokens}', tokens))
            tokens *= 2
        decode = self.rng.expovariate(1 / MEAN_DECODE_TOKENS)
        return Job(
            number,
            account.name,
            account.weight,
            account.priority,
            tuple(prefixes),
            SYSTEM_TOKENS + SESSION_TOKENS + TAIL_TOKENS,
            max(1, round(decode)),
            self.loop.now_s,
            entry,
        )
