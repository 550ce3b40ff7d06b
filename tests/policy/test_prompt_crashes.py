"""Replicas that crash, by themselves or under one part of a prompt."""

import random
from dataclasses import dataclass, field

import pytest

from snipebridge.policy import prompt_crashes
from snipebridge.policy.prompt_crashes import (
    ANSWER_S,
    PromptCrashes,
)
from snipebridge.policy.prompt_runs import (
    SURVIVAL_S,
    CrashSuspect,
    PromptRun,
    PromptRuns,
    SharedPart,
    SoundRuns,
)

STEP_S = 0.05
# An entry reports each 0.4 s, the leader decides each 0.2 s.
HEARTBEAT_STEPS = 8
ROUND_STEPS = 4
RUN_S = 3.0
# The users' bound, from the fifth crash on.
CONNECTIVITY_S = 3.0
BAD = SharedPart('s', 'bad')
SAME = SharedPart('s', 'request:same')


@dataclass
class Running:
    """A run at a replica."""

    entry: int
    run: PromptRun
    began_s: float
    is_waiting: bool = True
    is_bad: bool = False
    is_deadly: bool = False
    tries: int = 1


@dataclass
class Fleet:
    """Entries, replicas and one leader, driven step by step."""

    entries: int
    replicas: int
    seed: int
    requests_per_s: float = 40.0
    # In which share of its runs a bad request crashes its replica.
    deadly_share: float = 1.0
    # All bad requests are one: the same path, caller and body.
    is_same: bool = False
    # Sound ones of one kind, a hot key, that come beside the others.
    hot_per_s: float = 0.0
    # What broke off goes on elsewhere, all of it at the same replica.
    resumes: bool = False
    now_s: float = 0.0
    found: list = field(default_factory=list)
    found_s: float = 0.0
    crashes_s: list = field(default_factory=list)

    def __post_init__(self):
        """Start idle."""
        self.rng = random.Random(self.seed)
        self.leader = PromptCrashes()
        self.runs = [PromptRuns() for _ in range(self.entries)]
        self.running = [[] for _ in range(self.replicas)]
        self.away_until_s = [0.0 for _ in self.running]
        self.started = [0 for _ in self.running]
        self.number = 0
        # Bad requests that reached a replica.
        self.bad_arrivals_s = []

    def play(self, until_s, bad_per_s=0.0, crashes_per_s=0.0):
        """Send requests and end replicas until a moment."""
        while self.now_s < until_s:
            self.now_s += STEP_S
            for _ in range(self._count(self.requests_per_s)):
                subject = int(self.rng.paretovariate(0.8))
                self._begin('common', f'subject{subject}')
            for _ in range(self._count(self.hot_per_s)):
                self._begin('common', 'hot', digest='hot')
            for _ in range(self._count(bad_per_s)):
                self._begin_bad()
            for _ in range(self._count(crashes_per_s)):
                self._end(self.rng.randrange(self.replicas))
            for replica in range(self.replicas):
                self._serve(replica)
            self._exchange()

    def crash(self, *replicas):
        """Let some replicas end at this moment."""
        for replica in replicas:
            self._end(replica)

    def name(self, replica):
        """Return the id of a replica, another one after each start."""
        return f'r{replica}.{self.started[replica]}'

    def _count(self, per_s):
        return int(per_s * STEP_S + self.rng.random())

    def held(self):
        """Return what is kept from replicas now."""
        return [one.part for one in self.found]

    def _begin_bad(self):
        digest = 'same' if self.is_same else ''
        parts = {BAD, SAME} if self.is_same else {BAD}
        if parts.isdisjoint(self.held()):
            self.bad_arrivals_s.append(self.now_s)
            name = 'own' if self.is_same else 'bad'
            self._begin('common', name, digest=digest, is_bad=True)

    def _up(self):
        return [
            one
            for one in range(self.replicas)
            if self.away_until_s[one] <= self.now_s
        ]

    def _begin(self, *identities, digest='', is_bad=False):
        up = self._up()
        if not up:
            return
        self.number += 1
        run = PromptRun(
            f'a{self.number}', 's', identities, digest or f'd{self.number}'
        )
        entry = self.rng.randrange(self.entries)
        if self.rng.random() < 0.5:
            draft = self.rng.choice(up)
            self._run(entry, draft, run, self.now_s, is_bad=is_bad)
            self.runs[entry].record_cut(self.name(draft), run.request)
        wait_s = self.rng.choice((0.0, 0.0, 0.5))
        self._run(
            entry, self.rng.choice(up), run, self.now_s + wait_s, is_bad=is_bad
        )

    def _run(self, entry, replica, run, begins_s, *, is_bad=False, tries=1):
        is_deadly = is_bad and self.rng.random() < self.deadly_share
        one = Running(
            entry,
            run,
            begins_s,
            is_bad=is_bad,
            is_deadly=is_deadly,
            tries=tries,
        )
        self.running[replica].append(one)
        if begins_s <= self.now_s:
            self._start(replica, one)

    def _start(self, replica, one):
        one.is_waiting = False
        self.runs[one.entry].record_began(
            self.name(replica), one.run, self.now_s
        )

    def _serve(self, replica):
        running = self.running[replica]
        for one in running:
            if one.is_waiting and one.began_s <= self.now_s:
                self._start(replica, one)
        if any(
            one.is_deadly and self.now_s - one.began_s >= 0.1 for one in running
        ):
            self._end(replica)
            return
        self.running[replica] = [
            one for one in running if self.now_s - one.began_s < RUN_S
        ]

    def _end(self, replica):
        if self.away_until_s[replica] > self.now_s:
            return
        self.crashes_s.append(self.now_s)
        name = self.name(replica)
        for one in self.running[replica]:
            runs = self.runs[one.entry]
            if one.is_waiting:
                runs.record_unanswered(name, one.run, self.now_s)
            else:
                runs.record_cut(name, one.run.request)
        self.runs[self.rng.randrange(self.entries)].record_lost(
            name, self.now_s, self.now_s
        )
        broken = self.running[replica]
        self.running[replica] = []
        self.away_until_s[replica] = self.now_s + 2.0
        self.started[replica] += 1
        if self.resumes:
            self._resume(broken)

    def _resume(self, broken):
        up = self._up()
        for one in broken if up else ():
            is_held = not set(one.run.parts).isdisjoint(self.held())
            if one.tries >= 3 or is_held:
                continue
            if one.is_bad:
                self.bad_arrivals_s.append(self.now_s)
            self._run(
                one.entry,
                up[0],
                one.run,
                self.now_s,
                is_bad=one.is_bad,
                tries=one.tries + 1,
            )

    def _exchange(self):
        leader = self.leader
        step = round(self.now_s / STEP_S)
        for number, runs in enumerate(self.runs):
            if (number + step) % HEARTBEAT_STEPS:
                continue
            for replica, lost_s in runs.losses(self.now_s).items():
                leader.take_loss(replica, lost_s)
            for suspect in runs.suspects(self.now_s):
                leader.take(suspect)
            for replica, lost_s in leader.recent_losses(self.now_s):
                runs.record_lost(replica, lost_s, self.now_s)
            for asked in leader.questions():
                sound = runs.sound_runs(
                    asked.part, asked.first_lost_s, self.now_s
                )
                leader.take_sound(f'e{number}', asked.part, sound)
        if step % ROUND_STEPS == 0:
            held = [one.part for one in self.found]
            self.found.extend(leader.find(held, (), self.now_s))
            self.found_s = self.found_s or (self.now_s if self.found else 0.0)


