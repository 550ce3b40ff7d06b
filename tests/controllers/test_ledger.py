"""The ledger stores one bill per request until it is exported."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebridge.controllers.bill_segments import SEGMENT_BILLS
from snipebridge.controllers.ledger import Ledger
from tests.controllers.commands import (
    DUPLICATE,
    EXPIRED,
    INVALID,
    OK,
    bill,
)

RETENTION_MS = 1000
ARRIVALS = st.lists(
    st.tuples(
        st.integers(0, 400),  # Milliseconds since the previous arrival.
        st.integers(0, 3),  # Request number.
        st.integers(
            -1500, 800
        ),  # Finish time relative to the arrival, in milliseconds.
    ),
    max_size=60,
)


def restore(ledger):
    """Return a ledger restored from a snapshot."""
    restored = Ledger(RETENTION_MS)
    restored.load(orjson.loads(orjson.dumps(ledger.dump())))
    return restored


@settings(derandomize=True, deadline=None, max_examples=300)
@given(arrivals=ARRIVALS, resend_every=st.integers(1, 5))
def test_no_interleaving_doubles_a_bill(arrivals, resend_every):
    """A bill is accepted at most once, however late it is resent.

    A second bill with the same key is accepted only for a request that
    finished after the first was recorded and its digest had expired.
    """
    ledger = Ledger(RETENTION_MS)
    now_ms = 0
    sent = []
    recorded_ms = {}
    accepted = 0
    for step, (gap_ms, request, offset_ms) in enumerate(arrivals):
        now_ms += gap_ms
        made = bill(str(request), max(now_ms + offset_ms, 0))
        sent.append(made)
        for one in (made, sent[step // resend_every]):
            if ledger.apply(one, now_ms).code == OK:
                accepted += 1
                last_ms = recorded_ms.get(one.request_id, -1)
                assert one.finished_at_ms > last_ms
                recorded_ms[one.request_id] = max(now_ms, one.finished_at_ms)
        if step % 7 == 0:
            ledger = restore(ledger)
    kept = list(ledger.read(after=0, limit=1000))
    assert [one.cursor for one in kept] == list(range(1, accepted + 1))


@pytest.mark.parametrize(
    ('finished_at_ms', 'code'),
    [
        (8999, EXPIRED),
        (9000, OK),
        (10_000, OK),
        (11_000, OK),
        (11_001, INVALID),
    ],
)
def test_age_of_a_bill(finished_at_ms, code):
    """Bills older or further ahead than the retention are rejected."""
    ledger = Ledger(RETENTION_MS)
    made = bill('r', finished_at_ms)
    assert ledger.apply(made, now_ms=10_000).code == code
    expected = DUPLICATE if code == OK else code
    assert ledger.apply(made, now_ms=10_000).code == expected


def test_bill_without_key_is_rejected():
    """A bill without a request id cannot be deduplicated."""
    assert Ledger(RETENTION_MS).apply(bill(''), now_ms=0).code == INVALID


def test_export_by_cursor_and_acknowledgement():
    """Pages have no gaps, and only acknowledged bills are dropped."""
    ledger = Ledger(RETENTION_MS)
    count = SEGMENT_BILLS * 2 + 10
    for number in range(count):
        ledger.apply(bill(str(number), cost_micros=2), now_ms=0)
    seen = []
    while page := list(ledger.read(after=len(seen), limit=1500)):
        seen.extend(page)
    assert [one.bill.request_id for one in seen] == [
        str(number) for number in range(count)
    ]
    boundary = next(ledger.read(after=SEGMENT_BILLS - 1, limit=1))
    assert boundary.cursor == SEGMENT_BILLS
    size_bytes = ledger.bills.retained_bytes()
    ledger.bills.release_through(SEGMENT_BILLS + 5)
    ledger = restore(ledger)
    assert ledger.bills.retained_bytes() < size_bytes
    assert ledger.bills.unacknowledged_count() == count - SEGMENT_BILLS - 5
    assert next(ledger.read(0, 1)).cursor == SEGMENT_BILLS + 6
    assert ledger.totals['a'].cost_micros == 2 * count


def test_number_of_key_digests_is_bounded_by_the_retention():
    """Digests expire with their generation."""
    ledger = Ledger(RETENTION_MS)
    for now_ms in range(0, 20_000, 10):
        ledger.apply(bill(str(now_ms), now_ms), now_ms)
    assert ledger.key_count() <= RETENTION_MS / 10 * 1.5
