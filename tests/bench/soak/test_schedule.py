"""The faults that a seed stands for."""

from bench.soak.schedule import (
    FLEET,
    KINDS,
    FaultKind,
    Target,
    calm_spans,
    draw,
)

LONG_S = 3000.0


def test_each_kind_comes_and_series_overlap():
    """A long run has every fault, and several at the same time."""
    faults = draw(3, LONG_S, FLEET)

    drawn = {(fault.target, fault.kind) for fault in faults}
    assert drawn == {
        (target, kind) for target, kinds in KINDS.items() for kind in kinds
    }
    overlapping = [
        second
        for first, second in zip(faults, faults[1:], strict=False)
        if second.at_s < first.end_s
    ]
    assert len(overlapping) > len(faults) / 4


def test_lost_folders_are_kept_apart():
    """Two lost disks at once, or one in other faults, are not promised."""
    for seed in range(20):
        control = [
            fault
            for fault in draw(seed, LONG_S, FLEET)
            if fault.target is Target.CONTROL
        ]
        lost = [one for one in control if one.kind is FaultKind.LOSE_FOLDER]
        for fault in lost:
            near = [
                one
                for one in control
                if one is not fault
                and one.at_s < fault.end_s + 9.0
                and one.end_s > fault.at_s - 9.0
            ]
            assert not near


def test_calm_spans_leave_out_what_settles():
    """Overlapping faults make one disturbed span, and time after it."""
    struck = [(2.0, 6.0), (3.0, 4.0), (20.0, 21.0)]

    assert calm_spans(struck, 25.0, 3.0) == [
        (0.0, 2.0),
        (9.0, 20.0),
        (24.0, 25.0),
    ]


def test_nothing_struck_is_all_calm():
    """A run without faults is one calm span."""
    assert calm_spans([], 5.0, 3.0) == [(0.0, 5.0)]
