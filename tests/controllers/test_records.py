"""A request that must not be repeated runs at most once."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebridge.controllers import response_store
from snipebridge.controllers.ledger import Ledger
from snipebridge.controllers.records import RUNNING_TIMEOUT_MS, RequestRecords
from snipebridge.controllers.results import is_key_reuse
from snipebridge.rpc.commands_pb2 import (
    RAN_NO,
    RAN_UNKNOWN,
    RAN_YES,
    StoredAnswer,
)
from tests.controllers.commands import (
    CONFLICT,
    DUPLICATE,
    IN_PROGRESS,
    INVALID,
    OK,
    begin,
    bill,
    finish,
)

RETENTION_MS = RUNNING_TIMEOUT_MS * 2
ANSWER = StoredAnswer(status=201, body=b'booked')


class RecordsHarness:
    """Request records with their ledger."""

    def __init__(self):
        """Start without records."""
        self.ledger = Ledger(RETENTION_MS)
        self.records = RequestRecords(self.ledger, RETENTION_MS)

    def begin(self, now_ms=0, **fields):
        """Begin an attempt."""
        return self.records.begin(begin(**fields), now_ms)

    def finish(self, ran, now_ms=0, **fields):
        """Finish an attempt."""
        return self.records.finish(finish(ran, **fields), now_ms)

    def restart(self):
        """Restore the records from a snapshot."""
        state = orjson.loads(orjson.dumps(self.records.dump()))
        self.records = RequestRecords(self.ledger, RETENTION_MS)
        self.records.load(state)


def test_resend_gets_the_stored_answer_and_one_bill():
    """The outcome and its bill are stored by the same command."""
    harness = RecordsHarness()
    assert harness.begin().code == OK
    assert harness.begin(attempt='t2').code == IN_PROGRESS
    assert harness.finish(RAN_YES, answer=ANSWER, bill=bill()).code == OK
    assert harness.finish(RAN_YES, answer=ANSWER, bill=bill()).code == DUPLICATE
    harness.restart()
    again = harness.begin(attempt='t2')
    assert (again.code, again.ran) == (DUPLICATE, RAN_YES)
    assert again.answer == ANSWER
    assert harness.ledger.bills.last == 1


def test_key_with_other_content_is_rejected():
    """The digest is compared in every state of the record."""
    harness = RecordsHarness()
    harness.begin()
    assert is_key_reuse(harness.begin(attempt='t2', digest=b'other'))
    harness.finish(RAN_YES)
    assert is_key_reuse(harness.begin(attempt='t2', digest=b'other'))


def test_key_is_free_after_an_attempt_that_did_not_run():
    """A second attempt may begin only then."""
    harness = RecordsHarness()
    harness.begin()
    assert harness.finish(RAN_NO).code == OK
    assert harness.finish(RAN_NO).code == DUPLICATE
    assert harness.begin(attempt='t2').code == OK
    assert harness.finish(RAN_YES, attempt='t1').code == CONFLICT


def test_unknown_outcome_is_permanent():
    """Neither a late outcome nor the retention frees the key."""
    harness = RecordsHarness()
    harness.begin()
    assert harness.finish(RAN_UNKNOWN).code == OK
    late = harness.finish(RAN_YES, bill=bill())
    assert (late.code, late.ran) == (CONFLICT, RAN_UNKNOWN)
    harness.restart()
    again = harness.begin(now_ms=RETENTION_MS * 9, attempt='t2')
    assert (again.code, again.ran) == (DUPLICATE, RAN_UNKNOWN)
    assert harness.ledger.bills.last == 0


def test_unfinished_record_becomes_unknown():
    """The key is not freed when the entry process was lost."""
    harness = RecordsHarness()
    harness.begin()
    before = harness.begin(now_ms=RUNNING_TIMEOUT_MS, attempt='t2')
    after = harness.begin(now_ms=RUNNING_TIMEOUT_MS + 1, attempt='t2')
    assert before.code == IN_PROGRESS
    assert (after.code, after.ran) == (DUPLICATE, RAN_UNKNOWN)
    assert harness.records.unknown_count() == 1


def test_finished_record_expires_after_the_retention():
    """Memory stays bounded, and the key is free again."""
    harness = RecordsHarness()
    harness.begin()
    harness.finish(RAN_YES, answer=ANSWER)
    kept = harness.begin(now_ms=RETENTION_MS, attempt='t2')
    assert kept.answer == ANSWER
    after_expiry = harness.begin(now_ms=RETENTION_MS + 1, attempt='t3')
    assert after_expiry.code == OK


def test_stored_responses_take_bounded_memory(monkeypatch):
    """A request whose response was evicted still counts as run."""
    monkeypatch.setattr(response_store, 'MAX_STORE_BYTES', 50)
    harness = RecordsHarness()
    for request_id in ('r1', 'r2', 'r3'):
        harness.begin(request_id=request_id)
        harness.finish(RAN_YES, request_id=request_id, answer=ANSWER)
    oldest = harness.begin(request_id='r1', attempt='t2')
    newest = harness.begin(request_id='r3', attempt='t2')
    assert (oldest.code, oldest.ran) == (DUPLICATE, RAN_YES)
    assert not oldest.HasField('answer')
    assert newest.answer == ANSWER


@pytest.mark.parametrize(
    'refused',
    [
        finish(RAN_YES, request_id='never begun'),
        finish(RAN_YES, bill=bill('other')),
    ],
)
def test_finish_without_matching_request_is_rejected(refused):
    """Its bill is not recorded either."""
    harness = RecordsHarness()
    harness.begin()
    assert harness.records.finish(refused, now_ms=0).code == INVALID
    assert harness.ledger.bills.last == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('begin', 'no', 'yes', 'unknown', 'restart')),
        st.sampled_from(('t1', 't2', 't3')),
        st.integers(0, 3),  # How often the step is resent.
    ),
    max_size=40,
)
OUTCOMES = {'no': RAN_NO, 'yes': RAN_YES, 'unknown': RAN_UNKNOWN}


class Run:
    """Attempts of one request and which of them may have run.

    An entry runs an attempt only on its first acknowledgement and sends
    outcomes only for attempts that it was allowed to run.
    """

    def __init__(self):
        """Start before the first attempt."""
        self.harness = RecordsHarness()
        self.allowed = set()
        self.may_have_run = set()

    def begin(self, attempt):
        """Begin an attempt; check that no other may have run."""
        result = self.harness.begin(attempt=attempt)
        if result.code == OK and attempt not in self.allowed:
            assert not self.may_have_run
            self.allowed.add(attempt)
            self.may_have_run.add(attempt)

    def finish(self, attempt, kind):
        """Send an outcome."""
        if attempt not in self.allowed:
            return
        made = bill() if kind == 'yes' else None
        result = self.harness.finish(OUTCOMES[kind], attempt=attempt, bill=made)
        if (kind, result.code) == ('no', OK):
            self.may_have_run.discard(attempt)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(steps=STEPS, order=st.randoms(use_true_random=False))
def test_no_interleaving_runs_a_request_twice(steps, order):
    """Begin and finish commands are resent and reordered."""
    run = Run()
    arrivals = [step for step in steps for _ in range(step[2] + 1)]
    order.shuffle(arrivals)
    for kind, attempt, _ in arrivals:
        if kind == 'restart':
            run.harness.restart()
        elif kind == 'begin':
            run.begin(attempt)
        else:
            run.finish(attempt, kind)
    assert run.harness.ledger.bills.last <= 1