@pytest.mark.parametrize(
    ('entries', 'replicas'), [(9, 5), (191, 39), (340, 90)]
)
@pytest.mark.parametrize('seed', range(3))
def test_only_the_part_that_crashes_replicas_is_found(entries, replicas, seed):
    """Each entry sees few of its requests, and drops half of the answers."""
    fleet = Fleet(entries, replicas, seed, requests_per_s=replicas * 4.0)
    fleet.play(6.0)
    fleet.play(12.0, bad_per_s=4.0)
    assert [one.part for one in fleet.found] == [BAD]
    assert fleet.found_s <= fleet.crashes_s[:5][-1] + CONNECTIVITY_S


@pytest.mark.parametrize(('entries', 'replicas'), [(9, 5), (191, 39)])
@pytest.mark.parametrize('seed', range(5))
def test_replicas_that_crash_by_themselves_accuse_no_part(
    entries, replicas, seed
):
    """Parts that are asked for rarely are among the bystanders."""
    fleet = Fleet(entries, replicas, seed, requests_per_s=replicas * 4.0)
    fleet.play(5.0)
    fleet.play(35.0, crashes_per_s=replicas / 15)
    assert len(fleet.crashes_s) > replicas
    assert not fleet.found


def suspect(number, *identities, begun=True):
    """Return a run that a replica of its own was lost under."""
    run = PromptRun(f'a{number}', 's', identities, f'd{number}')
    return CrashSuspect(run, f'r{number}', number * 0.1, begun)


