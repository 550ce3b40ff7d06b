"""Weighs sets of causes that explain the crashes of replicas together.

Answers crashes under several requests or prompt parts at the same time. What
two causes have in common is beside more crashes than either, so the heaviest
suspect is the wrong one. Each suspect is described by the crashes that it was
beside, and by its runs that crashed nothing. A set of causes costs what a code
for it would: the choice of each cause, which is dearer for a wide one; for each
cause which of its runs crashed a replica and which did not; and each crash that
none of them explains. The cheapest set is searched by adding and dropping one
cause at a time.

>>> from snipebridge.policy.prompt_runs import PromptRun
>>> crashes = [Crash(f'r{number}', float(number)) for number in range(4)]
>>> for number, crash in enumerate(crashes):
...     cause = 'first' if number % 2 else 'second'
...     run = PromptRun(f'a{number}', 's', ('all', cause), f'd{number}')
...     _ = crash.add(CrashSuspect(run, crash.replica, crash.lost_s, True))
>>> suspects = weigh_suspects(crashes)
>>> for suspect in suspects.values():
...     suspect.sound_runs = 20 if suspect.part.identity == 'all' else 0
>>> causes = explain(list(suspects.values()), isolated_crashes(crashes))
>>> sorted(one.part.identity for one in causes)
['first', 'second']
"""

import math
import statistics
from collections import Counter
from collections.abc import Collection, Container, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain

from snipebridge.policy.prompt_runs import CrashSuspect, SharedPart

# Replicas lost at one moment have lost power together: that is one crash.
ONE_MOMENT_S = 0.03
# A run that had not begun is more likely a bystander.
_WAITING_WEIGHT = 0.5
# Costs in nats. A crash without a cause is a replica that ended by itself.
_UNEXPLAINED_COST = 3.0
_REQUEST_COST = 2.0
_PART_COST = 3.0
# The first part of a prompt is the widest, and costs so much more.
_POSITION_COST = 0.5
# A run of a cause outlives the danger after some multiple of the time that the
# youngest runs beside the crashes had.
_DANGER_FACTOR = 2.0
_DANGER_SLACK_S = 0.1
_MAX_CAUSES = 16


@dataclass(slots=True)
class Crash:
    """A lost replica with the runs that may have crashed it."""

    replica: str
    lost_s: float
    # The heaviest evidence by request.
    suspects: dict[str, CrashSuspect] = field(default_factory=dict)
    # The suspects by what they share with others.
    by_part: dict[SharedPart, list[CrashSuspect]] = field(default_factory=dict)

    def add(self, suspect: CrashSuspect) -> bool:
        """Add a run once however often it is reported; tell if it is news."""
        known = self.suspects.get(suspect.run.request)
        if known is not None and suspect.has_begun <= known.has_begun:
            return False
        self.suspects[suspect.run.request] = suspect
        for part in suspect.run.parts:
            runs = self.by_part.setdefault(part, [])
            if known is not None:
                runs.remove(known)
            runs.append(suspect)
        return True


@dataclass(slots=True)
class Suspect:
    """A request or a prompt part, and the evidence for and against it.

    Sets of crashes are bits of an integer, the first crash the lowest.
    """

    part: SharedPart
    # The crashes that it was beside, and those where one of its runs had begun.
    beside: int = 0
    begun: int = 0
    # Without those that came at the same moment as another one beside it.
    counted: int = 0
    # Attempts with a request, or different requests with a part.
    witnesses: set[str] = field(default_factory=set)
    first_lost_s: float = float('inf')
    last_lost_s: float = float('-inf')
    # The later a part stands in a prompt, the fewer requests share it, and it
    # is the request as a whole that the fewest share.
    position: int = 0
    # What the entries told of its runs elsewhere.
    sound_runs: int = 0
    # Whether it was found before.
    is_known: bool = False
    # How long its runs beside each crash had run, where that is known.
    ages_s: list[list[float]] = field(default_factory=list)
    # Those of them that had outlived the danger by then.
    survivors: int = 0

    @property
    def weight(self) -> float:
        """How many crashes speak against it."""
        return self.weigh(self.beside)

    @property
    def crashes(self) -> int:
        """How many crashes it was beside."""
        return self.beside.bit_count()

    @property
    def count(self) -> int:
        """How many different witnesses there are."""
        return len(self.witnesses)

    @property
    def misses(self) -> int:
        """How many of its runs crashed nothing."""
        return self.sound_runs + self.survivors

    @property
    def share(self) -> float:
        """In which share of its runs it may have crashed a replica."""
        return self.share_of(self.beside)

    def share_of(self, crashes: int) -> float:
        """Return the share of its runs that explains a set of crashes."""
        weight = self.weigh(crashes)
        return weight / (weight + self.misses) if weight else 0.0

    @property
    def narrowness(self) -> tuple[bool, int]:
        """A key that orders suspects, the one that fewest share last."""
        is_request = self.part.is_request
        return is_request, 0 if is_request else self.position

    def weigh(self, crashes: int) -> float:
        """Return how much a set of crashes speaks against it."""
        counted = crashes & self.counted
        begun = (counted & self.begun).bit_count()
        return begun + _WAITING_WEIGHT * (counted.bit_count() - begun)

    def cost(self, explained: int) -> float:
        """Return what it costs as the cause of a set of crashes."""
        entropy = _entropy(self.weigh(explained), self.misses)
        if self.is_known:
            return entropy
        if self.part.is_request:
            return _REQUEST_COST + entropy
        return _PART_COST + _POSITION_COST / (1 + self.position) + entropy

    def add(self, number: int, lost_s: float, runs: list[CrashSuspect]) -> None:
        """Add a crash and its runs there, in the order of time."""
        bit = 1 << number
        self.first_lost_s = min(self.first_lost_s, lost_s)
        self.beside |= bit
        if any(one.has_begun for one in runs):
            self.begun |= bit
        if lost_s - self.last_lost_s > ONE_MOMENT_S:
            self.last_lost_s = lost_s
            self.counted |= bit
        self.witnesses.update(
            one.run.request if self.part.is_request else one.run.digest
            for one in runs
        )
        self.position = max(self.position, runs[0].run.parts.index(self.part))
        self.ages_s.append([one.ran_s for one in runs if one.ran_s > 0])


