"""Progress of roll-outs, so that a new leader resumes each where it stood."""

import base64
from dataclasses import dataclass

from snipebridge.controllers.results import accepted, duplicate, invalid
from snipebridge.rpc.commands_pb2 import CommandResult, RolloutCommand

STATES = ('complete', 'running', 'stopped')


@dataclass(slots=True)
class RolloutProgress:
    """How far the roll-out of one version has come."""

    version: str
    stage: int
    state: str
    reason: str
    # Serialised sums; only the planner of roll-outs reads them.
    evidence: bytes


class RolloutStates:
    """Replicated state: the progress by version.

    >>> states = RolloutStates()
    >>> command = RolloutCommand(version='m@2', stage=1, state='running')
    >>> states.apply(command).code == CommandResult.OK
    True
    >>> states.progress['m@2'].stage
    1
    """

    __slots__ = ('progress',)

    def __init__(self) -> None:
        """Start without a roll-out."""
        self.progress: dict[str, RolloutProgress] = {}

    def apply(self, command: RolloutCommand) -> CommandResult:
        """Replace the progress of a version."""
        if command.state not in STATES:
            return invalid(
                f'state: found {command.state!r}, '
                f'allowed are {", ".join(STATES)}'
            )
        found = RolloutProgress(
            command.version,
            command.stage,
            command.state,
            command.reason,
            command.evidence,
        )
        if self.progress.get(command.version) == found:
            return duplicate()
        self.progress[command.version] = found
        return accepted()

    def reconcile(self, previous: dict, rollouts: dict) -> None:
        """Follow a change of the configured roll-outs.

        Progress is dropped with its roll-out, and when an operator starts
        the roll-out of a version anew.
        """
        self.progress = {
            version: progress
            for version, progress in self.progress.items()
            if version in rollouts
            and not _starts_anew(previous.get(version, {}), rollouts[version])
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
        """Replace the state by a dumped one."""
        self.progress = {
            version: RolloutProgress(
                version, stage, found, reason, base64.b64decode(evidence)
            )
            for version, stage, found, reason, evidence in state
        }


def _starts_anew(previous: dict, rollout: dict) -> bool:
    ended = previous.get('state') not in {'running', 'paused'}
    return ended and rollout['state'] == 'running'
