"""Errors of the replicated log."""

from snipebridge.errors import SnipebridgeError


class ConsensusError(SnipebridgeError):
    """The replicated log could not do what was asked."""

    code = 'consensus'


class NotLeaderError(ConsensusError):
    """This replica does not lead; nothing was appended."""

    code = 'not_leader'

    def __init__(self, leader_name: str, leader_address: str) -> None:
        """Keep where the leader is thought to be; empty when unknown."""
        super().__init__(f'the leader is {leader_name or "not known"}')
        self.leader_name = leader_name
        self.leader_address = leader_address


class OutcomeUnknownError(ConsensusError):
    """Leadership was lost while an entry was in flight.

    The entry may be committed later or never; the submitter resends it
    under the same key.
    """

    code = 'outcome_unknown'


class StorageError(ConsensusError):
    """The data folder can't be read, written or trusted."""

    code = 'storage'


class DiskError(StorageError):
    """The disk refused a call, for want of room or by a fault.

    What the call was to make durable may be so or not. The folder can be
    opened again once the disk takes writes.
    """

    code = 'disk'


class CorruptLogError(StorageError):
    """A record in the middle of the log fails its checksum."""

    code = 'corrupt_log'


class FolderInUseError(StorageError):
    """Another process holds the data folder."""

    code = 'folder_in_use'


class CommandTooLargeError(ConsensusError):
    """A command does not fit into a message between replicas."""

    code = 'command_too_large'


class MembershipChangeError(ConsensusError):
    """The asked change of membership can't be made now, or at all."""

    code = 'membership_change'


class MembershipBusyError(MembershipChangeError):
    """Another change is under way, or the leader is too new; ask again."""

    code = 'membership_busy'


class ReplicaFailedError(ConsensusError):
    """The replica stopped because of a fault that it must not outlive."""

    code = 'replica_failed'