def weigh_suspects(
    crashes: Collection[Crash], wanted: Container[SharedPart] = ()
) -> dict[SharedPart, Suspect]:
    """Return what was beside several crashes, which are in order of time.

    What is ``wanted`` is returned also where it was beside one only.
    """
    beside = Counter(chain.from_iterable(one.by_part for one in crashes))
    suspects = {
        part: Suspect(part)
        for part, count in beside.items()
        if count > 1 or part in wanted
    }
    for number, crash in enumerate(crashes):
        for part in suspects.keys() & crash.by_part.keys():
            suspects[part].add(number, crash.lost_s, crash.by_part[part])
    for suspect in suspects.values():
        suspect.survivors = _survivors(suspect.ages_s)
    return suspects


def isolated_crashes(crashes: Iterable[Crash]) -> int:
    """Return the set of crashes that came at moments of their own."""
    isolated = 0
    last_s = float('-inf')
    for number, crash in enumerate(crashes):
        if crash.lost_s - last_s > ONE_MOMENT_S:
            isolated |= 1 << number
        last_s = crash.lost_s
    return isolated


def explain(suspects: Sequence[Suspect], crashes: int) -> list[Suspect]:
    """Return the set of causes that explains a set of crashes best.

    What several causes have in common may have been added before any of them
    and then hide them, so each cause is also left out on trial.
    """
    causes = _add_causes(suspects, crashes)
    is_tried: set[SharedPart] = set()
    while not is_tried.issuperset(one.part for one in causes):
        left_out = next(one for one in causes if one.part not in is_tried)
        is_tried.add(left_out.part)
        others = [one for one in suspects if one is not left_out]
        without = _add_causes(others, crashes)
        if explanation_cost(without, crashes) < explanation_cost(
            causes, crashes
        ):
            causes = without
            suspects = others
    return causes


def least_cost(
    suspects: Sequence[Suspect], crashes: int, kept: Suspect
) -> float:
    """Return the cost of the best set that one suspect belongs to."""
    others = [one for one in suspects if one is not kept]
    return explanation_cost(_add_causes(others, crashes, [kept]), crashes)


def _add_causes(
    suspects: Sequence[Suspect], crashes: int, kept: Sequence[Suspect] = ()
) -> list[Suspect]:
    causes = list(kept)
    least = explanation_cost(causes, crashes)
    while len(causes) < _MAX_CAUSES:
        costs = [explanation_cost([*causes, one], crashes) for one in suspects]
        best = min(range(len(costs)), key=costs.__getitem__, default=0)
        if not costs or costs[best] >= least:
            break
        causes.append(suspects[best])
        causes, least = _drop_needless(causes, crashes, kept)
    return causes


def explanation_cost(causes: Collection[Suspect], crashes: int) -> float:
    """Return what a set of causes costs with the crashes it leaves open."""
    cost = 0.0
    for cause, explained in attribute(causes):
        cost += cause.cost(explained)
        crashes &= ~explained
    return cost + _UNEXPLAINED_COST * crashes.bit_count()


def attribute(causes: Collection[Suspect]) -> list[tuple[Suspect, int]]:
    """Return the crashes that each cause of a set explains.

    A crash beside several causes is due to the most likely one.
    """
    attributed = []
    left = ~0
    for cause in sorted(causes, key=_likelihood, reverse=True):
        attributed.append((cause, cause.beside & left))
        left &= ~cause.beside
    return attributed


def _drop_needless(
    causes: list[Suspect], crashes: int, kept: Sequence[Suspect]
) -> tuple[list[Suspect], float]:
    least = explanation_cost(causes, crashes)
    for cause in [one for one in causes if one not in kept]:
        others = [one for one in causes if one is not cause]
        cost = explanation_cost(others, crashes)
        if cost <= least:
            causes, least = others, cost
    return causes, least


def _likelihood(suspect: Suspect) -> tuple[float, bool, int]:
    return suspect.share, *suspect.narrowness


def _entropy(hits: float, misses: float) -> float:
    runs = hits + misses
    return sum(
        part * math.log(runs / part) for part in (hits, misses) if part > 0
    )


def _survivors(ages_s: list[list[float]]) -> int:
    """Count the runs that had outlived the danger when a replica crashed.

    The run that crashed a replica had run as long as the youngest one beside
    it at least.
    """
    known = [one for one in ages_s if one]
    if not known:
        return 0
    danger_s = statistics.median(min(one) for one in known)
    limit_s = _DANGER_FACTOR * danger_s + _DANGER_SLACK_S
    return sum(age_s > limit_s for one in known for age_s in one)
