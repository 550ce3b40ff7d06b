"""Tests of the leader's duty to move roll-outs on."""

from snipebridge.controllers.software_rollouts import (
    SoftwareRollouts,
    SoftwareRolloutState,
)
from snipebridge.fleet.evidence import SoftwareEvidence
from snipebridge.fleet.software import SoftwareDuty
from snipebridge.policy.software_rollouts import RolloutBounds
from snipebridge.rpc.commands_pb2 import SoftwareRolloutCommand
from snipebridge.rpc.control_pb2 import ListedReplica, SoftwareOutcome
from tests.clocks import ManualClock


def make_clock():
    """Return a clock that stands at one second after the order."""
    return ManualClock(1.0)


def share_after(*software, share=0):
    """Return the share ordered while replicas of some versions are listed."""
    duty = SoftwareDuty(make_clock(), RolloutBounds(0.15))
    rollout = SoftwareRolloutState('s', 'v2', 'active', share, 1, 0, 20_000)
    listed = [
        ListedReplica(id=str(number), service='s', software=name)
        for number, name in enumerate(software)
    ]
    rollouts = SoftwareRollouts()
    rollouts.by_service['s'] = rollout
    commands = duty.commands(rollouts, SoftwareEvidence(), listed)
    if not commands:
        return share
    return commands[0].software_rollout.share_permille


def test_only_version_of_a_service_is_not_kept_from_callers():
    """There is nothing else to send requests to."""
    assert share_after('v2', 'v2') == 1000
    assert share_after('v2', 'v1') < 150


def test_new_leader_goes_on_with_a_trial_whose_other_replicas_are_gone():
    """It has not seen them, but the last leader has."""
    assert share_after('v2', 'v2', share=97) == 97


def test_order_of_the_version_on_trial_moves_its_deadline():
    """Guards against more time that is acknowledged and not given."""
    clock = ManualClock(0.0)
    duty = SoftwareDuty(clock, RolloutBounds(0.15))
    rollouts = SoftwareRollouts()
    listed = [
        ListedReplica(id=name, service='s', software=name)
        for name in ('v1', 'v2')
    ]

    def order(duration_s, number):
        command = SoftwareRolloutCommand(
            service='s',
            target='v2',
            state='active',
            duration_s=duration_s,
            number=number,
        )
        rollouts.apply(command, clock.wall_ms())

    def end_s():
        while rollouts.by_service['s'].state == 'active':
            for one in duty.commands(rollouts, SoftwareEvidence(), listed):
                rollouts.apply(one.software_rollout, clock.wall_ms())
            clock.now_s += 0.2
        return clock.now_s

    order(14.0, 1)
    duty.commands(rollouts, SoftwareEvidence(), listed)
    clock.now_s = 6.0
    order(40.0, 2)
    assert 35.0 < end_s() < 46.0


def test_order_of_the_version_in_use_is_not_rolled_back():
    """Guards against requests sent to the version it was to replace."""
    clock = ManualClock(0.0)
    duty = SoftwareDuty(clock, RolloutBounds(0.15))
    rollouts = SoftwareRollouts()
    rollouts.load_in_use({'s': 'v1'})
    evidence = SoftwareEvidence()
    evidence.take(
        'e1',
        [
            SoftwareOutcome(
                service='s', software=name, rollout=1, answered=90, failed=bad
            )
            for name, bad in (('v1', 60), ('v2', 0))
        ],
    )
    listed = [
        ListedReplica(id=name, service='s', software=name)
        for name in ('v1', 'v2')
    ]
    order = SoftwareRolloutCommand(
        service='s', target='v1', state='active', duration_s=24, number=1
    )
    rollouts.apply(order, 0)
    while rollouts.by_service['s'].state == 'active':
        assert rollouts.by_service['s'].share_permille == 1000
        for one in duty.commands(rollouts, evidence, listed):
            rollouts.apply(one.software_rollout, 0)
        clock.now_s += 0.2
        assert clock.now_s < 24
    assert rollouts.by_service['s'].state == 'completed'
    assert clock.now_s > 20
