"""Tests of what the outcome of an attempt says about a software version."""

import random
from types import SimpleNamespace

import pytest

from snipebridge.policy.latency_baseline import (
    SLOW_ANSWER,
    SLOW_STREAM,
    LatencyBaseline,
)
from snipebridge.policy.software_rollouts import (
    REVERTED,
    WHOLE_PERMILLE,
    RolloutBounds,
    RolloutView,
    decide,
)
from snipebridge.policy.version_records import VersionRecord
from snipebridge.relay.attempts import Attempt
from snipebridge.relay.exchange import Progress
from snipebridge.relay.messages import RelayRequest, ResponseHead
from snipebridge.relay.outcomes import OutcomeRecorder
from snipebridge.relay.replica_placement import Choice
from snipebridge.relay.replicas import Replica
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.routing.tables import RouteKind
from snipebridge.rpc.control_pb2 import SoftwareRollout

STEP_S = 0.015
EVENTS = 30
BOUNDS = RolloutBounds()


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now_s = 1.0

    def monotonic_s(self):
        """Return the time that was set."""
        return self.now_s


class Entry:
    """The parts of an entry that count streams of a version on trial."""

    def __init__(self):
        self.clock = Clock()
        self.software = SoftwareSelector(5.0)
        rollout = SoftwareRollout(
            service='s', target='v2', number=1, state='active'
        )
        self.software.apply_rollouts([rollout])
        self.dependencies = SimpleNamespace(
            clock=self.clock,
            software=self.software,
            answer_baseline=LatencyBaseline(SLOW_ANSWER),
            stream_baseline=LatencyBaseline(SLOW_STREAM),
            metrics=SimpleNamespace(attempts=SimpleNamespace(inc=id)),
            report_now=list,
        )

    def attempt(self, software, status=200, pace_percent=0, failed_before=()):
        """Return the recorder and the attempt of a request."""
        exchange = SimpleNamespace(
            digest='d1',
            request=RelayRequest('POST', '/', '/', 'h', [], b'', 0.0),
            route=SimpleNamespace(name='r', kind=RouteKind.STREAMING),
            progress=Progress(service='s', erring_software=set(failed_before)),
        )
        recorder = OutcomeRecorder(
            self.dependencies, exchange, SimpleNamespace(dispatch_count=1)
        )
        replica = Replica(software, 's', 'x:1', 'a', software, 8)
        replica.pace_percent = pace_percent
        choice = Choice(replica, 'm', None, 0.0, 0.0)
        attempt = Attempt(choice, None, None, None, self.clock)
        attempt.sent_s = self.clock.now_s
        attempt.head = ResponseHead(status, [], is_stream=status == 200)
        attempt._connection = SimpleNamespace(framing='chunks')
        return recorder, attempt

    def fail(self, software, failed_before):
        """Receive an error, after errors of other versions."""
        recorder, attempt = self.attempt(
            software, 500, failed_before=failed_before
        )
        recorder.record_response(attempt)

    def stream(self, software, intervals_s, pace_percent=0):
        """Receive one stream, its events after the given intervals."""
        recorder, attempt = self.attempt(software, pace_percent=pace_percent)
        recorder.record_events(attempt, b'id: 0\n\n', '0')
        for number, interval_s in enumerate(intervals_s, start=1):
            self.clock.now_s += interval_s
            recorder.record_events(attempt, b'id: 1\n\n', str(number))
        recorder.record_response(attempt)

    def records(self):
        """Return what the entry reports, by version."""
        return {
            one.software: VersionRecord(
                one.answered,
                one.failed,
                one.slow,
                one.sent,
                one.untimed,
            )
            for one in self.software.pop_outcomes()
        }


def intervals(rng, step_s, pauses=0.3):
    """Return intervals of a stream, some with prompts read in between."""
    found = [step_s * rng.uniform(0.8, 1.2) for _ in range(EVENTS - 1)]
    while rng.random() < pauses:
        found[rng.randrange(8)] += rng.uniform(0.1, 0.6)
    return found


