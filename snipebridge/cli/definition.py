"""Definition of the command line: commands, flags and their help.

What the commands do is in `snipebridge.cli.commands`.
"""

from dataclasses import dataclass

from absl import flags


@dataclass(frozen=True, slots=True)
class CommandDefinition:
    """One command: its arguments, its purpose and the flags it takes."""

    arguments: str
    purpose: str
    flag_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FlagDefinition:
    """One flag: its default and its help."""

    default: str
    help: str


_REMOTE_FLAGS = ('control', 'ca_file')

DEFINITIONS = {
    'entry': CommandDefinition('', 'Answer callers.', ('settings',)),
    'control': CommandDefinition(
        '', 'Keep the replicated state.', ('settings',)
    ),
    'patch': CommandDefinition(
        'FILE',
        'Submit a JSON merge patch; FILE may be - for standard input.',
        (*_REMOTE_FLAGS, 'number', 'key'),
    ),
    'config': CommandDefinition(
        '', 'Print the number in force and the configuration.', _REMOTE_FLAGS
    ),
    'routing': CommandDefinition(
        '[FILE]',
        'Put a configuration of routes, or print the one in force.',
        _REMOTE_FLAGS,
    ),
    'software': CommandDefinition(
        'SERVICE',
        "Order the roll-out of a service's software, or print its state.",
        (*_REMOTE_FLAGS, 'target', 'within_s'),
    ),
    'evacuate': CommandDefinition(
        '[DATA_CENTRE]',
        'Send nothing to the replicas of a data centre, or print which.',
        (*_REMOTE_FLAGS, 'withdraw'),
    ),
    'status': CommandDefinition(
        '', 'Print leader, members and entry hosts.', _REMOTE_FLAGS
    ),
    'bills': CommandDefinition(
        '', 'Print bills as JSON lines.', (*_REMOTE_FLAGS, 'after', 'limit')
    ),
    'replace': CommandDefinition(
        'DEAD',
        'Replace the control host DEAD by one with an empty data folder.',
        (*_REMOTE_FLAGS, 'name', 'address', 'data_centre', 'identity'),
    ),
    'check': CommandDefinition(
        'FILE...',
        'Check settings files (.toml) and patches (.json), run nothing.',
        (),
    ),
    'key': CommandDefinition(
        'ACCOUNT', 'Make a key and the hash to put into a patch.', ()
    ),
}

FLAGS = {
    'settings': FlagDefinition('', 'Path of the TOML settings file.'),
    'control': FlagDefinition(
        'http://127.0.0.1:7080', 'URL of a control process for operators.'
    ),
    'ca_file': FlagDefinition('', 'CA that signed the certificate, if any.'),
    'number': FlagDefinition(
        '', 'Number the patch is made against; default: the one in force.'
    ),
    'key': FlagDefinition(
        '', 'Idempotency key; give the same one to resend a patch.'
    ),
    'name': FlagDefinition(
        '', 'Name of the new member; default: that of the dead one.'
    ),
    'address': FlagDefinition(
        '', 'Its address for other processes, host:port.'
    ),
    'data_centre': FlagDefinition('', 'Its data centre.'),
    'identity': FlagDefinition(
        '', 'Identity of its data folder; default: the first one seen.'
    ),
    'target': FlagDefinition('', 'Software version to roll out.'),
    'within_s': FlagDefinition('600', 'By when it should be done.'),
    'withdraw': FlagDefinition(
        '', 'yes to withdraw an evacuation instead of ordering it.'
    ),
    'after': FlagDefinition('0', 'Cursor of the last bill already read.'),
    'limit': FlagDefinition('1000', 'How many bills to print at most.'),
}

_ADMIN_KEY_NOTE = """\
Commands that talk to a control process read the operator key from the
environment variable SNIPEBRIDGE_ADMIN_KEY.
"""


def make_flags(name: str) -> flags.FlagValues:
    """Return the flags of a command, not parsed yet."""
    flag_values = flags.FlagValues()
    for flag_name in DEFINITIONS[name].flag_names:
        definition = FLAGS[flag_name]
        flags.DEFINE_string(
            flag_name,
            definition.default,
            definition.help,
            flag_values=flag_values,
        )
    return flag_values


def usage(name: str = '') -> str:
    """Return the help of one command, or of the program."""
    if name:
        return _command_usage(name)
    lines = ['usage: snipebridge COMMAND [--flag=value ...] [argument ...]', '']
    lines.extend(
        f'  {command:8} {definition.purpose}'
        for command, definition in DEFINITIONS.items()
    )
    lines.extend(('', 'snipebridge COMMAND --help tells the flags.', ''))
    return '\n'.join(lines) + _ADMIN_KEY_NOTE


def _command_usage(name: str) -> str:
    definition = DEFINITIONS[name]
    head = f'usage: snipebridge {name} [--flag=value ...] '
    lines = [head + definition.arguments, '', definition.purpose, '']
    for flag_name in definition.flag_names:
        flag = FLAGS[flag_name]
        default = f' (default: {flag.default})' if flag.default else ''
        lines.append(f'  --{flag_name}: {flag.help}{default}')
    return '\n'.join(lines).rstrip() + '\n'
