"""A request that may not be repeated runs at most once."""

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


class Desk:
    """Records and their ledger."""

    def __init__(self):
        """Start without a record."""
        self.ledger = Ledger(RETENTION_MS)
        self.records = RequestRecords(self.ledger, RETENTION_MS)

    def begin(self, now_ms=0, **fields):
        """Begin an attempt."""
        return self.records.begin(begin(**fields), now_ms)

    def finish(self, ran, now_ms=0, **fields):
        """Finish an attempt."""
        return self.records.finish(finish(ran, **fields), now_ms)

    def restart(self):
        """Go on from a snapshot."""
        state = orjson.loads(orjson.dumps(self.records.dump()))
        self.records = RequestRecords(self.ledger, RETENTION_MS)
        self.records.load(state)


def test_resend_gets_the_stored_answer_and_one_bill():
    """The outcome and its bill are stored by the same command."""
    desk = Desk()
    assert desk.begin().code == OK
    assert desk.begin(attempt='t2').code == IN_PROGRESS
    assert desk.finish(RAN_YES, answer=ANSWER, bill=bill()).code == OK
    assert desk.finish(RAN_YES, answer=ANSWER, bill=bill()).code == DUPLICATE
    desk.restart()
    again = desk.begin(attempt='t2')
    assert (again.code, again.ran) == (DUPLICATE, RAN_YES)
    assert again.answer == ANSWER
    assert desk.ledger.bills.last == 1


def test_other_content_under_the_key_is_refused():
    """The digest decides, whatever the state of the record."""
    desk = Desk()
    desk.begin()
    assert is_key_reuse(desk.begin(attempt='t2', digest=b'other'))
    desk.finish(RAN_YES)
    assert is_key_reuse(desk.begin(attempt='t2', digest=b'other'))


def test_certainly_not_run_frees_the_key():
    """Only then a second attempt may begin."""
    desk = Desk()
    desk.begin()
    assert desk.finish(RAN_NO).code == OK
    assert desk.finish(RAN_NO).code == DUPLICATE
    assert desk.begin(attempt='t2').code == OK
    assert desk.finish(RAN_YES, attempt='t1').code == CONFLICT


def test_unknown_stays_unknown_for_good():
    """Neither a late outcome nor time makes the key free again."""
    desk = Desk()
    desk.begin()
    assert desk.finish(RAN_UNKNOWN).code == OK
    late = desk.finish(RAN_YES, bill=bill())
    assert (late.code, late.ran) == (CONFLICT, RAN_UNKNOWN)
    desk.restart()
    again = desk.begin(now_ms=RETENTION_MS * 9, attempt='t2')
    assert (again.code, again.ran) == (DUPLICATE, RAN_UNKNOWN)
    assert desk.ledger.bills.last == 0


def test_unfinished_record_becomes_unknown():
    """A record whose entry is gone ends as unknown, not as free."""
    desk = Desk()
    desk.begin()
    before = desk.begin(now_ms=RUNNING_TIMEOUT_MS, attempt='t2')
    after = desk.begin(now_ms=RUNNING_TIMEOUT_MS + 1, attempt='t2')
    assert before.code == IN_PROGRESS
    assert (after.code, after.ran) == (DUPLICATE, RAN_UNKNOWN)
    assert desk.records.unknown_count() == 1


def test_finished_record_leaves_after_the_retention():
    """Memory is bounded; the key is free again by then."""
    desk = Desk()
    desk.begin()
    desk.finish(RAN_YES, answer=ANSWER)
    kept = desk.begin(now_ms=RETENTION_MS, attempt='t2')
    assert kept.answer == ANSWER
    freed = desk.begin(now_ms=RETENTION_MS + 1, attempt='t3')
    assert freed.code == OK


def test_answers_take_bounded_memory(monkeypatch):
    """A request whose answer was dropped still counts as run."""
    monkeypatch.setattr(response_store, 'MAX_STORE_BYTES', 50)
    desk = Desk()
    for request_id in ('r1', 'r2', 'r3'):
        desk.begin(request_id=request_id)
        desk.finish(RAN_YES, request_id=request_id, answer=ANSWER)
    oldest = desk.begin(request_id='r1', attempt='t2')
    newest = desk.begin(request_id='r3', attempt='t2')
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
def test_finish_that_fits_no_request_is_refused(refused):
    """Its bill is not taken either."""
    desk = Desk()
    desk.begin()
    assert desk.records.finish(refused, now_ms=0).code == INVALID
    assert desk.ledger.bills.last == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('begin', 'no', 'yes', 'unknown', 'restart')),
        st.sampled_from(('t1', 't2', 't3')),
        st.integers(0, 3),  # How often the step is sent again, later.
    ),
    max_size=40,
)
OUTCOMES = {'no': RAN_NO, 'yes': RAN_YES, 'unknown': RAN_UNKNOWN}


class Run:
    """Attempts at one request, and which of them may have run.

    An entry takes only the first acknowledgement of an attempt as leave to
    run it, and sends outcomes only for attempts that it may run.
    """

    def __init__(self):
        """Start before the first attempt."""
        self.desk = Desk()
        self.allowed = set()
        self.may_have_run = set()

    def begin(self, attempt):
        """Begin an attempt; at most one may have run at any time."""
        result = self.desk.begin(attempt=attempt)
        if result.code == OK and attempt not in self.allowed:
            assert not self.may_have_run
            self.allowed.add(attempt)
            self.may_have_run.add(attempt)

    def finish(self, attempt, kind):
        """Send an outcome."""
        if attempt not in self.allowed:
            return
        made = bill() if kind == 'yes' else None
        result = self.desk.finish(OUTCOMES[kind], attempt=attempt, bill=made)
        if (kind, result.code) == ('no', OK):
            self.may_have_run.discard(attempt)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(steps=STEPS, order=st.randoms(use_true_random=False))
def test_no_interleaving_runs_a_request_twice(steps, order):
    """Begins and outcomes are resent and arrive in any order."""
    run = Run()
    arrivals = [step for step in steps for _ in range(step[2] + 1)]
    order.shuffle(arrivals)
    for kind, attempt, _ in arrivals:
        if kind == 'restart':
            run.desk.restart()
        elif kind == 'begin':
            run.begin(attempt)
        else:
            run.finish(attempt, kind)
    assert run.desk.ledger.bills.last <= 1
