"""Plain requests that run beside one under which replicas crash."""

import random

import pytest

from snipebridge.policy.prompt_crashes import PromptCrashes
from snipebridge.policy.prompt_runs import (
    SURVIVAL_S,
    PromptRun,
    PromptRuns,
    SharedPart,
)

STEP_S = 0.05
ENTRIES = 6
REPLICAS = 6
AWAY_S = 2.0
# Runs in a step, over all entries: a quarter of the sound ones are identical.
SOUND_RUNS = 2
HOT = SharedPart('s', 'request:hot')
DEADLY = SharedPart('s', 'request:deadly')


def plain(number, digest):
    """Return a run of a plain request."""
    return PromptRun(f'a{number}', 's', (), digest, is_stream=False)


def answer(runs, replica, run, now_s):
    """Let a replica answer a request as a whole."""
    runs.record_began(replica, run, now_s)
    runs.record_whole(replica, run.request)


class Plain:
    """Entries and a leader, while one request crashes replica after replica."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.leader = PromptCrashes()
        self.runs = [PromptRuns() for _ in range(ENTRIES)]
        self.up_from_s = [0.0 for _ in range(REPLICAS)]
        self.number = 0
        self.held = []

    def play(self, until_s, deadly_every_s):
        """Play until a moment; return what is kept from replicas."""
        steps = round(until_s / STEP_S)
        for step in range(steps):
            now_s = step * STEP_S
            for _ in range(SOUND_RUNS):
                is_hot = self.rng.random() < 0.25
                self._run('hot' if is_hot else '', now_s)
            if DEADLY not in self.held and not step % round(
                deadly_every_s / STEP_S
            ):
                self._run('deadly', now_s)
            self._exchange(now_s)
        return self.held

    def _run(self, digest, now_s):
        up = [one for one in range(REPLICAS) if self.up_from_s[one] <= now_s]
        if not up:
            return
        self.number += 1
        run = plain(self.number, digest or f'd{self.number}')
        replica = self.rng.choice(up)
        runs = self.rng.choice(self.runs)
        if digest == 'deadly':
            runs.record_unanswered(f'r{replica}', run, now_s)
            runs.record_lost(f'r{replica}', now_s, now_s)
            self.up_from_s[replica] = now_s + AWAY_S
        else:
            answer(runs, f'r{replica}', run, now_s)

    def _exchange(self, now_s):
        for number, runs in enumerate(self.runs):
            for suspect in runs.suspects(now_s):
                self.leader.take(suspect)
            for replica, lost_s in self.leader.recent_losses(now_s):
                runs.record_lost(replica, lost_s, now_s)
            for asked in self.leader.questions():
                sound = runs.sound_runs(asked.part, asked.first_lost_s, now_s)
                self.leader.take_sound(f'e{number}', asked.part, sound)
        found = self.leader.find(self.held, (), now_s)
        self.held += [one.part for one in found]


@pytest.mark.parametrize('deadly_every_s', [0.3, 0.6, 1.2])
@pytest.mark.parametrize('seed', range(10))
def test_sound_request_beside_a_deadly_one_is_not_held(seed, deadly_every_s):
    """All callers of one hot thing were refused for seconds."""
    assert Plain(seed).play(12.0, deadly_every_s) == [DEADLY]


def test_whole_answer_speaks_for_its_request_at_once():
    """The replica may be lost under another request right after it."""
    runs = PromptRuns()
    answer(runs, 'r1', plain(1, 'hot'), 1.0)
    runs.record_lost('r1', 1.2, 1.2)
    assert not runs.suspects(1.2)
    assert runs.sound_runs(HOT, 0.5, 1.0 + SURVIVAL_S).after == 1
