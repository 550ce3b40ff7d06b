"""Entries, replicas and a leader that looks for what crashes them."""

import random
from dataclasses import dataclass, field

from snipebridge.policy.prompt_crashes import PromptCrashes
from snipebridge.policy.prompt_runs import PromptRun, PromptRuns, SharedPart

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
            self.runs[entry].record_cut(
                self.name(draft), run.request, self.now_s
            )
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
                runs.record_cut(name, one.run.request, self.now_s)
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
