"""Synthetic request streams through the choice of versions.

Several entries share one stream; each has its own book and choice, and their
ratings are summed now and then as the heartbeats do. Two thirds of the
requests suit the cheap version. Ratings come late and only for a part.
"""

import heapq
import random
import time
from dataclasses import dataclass, field

from snipebridge.policy.cascades import Scorer
from snipebridge.policy.quality import QualityEstimator, make_quality_estimator
from snipebridge.policy.version_selection import (
    VersionCandidate,
    VersionDecision,
    VersionRequest,
    make_version_selector,
)

SMALL = 'small@1'
LARGE = 'large@1'
LARGE_COST_MICROS = 100.0
LARGE_QUALITY = 0.98
SUITED_QUALITY = 0.97
UNSUITED_QUALITY = 0.6
TARGET = 0.95
TASKS = ('caption', 'summary', 'translation', 'memo', 'question', 'income')
UNSUITED_TASKS = ('memo', 'translation')
LENGTHS = ('short', 'medium', 'long')
PROMPT_TOKENS = {'short': 200, 'medium': 1500, 'long': 6000}
ACCOUNT_COUNT = 10
ENTRY_COUNT = 6
REQUESTS_PER_S = 80.0
MERGE_INTERVAL_S = 0.5
RATING_DELAY_S = 5.0


@dataclass(slots=True)
class ChoiceSetting:
    """One policy under one condition."""

    label: str
    kind: str
    rated_share: float = 0.5
    scorer: Scorer | None = None
    explored_share: float = 0.1


@dataclass(slots=True)
class ChoiceFigures:
    """What a policy came to; shares of all requests, cost of strongest."""

    label: str
    good_share: float
    worst_account_share: float
    cost_share: float
    cheap_share: float
    cascade_share: float
    explored_share: float


@dataclass(slots=True, order=True)
class _LateRating:
    due_s: float
    entry: int = field(compare=False)
    request: VersionRequest = field(compare=False)
    version: str = field(compare=False)
    expected_quality: float = field(compare=False)
    good: bool = field(compare=False)


