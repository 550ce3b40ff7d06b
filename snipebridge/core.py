"""Runs one command against an environment.

>>> from snipebridge.environment import make_captured_environment
>>> environment = make_captured_environment()
>>> int(run(['snipebridge', 'unknown'], environment))
2
"""

from collections.abc import Sequence

from absl import flags

from snipebridge.cli.commands import COMMANDS
from snipebridge.cli.definition import make_flags, usage
from snipebridge.cli.errors import CommandError
from snipebridge.environment import Environment
from snipebridge.errors import SnipebridgeError
from snipebridge.exits import ExitStatus
from snipebridge.settings.errors import SettingsError

_HELP_WORDS = frozenset(('help', '--help', '-h', '-help'))


def run(
    argv: Sequence[str], environment: Environment | None = None
) -> ExitStatus:
    """Run the command named by the first argument."""
    environment = environment or Environment()
    name = argv[1] if len(argv) > 1 else 'help'
    if name in _HELP_WORDS:
        environment.stdout.write(usage())
        return ExitStatus.OK
    if name not in COMMANDS:
        environment.stderr.write(f'unknown command: {name}\n\n{usage()}')
        return ExitStatus.USAGE
    if _HELP_WORDS.intersection(argv[2:]):
        environment.stdout.write(usage(name))
        return ExitStatus.OK
    return _run_command(name, argv, environment)


def _run_command(
    name: str, argv: Sequence[str], environment: Environment
) -> ExitStatus:
    flag_values = make_flags(name)
    try:
        arguments = flag_values([argv[0], *argv[2:]])[1:]
    except flags.Error as error:
        environment.stderr.write(f'{error}\n\n{usage(name)}')
        return ExitStatus.USAGE
    try:
        return COMMANDS[name](flag_values, arguments, environment)
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except SnipebridgeError as error:
        environment.stderr.write(f'{error.message}\n')
        return _exit_status(error)


def _exit_status(error: SnipebridgeError) -> ExitStatus:
    if isinstance(error, CommandError):
        return error.exit_status
    if isinstance(error, SettingsError):
        return ExitStatus.BAD_SETTINGS
    return ExitStatus.ERROR
