"""Finds the requests, or the part of their prompts, under which replicas crash.

Answers requests that come at any entry and crash each replica which begins to
answer them: the same one again and again, or different ones that have a part of
their prompts in common. Each entry sees few of the crashes and few of the runs,
so the leader puts together what all of them report. A request is found where
replicas were lost under it in several attempts, a part where they were lost
under different requests with it, and no entry knows a sound run. The narrowest
that explains the crashes is found, and crashes that it explains speak against
no other: what merely ran beside it, or shares a part with it, is not found.

>>> from snipebridge.policy.prompt_runs import PromptRun
>>> crashes = PromptCrashes()
>>> for number in range(3):
...     run = PromptRun(f'a{number}', 's', ('common', 'bad'), f'd{number}')
...     crashes.take(CrashSuspect(run, f'r{number}', 0.0, True))
>>> crashes.find((), (), now_s=0.2), len(crashes.suspected())
([], 2)
>>> crashes.take_sound([SharedPart('s', 'common')], now_s=0.3)
>>> [one.part.identity for one in crashes.find((), (), now_s=1.3)]
['bad']
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from snipebridge.policy.prompt_runs import (
    SAME_LOSS_S,
    SOUND_VALID_S,
    CrashSuspect,
    SharedPart,
)

# Crashes that are due to one part may lie this far apart.
WINDOW_S = 120.0
# Replicas lost under a part until it is found. Two may be lost by chance under
# a part that is asked for rarely, and a part that was found wrongly costs its
# callers more than one more replica.
THRESHOLD = 3.0
# A part that was found before is found again at once.
KNOWN_THRESHOLD = 1.0
# A run that had not begun is more likely a bystander.
_WAITING_WEIGHT = 0.5
# Attempts with a request, or requests with a part: one attempt alone may be a
# bystander that was sent on beside the cause.
_MIN_WITNESSES = 2
# Of parts with nearly the same evidence the most specific one is found.
_CLOSE = 1.0
# Evidence from which on the entries are asked whether a part is sound.
_ASK_WEIGHT = 2.0
# They have answered by then: a heartbeat brings the question, and the next one,
# which is sent at once, the answer.
ANSWER_S = 1.0
# How long after a crash the entries are told of it.
TELL_S = 4.0
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
    weight: float = 0.0
    crashes: int = 0
    # Attempts with a request, or different requests with a part.
    witnesses: set[str] = field(default_factory=set)
    # The later a part stands in a prompt, the fewer requests share it, and it
    # is the request as a whole that the fewest share.
    position: int = 0


@dataclass(slots=True)
class PromptCrashes:
    """Lost replicas with the runs that all entries report of them."""

    _crashes: list[_Crash] = field(default_factory=list)
    _sound_s: dict[SharedPart, float] = field(default_factory=dict)
    # When the entries were first asked about a part.
    _asked_s: dict[SharedPart, float] = field(default_factory=dict)

    def take_loss(self, replica: str, lost_s: float) -> None:
        """Note that a replica was lost at a moment of this clock."""
        self._crash(replica, lost_s)

    def take(self, suspect: CrashSuspect) -> None:
        """Add a run that an entry reports, once however often it does."""
        crash = self._crash(suspect.replica, suspect.lost_s)
        known = crash.suspects.get(suspect.run.request)
        if known is None or suspect.has_begun >= known.has_begun:
            crash.suspects[suspect.run.request] = suspect

    def take_sound(self, parts: Iterable[SharedPart], now_s: float) -> None:
        """Note parts that an entry knows to be sound."""
        for part in parts:
            self._sound_s[part] = now_s

    def recent_losses(self, now_s: float) -> list[tuple[str, float]]:
        """Return the replicas lost lately, and when."""
        return [
            (crash.replica, crash.lost_s)
            for crash in self._crashes
            if now_s - crash.lost_s <= TELL_S
        ]

    def suspected(self) -> list[SharedPart]:
        """Return the parts of which the entries should tell if sound."""
        return list(self._asked_s)

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
        self._discard_old(now_s)
        crashes = _without(self._crashes, quarantined)
        scores = self._scores(crashes, now_s)
        self._ask(scores, known, now_s)
        found: list[FoundPart] = []
        best = self._heaviest(scores, known, now_s)
        while best is not None:
            found.append(best)
            crashes = _without(crashes, (best.part,))
            scores = self._scores(crashes, now_s)
            best = self._heaviest(scores, known, now_s)
        return found

    def is_sound_since(self, part: SharedPart, moment_s: float) -> bool:
        """Tell whether a part was told to be sound after a moment."""
        return self._sound_s.get(part, float('-inf')) > moment_s

    def _ask(
        self,
        scores: dict[SharedPart, _Score],
        known: Collection[SharedPart],
        now_s: float,
    ) -> None:
        weights = {
            part: score.weight
            for part, score in scores.items()
            if score.weight >= _ASK_WEIGHT or part in known
        }
        asked = sorted(weights, key=weights.__getitem__, reverse=True)
        self._asked_s = {
            part: self._asked_s.get(part, now_s)
            for part in asked[:_MAX_SUSPECTED]
        }

    def _heaviest(
        self,
        scores: dict[SharedPart, _Score],
        known: Collection[SharedPart],
        now_s: float,
    ) -> FoundPart | None:
        due = {
            part: score
            for part, score in scores.items()
            if _is_due(score, is_known=part in known)
            and now_s - self._asked_s.get(part, now_s) >= ANSWER_S
        }
        if not due:
            return None
        heaviest = max(score.weight for score in due.values())
        close = [
            part
            for part, score in due.items()
            if score.weight >= heaviest - _CLOSE
        ]
        part = max(close, key=lambda one: (one.is_request, due[one].position))
        return FoundPart(part, due[part].crashes, len(due[part].witnesses))

    def _scores(
        self, crashes: list[_Crash], now_s: float
    ) -> dict[SharedPart, _Score]:
        scores: dict[SharedPart, _Score] = {}
        for crash in crashes:
            for part, suspects in _by_part(crash).items():
                if self._is_sound(part, now_s):
                    continue
                score = scores.setdefault(part, _Score())
                score.weight += max(_weight(one) for one in suspects)
                score.crashes += 1
                score.witnesses.update(
                    one.run.request if part.is_request else one.run.digest
                    for one in suspects
                )
                score.position = max(
                    score.position, suspects[0].run.parts.index(part)
                )
        return scores

    def _is_sound(self, part: SharedPart, now_s: float) -> bool:
        return now_s - self._sound_s.get(part, float('-inf')) <= SOUND_VALID_S

    def _crash(self, replica: str, lost_s: float) -> _Crash:
        for crash in self._crashes:
            is_same = abs(crash.lost_s - lost_s) <= SAME_LOSS_S
            if crash.replica == replica and is_same:
                return crash
        crash = _Crash(replica, lost_s)
        self._crashes.append(crash)
        return crash

    def _discard_old(self, now_s: float) -> None:
        self._crashes = [
            crash
            for crash in self._crashes[-_MAX_CRASHES:]
            if now_s - crash.lost_s <= WINDOW_S
        ]
        self._sound_s = {
            part: sound_s
            for part, sound_s in self._sound_s.items()
            if now_s - sound_s <= SOUND_VALID_S
        }


def _by_part(crash: _Crash) -> dict[SharedPart, list[CrashSuspect]]:
    by_part: dict[SharedPart, list[CrashSuspect]] = {}
    for suspect in crash.suspects.values():
        for part in suspect.run.parts:
            by_part.setdefault(part, []).append(suspect)
    return by_part


def _without(
    crashes: list[_Crash], parts: Collection[SharedPart]
) -> list[_Crash]:
    """Return the crashes that none of the parts explains."""
    return [
        crash
        for crash in crashes
        if not any(part in parts for part in _by_part(crash))
    ]


def _is_due(score: _Score, *, is_known: bool) -> bool:
    if is_known:
        return score.weight >= KNOWN_THRESHOLD
    return score.weight >= THRESHOLD and len(score.witnesses) >= _MIN_WITNESSES


def _weight(suspect: CrashSuspect) -> float:
    return 1.0 if suspect.has_begun else _WAITING_WEIGHT