class ChoiceStream:
    """Drives one policy over one seeded stream."""

    def __init__(
        self,
        setting: ChoiceSetting,
        seed: int,
        cheap_cost_share: float,
    ) -> None:
        """Start entries without ratings."""
        self._setting = setting
        self._traffic = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._books = [make_quality_estimator() for _ in range(ENTRY_COUNT)]
        self._fleet = make_quality_estimator()
        self._choices = [self._make_choice(book) for book in self._books]
        self._candidates = [
            VersionCandidate(SMALL, LARGE_COST_MICROS * cheap_cost_share, 0.7),
            VersionCandidate(LARGE, LARGE_COST_MICROS, LARGE_QUALITY),
        ]
        self._late: list[_LateRating] = []
        self._good: dict[str, list[bool]] = {}
        self._cost_micros = 0.0
        self._strongest_micros = 0.0
        self._cheap = 0
        self._cascades = 0
        self._explored = 0

    def run(self, count: int) -> ChoiceFigures:
        """Send the requests and return the figures."""
        now_s = 0.0
        merge_at_s = MERGE_INTERVAL_S
        for _ in range(count):
            now_s += self._traffic.expovariate(REQUESTS_PER_S)
            self._rate_due(now_s)
            if now_s >= merge_at_s:
                self._merge(now_s)
                merge_at_s = now_s + MERGE_INTERVAL_S
            self._send(now_s)
        return self._figures(count)

    def _make_choice(self, book: QualityEstimator):
        return make_version_selector(
            self._setting.kind,
            book,
            scorer=self._setting.scorer,
            exploration_rate=self._setting.explored_share,
        )

    def _send(self, now_s: float) -> None:
        request = self._make_request()
        entry = self._traffic.randrange(ENTRY_COUNT)
        decision = self._choices[entry].choose(
            request,
            self._candidates,
            now_s,
            self._rng,
        )
        good = self._answer(request, decision)
        self._good.setdefault(request.account, []).append(good)
        self._cheap += decision.version == SMALL
        self._cascades += decision.mode == 'cascade'
        self._explored += decision.reason == 'exploration'
        # The draft of a cascade alone is rated as its own version's answer.
        if decision.mode == 'cascade':
            return
        if self._rng.random() < self._setting.rated_share:
            rating = _LateRating(
                now_s + self._rng.expovariate(1 / RATING_DELAY_S),
                entry,
                request,
                decision.version,
                decision.expected_quality,
                good,
            )
            heapq.heappush(self._late, rating)

    def _make_request(self) -> VersionRequest:
        traffic = self._traffic
        length = traffic.choice(LENGTHS)
        task = traffic.choice(TASKS)
        # A few accounts are large.
        account = min(int(traffic.expovariate(0.4)), ACCOUNT_COUNT - 1)
        return VersionRequest(
            account=f'account-{account}',
            quality_target=TARGET,
            task=task,
            length_class=length,
            prompt_tokens=PROMPT_TOKENS[length],
            expected_completion_tokens=150,
            streamed=traffic.random() < 0.4,
            priority=0 if task == 'caption' else 2,
        )

    def _answer(
        self,
        request: VersionRequest,
        decision: VersionDecision,
    ) -> bool:
        tokens = request.prompt_tokens + request.expected_completion_tokens
        cost_micros = {
            one.name: one.cost_micros_per_token * tokens
            for one in self._candidates
        }
        self._strongest_micros += cost_micros[LARGE]
        self._cost_micros += cost_micros[decision.version]
        good = self._is_good(request, decision.version)
        scorer = self._setting.scorer
        if decision.escalate_to is None or scorer is None:
            return good
        accept = scorer.sensitivity if good else 1 - scorer.specificity
        if self._rng.random() < accept:
            return good
        self._cost_micros += cost_micros[decision.escalate_to]
        return self._is_good(request, decision.escalate_to)

    def _is_good(self, request: VersionRequest, version: str) -> bool:
        quality = LARGE_QUALITY
        if version == SMALL:
            quality = SUITED_QUALITY
            if request.task in UNSUITED_TASKS:
                quality = UNSUITED_QUALITY
        return self._rng.random() < quality

    def _rate_due(self, now_s: float) -> None:
        while self._late and self._late[0].due_s <= now_s:
            one = heapq.heappop(self._late)
            self._books[one.entry].observe(
                one.version,
                one.request.task,
                one.request.length_class,
                one.good,
                now_s,
            )
            self._choices[one.entry].record_rating(
                one.request.account,
                one.expected_quality,
                one.good,
            )

    def _merge(self, now_s: float) -> None:
        for book in self._books:
            self._fleet.add_cells(book.take_deltas(), now_s)
        cells = self._fleet.cells(now_s)
        for book in self._books:
            book.merge_fleet(cells, now_s)

    def _figures(self, count: int) -> ChoiceFigures:
        shares = [sum(good) / len(good) for good in self._good.values()]
        all_good = sum(sum(good) for good in self._good.values())
        return ChoiceFigures(
            self._setting.label,
            all_good / count,
            min(shares),
            self._cost_micros / self._strongest_micros,
            self._cheap / count,
            self._cascades / count,
            self._explored / count,
        )


def choice_settings() -> list[ChoiceSetting]:
    """Return the policies and conditions to compare."""
    scorer = Scorer(0.95, 0.95)
    return [
        ChoiceSetting('strongest', 'strongest'),
        ChoiceSetting('cheapest', 'cheapest'),
        ChoiceSetting('fixed split', 'fixed_split'),
        ChoiceSetting('bound', 'bound'),
        ChoiceSetting('running share', 'running_share'),
        ChoiceSetting('budget', 'budget'),
        ChoiceSetting('budget, cascades', 'budget', scorer=scorer),
        ChoiceSetting('budget, 1 in 10 rated', 'budget', rated_share=0.1),
        ChoiceSetting('budget, rater down', 'budget', rated_share=0.0),
    ]


def time_choice_us(version_count: int, calls: int) -> tuple[float, float]:
    """Return mean and 99th percentile of a decision, in us of the processor."""
    rng = random.Random(1)
    book = make_quality_estimator()
    choice = make_version_selector('budget', book, scorer=Scorer(0.9, 0.9))
    candidates = [
        VersionCandidate(f'model@{number}', 10.0 * (number + 1), 0.8)
        for number in range(version_count)
    ]
    times_us = []
    for number in range(calls):
        request = VersionRequest('a', 0.95, rng.choice(TASKS), 'short', 100, 9)
        now_s = number / 100
        start_ns = time.thread_time_ns()
        decision = choice.choose(request, candidates, now_s, rng)
        times_us.append((time.thread_time_ns() - start_ns) / 1000)
        good = rng.random() < 0.9
        book.observe(decision.version, request.task, 'short', good, now_s)
    times_us.sort()
    return sum(times_us) / calls, times_us[calls * 99 // 100]
