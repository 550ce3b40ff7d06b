"""Finds the requests, or the part of their prompts, under which replicas crash.

Answers requests that come at any entry and crash each replica which begins to
answer them: the same one again and again, or different ones that have a part of
their prompts in common. Each entry sees few of the crashes and few of the runs,
so the leader puts together what all of them report. A request is found where
replicas were lost under it in several attempts, a part where they were lost
under different requests with it, and in both cases under a good share of all
runs with it: one sound run is no proof, since it may crash a replica in some of
its runs only, and many are. The narrowest that explains the crashes is found,
and crashes that it explains speak against no other: what merely ran beside it,
or shares a part with it, is not found.

>>> from snipebridge.policy.prompt_runs import PromptRun
>>> crashes = PromptCrashes()
>>> for number in range(3):
...     run = PromptRun(f'a{number}', 's', ('common', 'bad'), f'd{number}')
...     crashes.take(CrashSuspect(run, f'r{number}', number, True))
>>> crashes.find((), (), now_s=2.2), len(crashes.questions())
([], 2)
>>> crashes.take_sound('e1', SharedPart('s', 'common'), SoundRuns(after=20))
>>> [one.part.identity for one in crashes.find((), (), now_s=3.3)]
['bad']
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from snipebridge.policy.prompt_runs import (
    SAME_LOSS_S,
    CrashSuspect,
    SharedPart,
    SoundRuns,
)

# Crashes that are due to one part may lie this far apart.
WINDOW_S = 120.0
# Replicas lost under a part until it is found. Two may be lost by chance under
# a part that is asked for rarely, and a part that was found wrongly costs its
# callers more than one more replica.
THRESHOLD = 3.0
# A part that was found before is found again at once.
KNOWN_THRESHOLD = 1.0
# Replicas lost at one moment have lost power together: that is one crash.
_ONE_MOMENT_S = 0.03
# Of the crashes from the first to the last under a part, it explains this share
# at least: where replicas crash by themselves, some part is beside several.
_MIN_EXPLAINED_SHARE = 0.4
# A run that had not begun is more likely a bystander.
_WAITING_WEIGHT = 0.5
# Attempts with a request, or requests with a part: one attempt alone may be a
# bystander that was sent on beside the cause.
_MIN_WITNESSES = 2
# Share of the runs under which replicas were lost, from which on a request or a
# part may be the cause. A part found wrongly costs more callers.
_MIN_REQUEST_SHARE = 0.3
_MIN_PART_SHARE = 0.4
# Sound runs from before the first crash that count at most: requests and parts
# may turn deadly while they are in use.
_MAX_REQUESTS_BEFORE = 8
_MAX_PARTS_BEFORE = 20
# Of parts with nearly the same evidence the narrowest one is found.
_CLOSE = 1.0
_CLOSE_SHARE = 0.25
# So much more evidence makes another explanation clearly better.
_CLEAR = 2.0
# Evidence from which on the entries are asked whether a part is sound.
_ASK_WEIGHT = 2.0
# They have answered by then: a heartbeat brings the question, and the next one,
# which is sent at once, the answer.
ANSWER_S = 1.0
# How long after a crash the entries are told of it.
TELL_S = 4.0
# Without news crashes only grow old; that is looked at this often.
_SEARCH_S = 2.0
_MAX_CRASHES = 256
_MAX_SUSPECTED = 32


@dataclass(slots=True, frozen=True)
class FoundPart:
    """A part that crashes replicas, and the evidence against it."""

    part: SharedPart
    crashes: int
    # Attempts with a request, or different requests with a part.
    witnesses: int


@dataclass(slots=True)
class _Crash:
    replica: str
    lost_s: float
    # The heaviest evidence by request.
    suspects: dict[str, CrashSuspect] = field(default_factory=dict)


@dataclass(slots=True)
class _Score:
    part: SharedPart
    weight: float = 0.0
    crashes: int = 0
    # Attempts with a request, or different requests with a part.
    witnesses: set[str] = field(default_factory=set)
    first_lost_s: float = float('inf')
    last_lost_s: float = float('-inf')
    last_weight: float = 0.0
    # The later a part stands in a prompt, the fewer requests share it, and it
    # is the request as a whole that the fewest share.
    position: int = 0

    @property
    def count(self) -> int:
        """How many different witnesses there are."""
        return len(self.witnesses)

    def add(self, lost_s: float, weight: float) -> None:
        """Add a crash, in the order of time."""
        self.first_lost_s = min(self.first_lost_s, lost_s)
        self.crashes += 1
        if lost_s - self.last_lost_s > _ONE_MOMENT_S:
            self.last_lost_s = lost_s
            self.last_weight = 0.0
        self.weight += max(0.0, weight - self.last_weight)
        self.last_weight = max(weight, self.last_weight)


@dataclass(slots=True, frozen=True)
class Question:
    """Asks the entries for sound runs with a part around its first crash."""

    part: SharedPart
    first_lost_s: float
    asked_s: float


@dataclass(slots=True, frozen=True)
class _Search:
    """What a search was made from, and when."""

    news: int
    quarantined: frozenset[SharedPart]
    known: frozenset[SharedPart]
    searched_s: float

    def is_like(self, other: '_Search') -> bool:
        return (self.news, self.quarantined, self.known) == (
            other.news,
            other.quarantined,
            other.known,
        )


@dataclass(slots=True)
class PromptCrashes:
    """Lost replicas with the runs that all entries report of them."""

    _crashes: list[_Crash] = field(default_factory=list)
    # What each entry told last, by part.
    _sound: dict[SharedPart, dict[str, SoundRuns]] = field(default_factory=dict)
    _questions: dict[SharedPart, Question] = field(default_factory=dict)
    # Counts what was learned, so that nothing is searched without news.
    _news: int = 0
    _last_search: _Search | None = None
    # All suspects, and what explains the crashes, as of the last search.
    _scores: dict[SharedPart, _Score] = field(default_factory=dict)
    _explanations: list[_Score] = field(default_factory=list)

    def take_loss(self, replica: str, lost_s: float) -> None:
        """Note that a replica was lost at a moment of this clock."""
        self._crash(replica, lost_s)

    def take(self, suspect: CrashSuspect) -> None:
        """Add a run that an entry reports, once however often it does."""
        crash = self._crash(suspect.replica, suspect.lost_s)
        known = crash.suspects.get(suspect.run.request)
        if known is None or suspect.has_begun > known.has_begun:
            crash.suspects[suspect.run.request] = suspect
            self._news += 1

    def take_sound(self, entry: str, part: SharedPart, runs: SoundRuns) -> None:
        """Note how many runs with a part were sound at an entry."""
        if part not in self._questions:
            return
        told = self._sound.setdefault(part, {})
        if told.get(entry) != runs:
            told[entry] = runs
            self._news += 1

    def recent_losses(self, now_s: float) -> list[tuple[str, float]]:
        """Return the replicas lost lately, and when."""
        return [
            (crash.replica, crash.lost_s)
            for crash in self._crashes
            if now_s - crash.lost_s <= TELL_S
        ]

    def questions(self) -> list[Question]:
        """Return the parts of which the entries should tell sound runs."""
        return list(self._questions.values())

    def find(
        self,
        quarantined: Collection[SharedPart],
        known: Collection[SharedPart],
        now_s: float,
    ) -> list[FoundPart]:
        """Return the parts that crash replicas, and choose what to ask.

        ``quarantined`` are kept from replicas already, and ``known`` were
        found before.
        """
        if self._is_settled(quarantined, known, now_s):
            return []
        self._discard_old(now_s)
        self._scores = _scores(self._crashes)
        self._ask(known, now_s)
        found: list[FoundPart] = []
        self._explanations = []
        crashes = self._crashes
        best = self._best(crashes, known)
        while best is not None:
            is_held = best.part in quarantined
            if is_held or self._is_ready(best, known, now_s):
                self._explanations.append(best)
                if not is_held:
                    found.append(FoundPart(best.part, best.crashes, best.count))
            # What a suspect explains that is not ready speaks against no
            # wider one meanwhile.
            crashes = _without(crashes, best.part)
            best = self._best(crashes, known)
        return found

    def _is_settled(
        self,
        quarantined: Collection[SharedPart],
        known: Collection[SharedPart],
        now_s: float,
    ) -> bool:
        """Tell whether a search would find what the last one did."""
        search = _Search(
            self._news, frozenset(quarantined), frozenset(known), now_s
        )
        last = self._last_search
        if last is not None and search.is_like(last):
            waits = any(
                last.searched_s < one.asked_s + ANSWER_S
                for one in self.questions()
            )
            if not waits and now_s - last.searched_s < _SEARCH_S:
                return True
        self._last_search = search
        return False

    def explained_otherwise(
        self, quarantined: Collection[SharedPart]
    ) -> list[SharedPart]:
        """Return held parts whose crashes have a clearly better explanation."""
        explaining = {one.part for one in self._explanations}
        return [
            part
            for part in quarantined
            if part in self._scores
            and part not in explaining
            and self._is_explained(self._scores[part])
        ]

    def _is_explained(self, score: _Score) -> bool:
        better = {
            one.part
            for one in self._explanations
            if one.weight >= score.weight + _CLEAR
        }
        return all(
            any(part in better for part in by_part)
            for by_part in map(_by_part, self._crashes)
            if score.part in by_part
        )

    def is_sound(self, part: SharedPart) -> bool:
        """Tell whether too many runs with a part were sound to suspect it."""
        score = self._scores.get(part)
        return score is not None and not self._may_be_cause(part, score)

    def _ask(self, known: Collection[SharedPart], now_s: float) -> None:
        scores = {
            part: score
            for part, score in self._scores.items()
            if score.weight >= _ASK_WEIGHT or part in known
        }
        heaviest = sorted(
            scores, key=lambda one: scores[one].weight, reverse=True
        )
        asked_s = {one.part: one.asked_s for one in self.questions()}
        self._questions = {
            part: Question(
                part, scores[part].first_lost_s, asked_s.get(part, now_s)
            )
            for part in heaviest[:_MAX_SUSPECTED]
        }
        self._sound = {
            part: runs
            for part, runs in self._sound.items()
            if part in self._questions
        }

    def _best(
        self, crashes: list[_Crash], known: Collection[SharedPart]
    ) -> _Score | None:
        """Return the narrowest suspect of those with the most evidence."""
        suspects = [
            score
            for part, score in _scores(crashes).items()
            if score.weight >= _threshold(part, known)
            and self._may_be_cause(part, score)
            and (part.is_request or _explains_enough(score, crashes))
        ]
        if not suspects:
            return None
        heaviest = max(score.weight for score in suspects)
        least = heaviest - max(_CLOSE, _CLOSE_SHARE * heaviest)
        close = [score for score in suspects if score.weight >= least]
        return max(close, key=_narrowness)

    def _is_ready(
        self, score: _Score, known: Collection[SharedPart], now_s: float
    ) -> bool:
        question = self._questions.get(score.part)
        is_answered = (
            question is not None and now_s - question.asked_s >= ANSWER_S
        )
        return is_answered and (
            score.part in known or score.count >= _MIN_WITNESSES
        )

    def _may_be_cause(self, part: SharedPart, score: _Score) -> bool:
        """Tell whether replicas were lost under enough of its runs."""
        told = self._sound.get(part, {}).values()
        limit = _MAX_REQUESTS_BEFORE if part.is_request else _MAX_PARTS_BEFORE
        before = min(limit, sum(one.before for one in told))
        runs = score.weight + before + sum(one.after for one in told)
        share = _MIN_REQUEST_SHARE if part.is_request else _MIN_PART_SHARE
        return score.weight >= share * runs

    def _crash(self, replica: str, lost_s: float) -> _Crash:
        for crash in self._crashes:
            is_same = abs(crash.lost_s - lost_s) <= SAME_LOSS_S
            if crash.replica == replica and is_same:
                return crash
        crash = _Crash(replica, lost_s)
        self._crashes.append(crash)
        self._news += 1
        return crash

    def _discard_old(self, now_s: float) -> None:
        self._crashes = [
            crash
            for crash in self._crashes[-_MAX_CRASHES:]
            if now_s - crash.lost_s <= WINDOW_S
        ]


def _scores(crashes: list[_Crash]) -> dict[SharedPart, _Score]:
    scores: dict[SharedPart, _Score] = {}
    for crash in sorted(crashes, key=lambda one: one.lost_s):
        for part, suspects in _by_part(crash).items():
            score = scores.setdefault(part, _Score(part))
            score.add(crash.lost_s, max(_weight(one) for one in suspects))
            score.witnesses.update(
                one.run.request if part.is_request else one.run.digest
                for one in suspects
            )
            score.position = max(
                score.position, suspects[0].run.parts.index(part)
            )
    return scores


def _by_part(crash: _Crash) -> dict[SharedPart, list[CrashSuspect]]:
    by_part: dict[SharedPart, list[CrashSuspect]] = {}
    for suspect in crash.suspects.values():
        for part in suspect.run.parts:
            by_part.setdefault(part, []).append(suspect)
    return by_part


def _without(crashes: list[_Crash], part: SharedPart) -> list[_Crash]:
    """Return the crashes that a part does not explain."""
    return [crash for crash in crashes if part not in _by_part(crash)]


def _threshold(part: SharedPart, known: Collection[SharedPart]) -> float:
    return KNOWN_THRESHOLD if part in known else THRESHOLD


def _narrowness(score: _Score) -> tuple[bool, int, float, int]:
    """Return a key that orders close suspects: by width, then by evidence."""
    position = 0 if score.part.is_request else score.position
    return score.part.is_request, position, score.weight, score.count


def _explains_enough(score: _Score, crashes: list[_Crash]) -> bool:
    meanwhile = sum(
        score.first_lost_s <= one.lost_s <= score.last_lost_s for one in crashes
    )
    return score.crashes >= _MIN_EXPLAINED_SHARE * meanwhile


def _weight(suspect: CrashSuspect) -> float:
    return 1.0 if suspect.has_begun else _WAITING_WEIGHT
