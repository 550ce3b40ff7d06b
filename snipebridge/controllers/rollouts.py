"""Replicated progress of roll-outs, from which a new leader resumes them."""

import base64
from dataclasses import dataclass

from snipebridge.controllers.results import accepted, duplicate, invalid
from snipebridge.rpc.commands_pb2 import CommandResult, RolloutCommand

STATES = ('complete', 'running', 'stopped')


@dataclass(slots=True)
class RolloutProgress:
    """Stage and state of the roll-out of a version."""

    version: str
    stage: int
    state: str
    reason: str
    # Serialised sums that only the roll-out planner reads.
    evidence: bytes


class RolloutStates:
    """Replicated state: roll-out progress by version.

    >>> states = RolloutStates()
    >>> command = RolloutCommand(version='m@2', stage=1, state='running')
    >>> states.apply(command).code == CommandResult.OK
    True
    >>> states.progress['m@2'].stage
    1
    """

    __slots__ = ('progress',)

    def __init__(self) -> None:
        """Start without roll-outs."""
        self.progress: dict[str, RolloutProgress] = {}

    def apply(self, command: RolloutCommand) -> CommandResult:
        """Replace the progress of a version."""
        if command.state not in STATES:
            return invalid(
                f'state: found {command.state!r}, '
                f'allowed are {", ".join(STATES)}'
            )
        progress = RolloutProgress(
            command.version,
            command.stage,
            command.state,
            command.reason,
            command.evidence,
        )
        if self.progress.get(command.version) == progress:
            return duplicate()
        self.progress[command.version] = progress
        return accepted()

    def reconcile(self, previous: dict, rollouts: dict) -> None:
        """Apply a change of the configured roll-outs.

        Progress is removed with its roll-out, and when an operator restarts
        the roll-out of a version.
        """
        self.progress = {
            version: progress
            for version, progress in self.progress.items()
            if version in rollouts
            and not _is_restarted(previous.get(version, {}), rollouts[version])
        }

    def dump(self) -> list:
        """Return the state as JSON types."""
        return [
            [
                one.version,
                one.stage,
                one.state,
                one.reason,
                base64.b64encode(one.evidence).decode(),
            ]
            for _, one in sorted(self.progress.items())
        ]

    def load(self, state: list) -> None:
        """Replace the state with a dumped one."""
        self.progress = {
            version: RolloutProgress(
                version, stage, status, reason, base64.b64decode(evidence)
            )
            for version, stage, status, reason, evidence in state
        }


def _is_restarted(previous: dict, rollout: dict) -> bool:
    ended = previous.get('state') not in {'running', 'paused'}
    return ended and rollout['state'] == 'running'
