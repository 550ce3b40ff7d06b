"""Tests that reports count once and that replies carry only new data."""

from snipebridge.controllers.quality import HALF_LIFE_S
from snipebridge.controllers.reports import DEMAND_VALID_S, ReportAggregator
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    HeartbeatRequest,
    QualityCell,
    UpstreamSign,
    VersionOutcome,
)


def report(report_id, entry='e1', incarnation=1, **fields):
    """Return a heartbeat with a report."""
    return HeartbeatRequest(
        entry=entry, incarnation=incarnation, report_id=report_id, **fields
    )


def outcome(**fields):
    """Return outcomes of one version."""
    return [VersionOutcome(version='m@1', **fields)]


def cell(version='m@1', good=1.0, total=2.0):
    """Return ratings of one version."""
    return QualityCell(
        version=version, task='t', length_class='short', good=good, total=total
    )


def signal(sequence, state='leaving', upstream='u1', valid_s=10.0):
    """Return a health signal of an upstream."""
    return UpstreamSign(
        upstream=upstream, sequence=sequence, state=state, valid_s=valid_s
    )


def test_resent_report_counts_once():
    """A restarted process starts at id 1; its predecessor is ignored."""
    reports = ReportAggregator()
    sums = outcome(answered=5, errors=1)
    assert reports.add(report(1, outcomes=sums), now_s=0.0)
    assert not reports.add(report(1, outcomes=sums), now_s=1.0)
    assert reports.add(report(1, incarnation=2, outcomes=sums), now_s=2.0)
    assert not reports.add(report(2, outcomes=sums), now_s=3.0)
    assert reports.add(report(1, entry='e2', outcomes=sums), now_s=3.0)
    evidence = reports.evidence['m@1']
    assert (evidence.answered, evidence.errors) == (15, 3)


def test_version_stop_lasts_until_next_report():
    """A report without the stop removes the entry from `stopped_by`."""
    reports = ReportAggregator()
    reports.add(report(1, outcomes=outcome(stopped=True)), now_s=0.0)
    assert reports.evidence['m@1'].stopped_by == {'e1'}
    reports.add(report(2, outcomes=outcome()), now_s=1.0)
    assert not reports.evidence['m@1'].stopped_by


def test_quality_is_summed_decayed_and_sent_once():
    """An entry gets the cells it reported and those changed by others."""
    reports = ReportAggregator()
    reports.add(report(1, quality=[cell()]), now_s=0.0)
    reports.add(report(1, 'e2', quality=[cell()]), now_s=HALF_LIFE_S)
    own = reports.quality.cells('e2', now_s=HALF_LIFE_S)
    assert [(one.good, one.total) for one in own] == [(1.5, 3.0)]
    other = reports.quality.cells('e1', now_s=HALF_LIFE_S)
    assert [one.total for one in other] == [3.0]
    reports.add(report(2), now_s=HALF_LIFE_S)
    assert reports.quality.cells('e1', now_s=HALF_LIFE_S) == []


def test_lost_reply_is_sent_again():
    """The reply to a resent report repeats the signals of the lost one."""
    reports = ReportAggregator()
    reports.add(report(1, 'e2', signs=[signal(1)]), now_s=0.0)
    reports.add(report(1), now_s=0.0)
    assert len(reports.signals.pending('e1', now_s=0.0)) == 1
    reports.add(report(1), now_s=1.0)
    assert len(reports.signals.pending('e1', now_s=1.0)) == 1
    reports.add(report(2), now_s=2.0)
    assert reports.signals.pending('e1', now_s=2.0) == []


def test_many_changes_are_sent_in_batches():
    """Batches are limited in size and together carry every signal."""
    reports = ReportAggregator()
    signs = [signal(1, upstream=f'u{number}') for number in range(40)]
    reports.add(report(1, 'e2', signs=signs), now_s=0.0)
    seen = []
    for report_id in range(1, 5):
        reports.add(report(report_id), now_s=0.0)
        seen.extend(reports.signals.pending('e1', now_s=0.0))
    assert [one.upstream for one in seen] == [one.upstream for one in signs]


def test_older_signal_never_replaces_newer_one():
    """This holds even after the newer signal has expired."""
    reports = ReportAggregator()
    store = reports.signals
    assert store.add(signal(5), now_s=0.0)
    assert not store.add(signal(4, state='live'), now_s=1.0)
    assert not store.add(signal(4, state='live'), now_s=20.0)
    assert store.all_signals(now_s=20.0) == []
    assert store.add(signal(6, state='live', valid_s=5.0), now_s=20.0)
    remaining = store.pending('e1', now_s=22.0)
    assert [(one.state, one.valid_s) for one in remaining] == [('live', 3.0)]


def test_data_no_longer_configured_is_removed():
    """Otherwise memory would grow with each version and upstream."""
    reports = ReportAggregator()
    quality = [cell(), cell('m@2')]
    signs = [signal(1), signal(1, upstream='u2')]
    reports.add(
        report(1, quality=quality, signs=signs, outcomes=outcome()), now_s=0.0
    )
    reports.configure({'versions': {'m@2': {}}, 'upstreams': {'u2': {}}})
    assert [one.version for one in reports.quality.cells('e2', 0.0)] == ['m@2']
    assert [one.upstream for one in reports.signals.all_signals(0.0)] == ['u2']
    assert not reports.evidence


def test_demands_of_silent_entry_expire():
    """A heartbeat with a resent report still renews the demands."""
    reports = ReportAggregator()
    demand = AccountDemand(account='a', pool='models', running=3)
    reports.add(report(1, demands=[demand]), now_s=0.0)
    reports.add(report(1), now_s=DEMAND_VALID_S)
    assert reports.demands(DEMAND_VALID_S * 2)['e1'][0].running == 3
    assert not reports.demands(DEMAND_VALID_S * 2 + 0.1)
