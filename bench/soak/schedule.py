"""Which fault strikes what, and when: drawn from a seed before the run.

Faults come in series and overlap, also of different kinds on one target.
Only a lost folder of a control process is kept apart from other faults of
control: the promise is to bear one lost disk at a time.

>>> first, second = (draw(7, 60.0, FLEET) for _ in range(2))
>>> first == second, len(first) > 10
(True, True)
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

# Mean time between the starts of two faults, and between those of a series.
_GAP_S = 0.5
_SERIES_GAP_S = 0.25
_SERIES_SHARE = 0.3
_SERIES_MOST = 4
# Faults start in the first part of each cycle; in the rest the system is left
# alone, so that what holds in calm times is checked again and again.
_CYCLE_S = 16.0
_STORM_S = 8.0
# Shorter ones end before anything times out, longer ones after all leases.
_LENGTHS_S = (0.2, 4.5)
# After a lost folder a control process has to read everything again, and
# before it the others must have done so.
_LOSS_APART_S = 9.0


class FaultKind(StrEnum):
    """What happens; see `bench.soak.faults`."""

    KILL = 'kill'
    FREEZE = 'freeze'
    TERM = 'term'
    HANG_UP = 'hang up'
    LOSE_FOLDER = 'lose folder'
    TEAR_TAIL = 'tear tail'
    DELAY = 'delay'
    RESET = 'reset'
    ONE_WAY = 'one way'
    SILENCE = 'silence'
    FAIL = 'fail'
    REFUSE = 'refuse'
    LOSE_ANSWERS = 'lose answers'
    CUT_ANSWERS = 'cut answers'
    ANSWER_TWICE = 'answer twice'
    BREAK_STREAMS = 'break streams'
    OTHER_ID = 'other id'
    REPLACE = 'replace'
    CRASH = 'crash'
    CHANGE = 'change'
    RACE = 'race'
    BAD_CHANGE = 'bad change'
    REVOKE = 'revoke'
    LIST_DOWN = 'list down'


class Target(StrEnum):
    """What kind of thing a fault strikes."""

    CONTROL = 'control'
    ENTRY = 'entry'
    REPLICA = 'replica'
    OPERATOR = 'operator'


KINDS = {
    Target.CONTROL: (
        FaultKind.KILL,
        FaultKind.FREEZE,
        FaultKind.TERM,
        FaultKind.HANG_UP,
        FaultKind.LOSE_FOLDER,
        FaultKind.TEAR_TAIL,
    ),
    Target.ENTRY: (
        FaultKind.KILL,
        FaultKind.FREEZE,
        FaultKind.TERM,
        FaultKind.HANG_UP,
    ),
    Target.REPLICA: (
        FaultKind.DELAY,
        FaultKind.RESET,
        FaultKind.ONE_WAY,
        FaultKind.SILENCE,
        FaultKind.FAIL,
        FaultKind.REFUSE,
        FaultKind.LOSE_ANSWERS,
        FaultKind.CUT_ANSWERS,
        FaultKind.ANSWER_TWICE,
        FaultKind.BREAK_STREAMS,
        FaultKind.OTHER_ID,
        FaultKind.REPLACE,
        FaultKind.CRASH,
    ),
    Target.OPERATOR: (
        FaultKind.CHANGE,
        FaultKind.RACE,
        FaultKind.BAD_CHANGE,
        FaultKind.REVOKE,
        FaultKind.LIST_DOWN,
    ),
}
_TARGET_WEIGHTS = {
    Target.CONTROL: 2,
    Target.ENTRY: 2,
    Target.REPLICA: 6,
    Target.OPERATOR: 3,
}


@dataclass(slots=True, frozen=True)
class Fleet:
    """How many there are of each that faults strike."""

    controls: int = 3
    entries: int = 2
    replicas: int = 6


FLEET = Fleet()


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault: it strikes at ``at_s`` and ends ``for_s`` later."""

    at_s: float
    for_s: float
    target: Target
    kind: FaultKind
    number: int

    @property
    def end_s(self) -> float:
        """When it ends."""
        return self.at_s + self.for_s

    def __str__(self) -> str:
        """Return it as a line of the report."""
        name = f'{self.target} {self.number}'
        return f'{self.at_s:7.2f} s for {self.for_s:.2f} s: {self.kind} {name}'


def draw(seed: int, duration_s: float, fleet: Fleet) -> list[Fault]:
    """Return the faults of a run, in the order of their start."""
    rng = random.Random(f'soak {seed}')
    faults: list[Fault] = []
    at_s = rng.expovariate(1 / _GAP_S)
    while at_s < duration_s:
        is_series = rng.random() < _SERIES_SHARE
        count = rng.randint(2, _SERIES_MOST) if is_series else 1
        target = rng.choices(
            list(_TARGET_WEIGHTS), list(_TARGET_WEIGHTS.values())
        )[0]
        for _ in range(count):
            fault = _draw_one(rng, at_s, target, fleet)
            is_storm = at_s % _CYCLE_S < _STORM_S
            if is_storm and at_s < duration_s and _is_borne(fault, faults):
                faults.append(fault)
            at_s += rng.expovariate(1 / _SERIES_GAP_S) if is_series else 0.0
        at_s += rng.expovariate(1 / _GAP_S)
    return faults


def _draw_one(
    rng: random.Random, at_s: float, target: Target, fleet: Fleet
) -> Fault:
    counts = {
        Target.CONTROL: fleet.controls,
        Target.ENTRY: fleet.entries,
        Target.REPLICA: fleet.replicas,
        Target.OPERATOR: 1,
    }
    return Fault(
        at_s=round(at_s, 3),
        for_s=round(rng.uniform(*_LENGTHS_S), 3),
        target=target,
        kind=rng.choice(KINDS[target]),
        number=rng.randrange(counts[target]),
    )


def _is_borne(fault: Fault, before: Sequence[Fault]) -> bool:
    """Tell whether the system promises to bear it after the others."""
    if fault.target is not Target.CONTROL:
        return True
    lost = (FaultKind.LOSE_FOLDER,)
    return not any(
        fault.at_s - one.end_s < _LOSS_APART_S
        for one in before
        if one.target is Target.CONTROL
        and (fault.kind in lost or one.kind in lost)
    )


def calm_spans(
    struck: Sequence[tuple[float, float]], until_s: float, settle_s: float
) -> list[tuple[float, float]]:
    """Return the spans in which nothing was struck, or had been just before.

    ``struck`` has the begin and the end of each disruption, as it was.

    >>> calm_spans([(2.0, 3.0)], 10.0, 3.0)
    [(0.0, 2.0), (6.0, 10.0)]
    """
    spans = []
    calm_s = 0.0
    for begin_s, end_s in sorted(struck):
        if begin_s > calm_s:
            spans.append((calm_s, begin_s))
        calm_s = max(calm_s, end_s + settle_s)
    if until_s > calm_s:
        spans.append((calm_s, until_s))
    return spans
