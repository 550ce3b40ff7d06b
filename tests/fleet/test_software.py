"""Tests of the leader's duty to move roll-outs on."""

from snipebridge.controllers.software_rollouts import SoftwareRolloutState
from snipebridge.fleet.evidence import SoftwareEvidence
from snipebridge.fleet.software import SoftwareDuty
from snipebridge.policy.software_rollouts import RolloutBounds
from snipebridge.rpc.control_pb2 import ListedReplica


class Clock:
    """A clock that stands at one second after the order."""

    def monotonic_s(self):
        """Return the steady time."""
        return 1.0

    def wall_ms(self):
        """Return the time of day."""
        return 1000


def share_after(*software, share=0):
    """Return the share ordered while replicas of some versions are listed."""
    duty = SoftwareDuty(Clock(), RolloutBounds(0.15))
    rollout = SoftwareRolloutState('s', 'v2', 'active', share, 1, 0, 20_000)
    listed = [
        ListedReplica(id=str(number), service='s', software=name)
        for number, name in enumerate(software)
    ]
    commands = duty.commands([rollout], SoftwareEvidence(), listed)
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