def found_after_answers(crashes, known=()):
    """Return the parts that are found once the entries have answered."""
    crashes.find((), known, 0.0)
    return [one.part for one in crashes.find((), known, ANSWER_S)]


def test_one_request_alone_accuses_no_part():
    """It may be its own part, which no other request has."""
    crashes = PromptCrashes()
    for number in range(4):
        run = PromptRun('a1', 's', ('bad',), 'd1')
        crashes.take(CrashSuspect(run, f'r{number}', number * 0.1, True))
    assert not found_after_answers(crashes)


def test_entries_are_asked_before_a_part_is_found():
    """One of them may know a sound run with it."""
    crashes = PromptCrashes()
    for number in range(3):
        crashes.take(suspect(number, 'bad'))
    assert not crashes.find((), (), 0.1)
    assert [one.part for one in crashes.questions()] == [BAD]
    crashes.take_sound('e1', BAD, SoundRuns(before=2, after=3))
    assert not crashes.find((), (), 0.1 + ANSWER_S)


def test_part_found_before_is_found_at_its_first_crash():
    """Its quarantine ended by time."""
    crashes = PromptCrashes()
    crashes.take(suspect(1, 'bad'))
    assert not found_after_answers(crashes)
    assert found_after_answers(crashes, [BAD]) == [BAD]


def test_run_that_was_cut_or_lost_its_replica_is_not_sound():
    """A crash may follow an answer that was dropped or complete."""
    runs = PromptRuns()
    for number, identity in enumerate(('cut', 'lost', 'sound')):
        run = PromptRun(f'a{number}', 's', (identity,), f'd{number}')
        runs.record_began(f'r{number}', run, 0.0)
    runs.record_cut('r0', 'a0')
    runs.record_lost('r1', 0.5, 0.6)
    parts = [SharedPart('s', one) for one in ('cut', 'lost', 'sound')]
    assert not any(runs.sound_runs(one, 0.0, 1.0).after for one in parts)
    counts = [runs.sound_runs(one, 0.0, SURVIVAL_S).after for one in parts]
    assert counts == [0, 0, 1]


def test_sound_runs_are_told_apart_by_the_first_crash():
    """A part may turn deadly while it is in use."""
    runs = PromptRuns()
    for number in range(5):
        runs.record_began('r1', run_of('same'), float(number))
    sound = runs.sound_runs(SAME, 2.0, 4.0 + SURVIVAL_S)
    assert sound == SoundRuns(before=2, after=3)


def run_of(digest, *identities, attempt='a1', is_stream=True):
    """Return a run of a request."""
    return PromptRun(attempt, 's', identities, digest, is_stream=is_stream)


def lose(crashes, number, *runs, begun=True):
    """Report that a replica was lost under some runs."""
    for run in runs:
        crashes.take(CrashSuspect(run, f'r{number}', number * 0.2, begun))


def test_request_without_prompt_parts_is_found():
    """It comes again with the same content in several attempts."""
    crashes = PromptCrashes()
    for number in range(3):
        lose(crashes, number, run_of('same', attempt=f'a{number}'))
    assert found_after_answers(crashes) == [SAME]


def test_part_that_a_deadly_request_shares_with_sound_ones_is_not_found():
    """Sound ones with the part were at the same replicas."""
    crashes = PromptCrashes()
    for number in range(4):
        deadly = run_of('same', 'common', attempt=f'a{number}')
        bystander = run_of(f'b{number}', 'common', attempt=f'b{number}')
        lose(crashes, number, deadly, bystander)
    assert found_after_answers(crashes) == [SAME]


