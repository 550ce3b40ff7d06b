"""The arithmetic of the capacity page and its stand-in."""

import pytest

from bench.capacity.fits import fit_line, fit_rows
from bench.capacity.replicas import Reports, replica_host
from bench.capacity.samples import Sample, usage_between
from bench.capacity.slopes import Figure, Slopes
from bench.capacity.target import MEMORY_BUDGET_BYTES


def test_line_through_points_on_a_line():
    """An exact line is found and explains all."""
    fit = fit_line([(3, 10), (6, 16), (12, 28)])

    assert fit.slope == pytest.approx(2)
    assert fit.start == pytest.approx(4)
    assert fit.r_squared == pytest.approx(1)
    assert fit.at(340) == pytest.approx(684)


def test_line_through_scattered_points_explains_less():
    """The share explained falls with the scatter."""
    fit = fit_line([(0, 0), (1, 4), (2, 1), (3, 5)])

    assert 0 < fit.r_squared < 1


def test_level_points_have_no_slope():
    """Points of one height are a level line, not a division by zero."""
    fit = fit_line([(1, 5), (2, 5), (3, 5)])

    assert fit.slope == pytest.approx(0, abs=1e-9)
    assert fit.r_squared == 1


def test_rows_without_the_field_are_left_out():
    """A size at which a figure was not taken does not count as zero."""
    rows = [{'n': 1, 'us': 2}, {'n': 2}, {'n': 3, 'us': 6}]

    assert fit_rows(rows, 'n', 'us')['slope'] == pytest.approx(2)


def test_usage_is_a_rate():
    """Counters become rates over the time between two samples."""
    before = Sample(10.0, 1.0, 50, 100, 200, 300)
    after = Sample(14.0, 1.2, 70, 500, 200, 1100)

    usage = usage_between(before, after)

    assert usage.cpu_share == pytest.approx(0.05)
    assert usage.resident_bytes == 70
    assert usage.sent_bytes_per_s == 100
    assert usage.received_bytes_per_s == 0
    assert usage.written_bytes_per_s == 200


def test_replicas_have_addresses_of_their_own():
    """Each of 690 replicas has a loopback address that no other has."""
    hosts = {replica_host(number) for number in range(690)}

    assert len(hosts) == 690
    assert all(host.startswith('127.') for host in hosts)


def test_stand_in_counts_reports_only():
    """Reading the count is not a poll."""
    reports = Reports()

    load = reports.answer(b'GET /load HTTP/1.1\r\n\r\n')
    events = reports.answer(b'GET /cache_events?after=0 HTTP/1.1\r\n\r\n')
    count = reports.answer(b'GET /count HTTP/1.1\r\n\r\n')

    assert b'"slots": 8' in load
    assert b'"last_sequence": 0' in events
    assert b'{"answered": 2}' in count


def test_figure_names_an_exceeded_budget():
    """A figure above its budget says so, one below does not."""
    over = Figure('voter', 'ledger', MEMORY_BUDGET_BYTES + 1, 'x', 268435456)
    under = Figure('voter', 'ledger', 5, 'x', 268435456)

    assert 'EXCEEDS' in over.line()
    assert 'within' in under.line()


def test_slopes_are_found_by_part_field_and_size():
    """The same field over another size is another line."""
    fit = {'field': 'cpu', 'slope': 2.0, 'start': 1.0, 'r_squared': 1.0}
    run = {'part': 'polling', 'fits': [{**fit, 'size': 'replicas'}]}
    slopes = Slopes([run])

    assert slopes.fit('polling', 'cpu', 'replicas').at(10) == 21
    with pytest.raises(KeyError):
        slopes.fit('polling', 'cpu', 'polls_per_s')
