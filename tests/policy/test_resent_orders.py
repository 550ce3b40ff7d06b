"""Ages of orders, as the process that leads next knows them."""

from snipebridge.policy.resent_orders import OrderArrivals

ORDER = ('software', 's', 1)
HOUR_MS = 3_600_000


def test_process_that_looks_needs_no_time_of_day():
    """Guards against a window that a clock an hour off moves."""
    for ahead_ms in (-HOUR_MS, HOUR_MS):
        arrivals = OrderArrivals()
        arrivals.look({}, now_s=100.0, now_ms=0)
        arrivals.look({ORDER: 0}, now_s=100.2, now_ms=ahead_ms)
        assert 1.0 <= round(arrivals.age_s(ORDER, now_s=101.2), 6) <= 1.2


def test_process_that_starts_reads_the_time_of_day():
    """Guards against an old order that is recent after each start."""
    arrivals = OrderArrivals()
    arrivals.look({ORDER: 0}, now_s=100.0, now_ms=60_000)
    assert arrivals.age_s(ORDER, now_s=100.0) == 60.0


def test_order_from_a_clock_that_was_ahead_is_recent_for_a_while_only():
    """Guards against a window that stays open until clocks catch up."""
    arrivals = OrderArrivals()
    arrivals.look({ORDER: HOUR_MS}, now_s=100.0, now_ms=0)
    assert arrivals.age_s(ORDER, now_s=103.0) == 3.0


def test_arrivals_are_kept_for_the_orders_in_the_state():
    """Guards against memory that grows with each order."""
    arrivals = OrderArrivals()
    for number in range(1000):
        arrivals.note(('software', 's', number), 100.0)
        arrivals.look({('software', 's', number): 0}, 100.0, 0)
    assert arrivals.age_s(('software', 's', 999), 103.0) == 3.0
    assert arrivals.age_s(('software', 's', 0), 103.0) == float('inf')