def test_part_is_found_though_each_request_with_it_comes_once_more():
    """A caller repeats its request, so each has two attempts."""
    crashes = PromptCrashes()
    for number in range(8):
        deadly = run_of(f'd{number // 2}', 'bad', attempt=f'a{number}')
        lose(crashes, number, deadly)
    assert found_after_answers(crashes) == [BAD]


def test_plain_request_that_was_not_answered_counts_as_begun():
    """Its replica sends nothing before the answer."""
    runs = PromptRuns()
    for number, is_stream in enumerate((True, False)):
        run = run_of(f'd{number}', is_stream=is_stream)
        runs.record_unanswered('r1', run, 1.0)
    runs.record_lost('r1', 1.0, 1.0)
    assert [one.has_begun for one in runs.suspects(1.0)] == [False, True]


def allowed_later_s(fleet):
    """Return from when on three more bad requests may reach a replica."""
    return fleet.crashes_s[2] + CONNECTIVITY_S


@pytest.mark.parametrize(
    ('entries', 'replicas'), [(9, 5), (191, 39), (340, 90)]
)
@pytest.mark.parametrize('deadly_share', [0.5, 0.6, 1.0])
@pytest.mark.parametrize('seed', range(2))
def test_sound_runs_now_and_then_do_not_free_a_request(
    entries, replicas, deadly_share, seed
):
    """The same request crashes replicas in a share of its runs only."""
    fleet = Fleet(
        entries,
        replicas,
        seed,
        requests_per_s=replicas * 4.0,
        deadly_share=deadly_share,
        is_same=True,
    )
    fleet.play(4.0)
    fleet.play(24.0, bad_per_s=4.0)
    late = [one for one in fleet.bad_arrivals_s if one > allowed_later_s(fleet)]
    assert len(late) <= 3
    assert fleet.held() == [SAME]


@pytest.mark.parametrize(('entries', 'replicas'), [(9, 5), (7, 6), (61, 45)])
@pytest.mark.parametrize('seed', range(4))
def test_bystanders_that_are_sent_on_with_a_request_are_not_held(
    entries, replicas, seed
):
    """They begin together with it at the next replica, and the one after."""
    fleet = Fleet(
        entries,
        replicas,
        seed,
        requests_per_s=replicas * 4.0,
        is_same=True,
        resumes=True,
    )
    fleet.play(4.0)
    fleet.play(24.0, bad_per_s=4.0)
    late = [one for one in fleet.bad_arrivals_s if one > allowed_later_s(fleet)]
    assert len(late) <= 3
    assert fleet.held() == [SAME]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('is_at_once', [False, True])
def test_hot_key_beside_crashes_of_replicas_is_not_held(seed, is_at_once):
    """Replicas crash by themselves, one after the other or three at once."""
    fleet = Fleet(9, 9, seed, requests_per_s=36.0, hot_per_s=20.0)
    fleet.play(5.0)
    if is_at_once:
        fleet.crash(0, 1, 2)
    fleet.play(35.0, crashes_per_s=0.6)
    assert not fleet.found


def test_held_bystander_takes_no_evidence_from_the_cause():
    """It stood beside four crashes, and the cause beside those and more."""
    crashes = PromptCrashes()
    bystander = SharedPart('s', 'request:bystander')
    for number in range(4):
        cause = run_of('same', attempt=f'a{number}')
        other = run_of('bystander', attempt=f'b{number}')
        lose(crashes, number, cause, other)
    crashes.find([bystander], (), 1.0)
    assert not crashes.explained_otherwise([bystander])
    for number in range(4, 6):
        lose(crashes, number, run_of('same', attempt=f'a{number}'))
    found = crashes.find([bystander], (), 1.0 + ANSWER_S)
    assert [one.part for one in found] == [SAME]
    assert crashes.explained_otherwise([bystander]) == [bystander]
    assert not crashes.find([SAME], (), 3.0)
    assert not crashes.explained_otherwise([SAME])


def test_nothing_is_searched_anew_without_news(monkeypatch):
    """The leader looks several times a second, for minutes after crashes."""
    crashes = PromptCrashes()
    for number in range(4):
        lose(crashes, number, run_of('same', attempt=f'a{number}'))
    scored = []
    monkeypatch.setattr(
        prompt_crashes, '_scores', lambda one: scored.append(one) or {}
    )
    for step in range(50):
        crashes.find((), (), 10.0 + step * 0.2)
    assert len(scored) <= 2 * 6