def trial(seed, step_s, count, pauses):
    """Return what the leader sees once the target has sent some streams."""
    rng = random.Random(seed)
    entry = Entry()
    for _ in range(100):
        entry.stream('v1', intervals(rng, STEP_S))
    for _ in range(count):
        entry.stream('v2', intervals(rng, step_s, pauses))
    records = entry.records()
    return RolloutView(
        7.0, 18.0, 97, target=records['v2'], others=records['v1']
    )


def test_stream_beside_long_prompts_does_not_count_as_slow():
    """Its first events pause while another prompt is read."""
    entry = Entry()
    for _ in range(20):
        entry.stream('v1', [STEP_S for _ in range(EVENTS)])
    entry.stream('v1', [0.3, *(STEP_S for _ in range(EVENTS))])
    assert entry.records()['v1'].slow == 0


@pytest.mark.parametrize('ratio', [1.8, 4.0])
def test_version_of_slow_steps_is_not_hidden_by_pauses_of_sound_streams(ratio):
    """A few slow requests slow each step of the batch that they are in."""
    for seed in range(10):
        step = decide(trial(seed, STEP_S * ratio, 16, pauses=0.3), BOUNDS)
        assert step is not None, seed
        assert step.state == REVERTED, seed


def test_streams_too_short_to_time_do_not_speak_for_a_slow_version():
    """They end before their pace is known."""
    entry = Entry()
    for _ in range(60):
        entry.stream('v1', [STEP_S for _ in range(EVENTS)])
    for _ in range(20):
        entry.stream('v2', [STEP_S, STEP_S])
    records = entry.records()
    view = RolloutView(
        17.0, 24.0, 97, target=records['v2'], others=records['v1']
    )
    step = decide(view, BOUNDS)
    assert step is None or step.share_permille < WHOLE_PERMILLE


def test_good_version_beside_long_prompts_is_not_reverted():
    """It has cold caches, so more of its streams pause."""
    for seed in range(20):
        step = decide(trial(seed, STEP_S, 40, pauses=0.6), BOUNDS)
        assert step is None or step.state != REVERTED, seed


def test_replica_that_shares_its_host_does_not_make_its_version_slow():
    """Otherwise so many answers are slow that no good version completes."""
    entry = Entry()
    rng = random.Random(3)
    for _ in range(200):
        pace = rng.choice((0.6, 1.0, 3.0))
        intervals_s = intervals(rng, STEP_S * pace)
        entry.stream('v1', intervals_s, int(100 * pace))
    old = entry.records()['v1']
    assert old.slow <= 0.02 * old.answered
    for _ in range(16):
        entry.stream('v2', intervals(rng, 1.8 * STEP_S), 100)
    records = entry.records()
    view = RolloutView(7.0, 18.0, 97, target=records['v2'], others=old)
    assert decide(view, BOUNDS).state == REVERTED


def test_stream_counted_before_an_order_is_not_taken_from_its_counts():
    """Below zero, counts can't be reported, and the entry lost its lease."""
    entry = Entry()
    order = entry.software._rollouts.pop('s')
    entry.software._observations.clear()
    recorder, attempt = entry.attempt('v1')
    for number in range(EVENTS // 2):
        entry.clock.now_s += STEP_S
        recorder.record_events(attempt, b'id: 1\n\n', str(number))
    entry.software.apply_rollouts([order])
    entry.stream('v1', [4 * STEP_S for _ in range(EVENTS)])
    for number in range(EVENTS):
        entry.clock.now_s += 4 * STEP_S
        recorder.record_events(attempt, b'id: 1\n\n', str(number))
    recorder.record_response(attempt)
    outcome = entry.software.pop_outcomes()[0]
    assert list(outcome.strata[0].time_counts) == [1]


def test_failure_of_a_repeated_request_does_not_count_against_its_version():
    """A request that fails wherever it runs would count at each replica."""
    entry = Entry()
    for software, failed_before in (('v2', set()), ('v1', {'v2'})):
        entry.fail(software, failed_before)
    records = entry.records()
    assert records['v2'].failed == 1
    assert 'v1' not in records or not records['v1'].answered
