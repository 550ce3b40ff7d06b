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

from snipebridge.policy.crash_causes import (
    Crash,
    Suspect,
    attribute,
    explain,
    explanation_cost,
    isolated_crashes,
    least_cost,
    weigh_suspects,
)
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
# Of the crashes from the first to the last under a part, it explains this share
# at least: where replicas crash by themselves, some part is beside several.
_MIN_EXPLAINED_SHARE = 0.4
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
# So much cheaper an explanation without a suspect is clearly better.
_CLEAR_COST = 4.0
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


@dataclass(slots=True, frozen=True)
class WeighedCause:
    """A cause that explains crashes best, held or not, for the log."""

    service: str
    part: str
    crashes: int
    weight: float
    witnesses: int
    sound_runs: int
    survivors: int


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

    _crashes: list[Crash] = field(default_factory=list)
    # What each entry told last, by part.
    _sound: dict[SharedPart, dict[str, SoundRuns]] = field(default_factory=dict)
    _questions: dict[SharedPart, Question] = field(default_factory=dict)
    # Counts what was learned, so that nothing is searched without news.
    _news: int = 0
    _last_search: _Search | None = None
    # As of the last search: all suspects, the crashes at moments of their own,
    # the causes that explain them best, and those that are held or found.
    _suspects: dict[SharedPart, Suspect] = field(default_factory=dict)
    _isolated: int = 0
    _causes: list[Suspect] = field(default_factory=list)
    _established: list[Suspect] = field(default_factory=list)
    # Whether held parts were explained otherwise in the last search.
    _explained: dict[SharedPart, bool] = field(default_factory=dict)

    def take_loss(self, replica: str, lost_s: float) -> None:
        """Note that a replica was lost at a moment of this clock."""
        self._crash(replica, lost_s)

    def take(self, suspect: CrashSuspect) -> None:
        """Add a run that an entry reports, once however often it does."""
        crash = self._crash(suspect.replica, suspect.lost_s)
        if crash.add(suspect):
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

    @property
    def crash_count(self) -> int:
        """How many crashes are known."""
        return len(self._crashes)

    def causes(self) -> list[WeighedCause]:
        """Return what explained the crashes best in the last search."""
        return [
            WeighedCause(
                one.part.service,
                one.part.identity,
                one.crashes,
                one.weight,
                one.count,
                one.sound_runs,
                one.survivors,
            )
            for one in self._causes
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
        self._explained = {}
        self._discard_old(now_s)
        self._crashes.sort(key=lambda one: one.lost_s)
        self._suspects = weigh_suspects(self._crashes, {*quarantined, *known})
        self._ask(known, now_s)
        self._complete(known)
        self._isolated = isolated_crashes(self._crashes)
        self._causes = self._explain()
        self._established = [
            one
            for one, explained in attribute(self._causes)
            if one.part in quarantined
            or self._is_ready(one, explained, known, now_s)
        ]
        return [
            FoundPart(one.part, one.crashes, one.count)
            for one in self._established
            if one.part not in quarantined
        ]

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
        for part in quarantined:
            if part not in self._explained:
                self._explained[part] = self._is_explained(part)
        return [part for part in quarantined if self._explained[part]]

    def _is_explained(self, part: SharedPart) -> bool:
        suspect = self._suspects.get(part)
        if suspect is None or suspect in self._causes:
            return False
        beside = [
            one for one in self._established if one.beside & suspect.beside
        ]
        left = suspect.beside
        for one in beside:
            left &= ~one.beside
        # Lifting it frees no request that has another held part as well.
        if left or self._is_within(part, beside):
            return False
        # Whatever explains its crashes may be the bystander itself.
        least = explanation_cost(self._causes, self._isolated) + _CLEAR_COST
        return all(
            least_cost(
                [one for one in self._candidates() if one is not other],
                self._isolated,
                suspect,
            )
            >= least
            for other in beside
        )

    def _is_within(self, part: SharedPart, causes: Collection[Suspect]) -> bool:
        """Tell whether each run with a part has one of the causes as well."""
        parts = {one.part for one in causes}
        return all(
            parts.intersection(one.run.parts)
            for crash in self._crashes
            for one in crash.by_part.get(part, ())
        )

    def is_sound(self, part: SharedPart) -> bool:
        """Tell whether too many runs with a part were sound to suspect it."""
        suspect = self._suspects.get(part)
        return suspect is not None and not _may_be_cause(suspect)

    def _ask(self, known: Collection[SharedPart], now_s: float) -> None:
        suspects = {
            part: suspect
            for part, suspect in self._suspects.items()
            if suspect.weight >= _ASK_WEIGHT or part in known
        }
        heaviest = sorted(
            suspects, key=lambda one: suspects[one].weight, reverse=True
        )
        asked_s = {one.part: one.asked_s for one in self.questions()}
        self._questions = {
            part: Question(
                part, suspects[part].first_lost_s, asked_s.get(part, now_s)
            )
            for part in heaviest[:_MAX_SUSPECTED]
        }
        self._sound = {
            part: runs
            for part, runs in self._sound.items()
            if part in self._questions
        }

    def _complete(self, known: Collection[SharedPart]) -> None:
        """Add to the suspects what their crashes do not tell."""
        for part, suspect in self._suspects.items():
            suspect.is_known = part in known
            told = self._sound.get(part, {}).values()
            limit = (
                _MAX_REQUESTS_BEFORE if part.is_request else _MAX_PARTS_BEFORE
            )
            before = min(limit, sum(one.before for one in told))
            suspect.sound_runs = before + sum(one.after for one in told)

    def _candidates(self) -> list[Suspect]:
        return [
            self._suspects[part]
            for part in self._questions
            if _may_be_cause(self._suspects[part])
        ]

    def _explain(self) -> list[Suspect]:
        """Return what explains the crashes best, ready to be held or not."""
        causes = explain(self._candidates(), self._isolated)
        return [
            one
            for one in causes
            if one.part.is_request or self._explains_enough(one, causes)
        ]

    def _explains_enough(
        self, suspect: Suspect, causes: Collection[Suspect]
    ) -> bool:
        """Tell whether it explains enough of what others leave unexplained."""
        explained = 0
        for one in causes:
            if one is not suspect and one.weight >= THRESHOLD:
                explained |= one.beside
        explained &= ~suspect.beside
        meanwhile = sum(
            suspect.first_lost_s <= one.lost_s <= suspect.last_lost_s
            and not explained >> number & 1
            for number, one in enumerate(self._crashes)
        )
        return suspect.crashes >= _MIN_EXPLAINED_SHARE * meanwhile

    def _is_ready(
        self,
        suspect: Suspect,
        explained: int,
        known: Collection[SharedPart],
        now_s: float,
    ) -> bool:
        """Tell whether there is enough evidence to hold a cause.

        For the share of its runs the crashes of other causes do not count.
        """
        part = suspect.part
        if now_s - self._questions[part].asked_s < ANSWER_S:
            return False
        if part in known:
            return suspect.weight >= KNOWN_THRESHOLD
        return (
            suspect.weight >= THRESHOLD
            and suspect.count >= _MIN_WITNESSES
            and suspect.share_of(explained) >= _least_share(part)
        )

    def _crash(self, replica: str, lost_s: float) -> Crash:
        for crash in self._crashes:
            is_same = abs(crash.lost_s - lost_s) <= SAME_LOSS_S
            if crash.replica == replica and is_same:
                return crash
        crash = Crash(replica, lost_s)
        self._crashes.append(crash)
        self._news += 1
        return crash

    def _discard_old(self, now_s: float) -> None:
        self._crashes = [
            crash
            for crash in self._crashes[-_MAX_CRASHES:]
            if now_s - crash.lost_s <= WINDOW_S
        ]


def _may_be_cause(suspect: Suspect) -> bool:
    """Tell whether replicas were lost under enough of its runs."""
    return suspect.share >= _least_share(suspect.part)


def _least_share(part: SharedPart) -> float:
    return _MIN_REQUEST_SHARE if part.is_request else _MIN_PART_SHARE
