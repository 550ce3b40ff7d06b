"""The model of engines: batches, memory, cached parts, queues."""

import pytest

from bench.engines.deployments import EngineFigures, ModelFigures
from bench.engines.engine import Engine, Run
from bench.policies.event_loop import Loop

SMALL = ModelFigures('small', 1.0, 0.5, 0.1)
LARGE = ModelFigures('large', 4.0, 1.0, 0.4)
FIGURES = EngineFigures(
    batch=2,
    queue=2,
    step_ms=10.0,
    step_ms_per_request=0.0,
    context_ms_per_1000_tokens=0.0,
    prefill_tokens_per_ms=10.0,
    chunk_tokens=1000,
    memory_tokens=5000,
)


class Watcher:
    """Notes when a run brings its first token and when it ends."""

    def __init__(self, loop):
        self.loop = loop
        self.first_s = {}
        self.end_s = {}

    def first_token(self, run):
        """Note the first token."""
        self.first_s[run.parts[-1][0]] = self.loop.now_s

    def end(self, run):
        """Note the end."""
        self.end_s[run.parts[-1][0]] = self.loop.now_s


@pytest.fixture
def engine():
    """Return an idle engine."""
    return Engine(Loop(), 'r', FIGURES)


def submit(engine, watcher, name, *parts, model=SMALL, priority=1, out=4):
    """Hand a run to the engine; its parts end with one of its own."""
    own = (*parts, (name, 100))
    return engine.submit(Run(watcher, model, priority, own, out))


def make_watcher(engine):
    """Return a watcher under the engine's time."""
    return Watcher(engine._loop)


def test_prompt_is_read_in_chunks_before_the_first_token(engine):
    """2,100 tokens at 10 a millisecond take 210 ms of three steps."""
    watcher = make_watcher(engine)
    submit(engine, watcher, 'a', ('shared', 2000))
    engine._loop.run_until(5.0)

    assert watcher.first_s['a'] == pytest.approx(0.21)
    # Three more tokens, 10 ms each.
    assert watcher.end_s['a'] == pytest.approx(0.24)


def test_cached_part_is_not_read_again(engine):
    """The second prompt with a part reads its own part only."""
    watcher = make_watcher(engine)
    submit(engine, watcher, 'a', ('shared', 2000))
    engine._loop.run_until(1.0)
    submit(engine, watcher, 'b', ('shared', 2000))
    engine._loop.run_until(2.0)

    assert watcher.first_s['b'] == pytest.approx(1.01)
    assert engine.read_again_tokens == 0


def test_another_model_reads_the_part_itself(engine):
    """What one model has read is of no use to another."""
    watcher = make_watcher(engine)
    submit(engine, watcher, 'a', ('shared', 2000))
    engine._loop.run_until(1.0)
    submit(engine, watcher, 'b', ('shared', 2000), model=LARGE)
    engine._loop.run_until(3.0)

    assert watcher.first_s['b'] == pytest.approx(1.84)


def test_parts_yield_when_memory_is_short(engine):
    """The part that was used least recently is read again later."""
    watcher = make_watcher(engine)
    for number, name in enumerate('xyzx'):
        submit(engine, watcher, f'own {number}', (name, 2000))
        engine._loop.run_until(engine._loop.now_s + 1.0)

    assert engine.read_again_tokens == 2000


def test_strong_model_slows_the_drafts_beside_it(engine):
    """A step takes the time of all models that run in it."""
    watcher = make_watcher(engine)
    submit(engine, watcher, 'draft', out=100)
    submit(engine, watcher, 'long', model=LARGE, out=1000)
    engine._loop.run_until(60.0)

    # 100 steps of 10 ms alone would take a second.
    assert watcher.end_s['draft'] > 4.0


def test_urgent_run_overtakes_those_that_wait(engine):
    """Of two that wait, the more urgent one is let in first."""
    watcher = make_watcher(engine)
    for name, out in (('a', 50), ('b', 100)):
        submit(engine, watcher, name, out=out)
    engine._loop.run_until(0.05)
    submit(engine, watcher, 'idle', priority=2)
    submit(engine, watcher, 'urgent', priority=0)
    engine._loop.run_until(60.0)

    assert watcher.first_s['urgent'] < watcher.first_s['idle']


def test_full_queue_refuses(engine):
    """Two run, two wait, and the next is told to go elsewhere."""
    watcher = make_watcher(engine)
    for name in ('a', 'b'):
        submit(engine, watcher, name, out=500)
    engine._loop.run_until(0.1)
    taken = [submit(engine, watcher, name) for name in ('c', 'd', 'e')]

    assert taken == [True, True, False]


def test_cancelled_run_frees_its_place(engine):
    """A caller that left takes nothing any more."""
    watcher = make_watcher(engine)
    run = Run(watcher, SMALL, 1, (('a', 100),), 500)
    engine.submit(run)
    engine._loop.run_until(0.1)
    engine.cancel(run)
    engine._loop.run_until(0.2)

    assert engine.report().running == 0
    assert 'a' not in watcher.end_s
