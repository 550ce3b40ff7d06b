"""What each command does.

A command gets its parsed flags, its arguments and the environment, and
returns an exit code. Long-running commands live in `snipebridge.entry` and
`snipebridge.control.serving`.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from urllib.parse import quote

from absl import flags

from snipebridge.cli.checking import check_file
from snipebridge.cli.errors import CommandError
from snipebridge.cli.operators import OperatorClient, make_operator_client
from snipebridge.environment import Environment
from snipebridge.exits import ExitStatus
from snipebridge.keys import make_key, make_key_hash, make_salt
from snipebridge.logs import log_event, start_logging
from snipebridge.settings.loading import load_settings
from snipebridge.settings.models import Settings
from snipebridge.settings.promises import apply_promises
from snipebridge.settings.watching import SettingsWatch
from snipebridge.supervision import describe

Command = Callable[[flags.FlagValues, Sequence[str], Environment], ExitStatus]
Serve = Callable[
    [Settings, asyncio.Event, SettingsWatch | None], Awaitable[None]
]


def run_entry(flag_values, arguments, environment) -> ExitStatus:
    """Run the entry process until TERM, then drain."""
    # Before the settings are read: no change in between is missed.
    watch = SettingsWatch(flag_values.settings)
    settings = _load_process_settings(flag_values)
    if settings.entry.form == 'routed':
        from snipebridge.relay.process import serve  # noqa: PLC0415 - other commands start faster without it
    else:
        from snipebridge.entry import serve  # noqa: PLC0415 - other commands start faster without it

    return _run_process(serve, settings, watch)


def run_control(flag_values, arguments, environment) -> ExitStatus:
    """Run the control process until TERM, then drain."""
    watch = SettingsWatch(flag_values.settings)
    settings = _load_process_settings(flag_values)
    from snipebridge.control.serving import serve  # noqa: PLC0415 - other commands start faster without it

    return _run_process(serve, settings, watch)


def run_patch(flag_values, arguments, environment) -> ExitStatus:
    """Submit a patch and print the number that it made."""
    path = _only_argument(arguments, 'FILE')
    text = _read_patch(path, environment)
    client = _client(flag_values, environment)
    number = flag_values.number or str(client.configuration_number())
    answer = client.patch(text, number, flag_values.key)
    environment.stdout.write(f'{answer}\n')
    return ExitStatus.OK


def run_config(flag_values, arguments, environment) -> ExitStatus:
    """Print the configuration."""
    return _print_page('/admin/v1/config', flag_values, environment)


def run_routing(flag_values, arguments, environment) -> ExitStatus:
    """Put a configuration of routes, or print the one in force."""
    if not arguments:
        return _print_page('/admin/v1/routing', flag_values, environment)
    path = _only_argument(arguments, 'FILE')
    client = _client(flag_values, environment)
    answer = client.put_routing(_read_patch(path, environment))
    environment.stdout.write(f'{answer}\n')
    return ExitStatus.OK


def run_software(flag_values, arguments, environment) -> ExitStatus:
    """Order the roll-out of a service's software, or print its state."""
    service = _only_argument(arguments, 'SERVICE')
    if not flag_values.target:
        path = f'/admin/v1/software-rollouts/{quote(service, safe="")}'
        return _print_page(path, flag_values, environment)
    client = _client(flag_values, environment)
    try:
        answer = client.order_software(
            service, flag_values.target, flag_values.within_s
        )
    except ValueError as error:
        raise CommandError(
            f'--within_s: found {flag_values.within_s!r}, allowed is a number',
            ExitStatus.USAGE,
        ) from error
    environment.stdout.write(f'{answer}\n')
    return ExitStatus.OK


def run_evacuate(flag_values, arguments, environment) -> ExitStatus:
    """Order or withdraw an evacuation, or print those in force."""
    if not arguments:
        return _print_page('/admin/v1/evacuations', flag_values, environment)
    data_centre = _only_argument(arguments, 'DATA_CENTRE')
    if flag_values.withdraw not in {'', 'yes'}:
        raise CommandError(
            f'--withdraw: found {flag_values.withdraw!r}, allowed is yes',
            ExitStatus.USAGE,
        )
    client = _client(flag_values, environment)
    answer = client.evacuate(
        data_centre, is_withdrawn=flag_values.withdraw == 'yes'
    )
    environment.stdout.write(f'{answer}\n')
    return ExitStatus.OK


def run_status(flag_values, arguments, environment) -> ExitStatus:
    """Print leader, members and entry hosts."""
    return _print_page('/admin/v1/status', flag_values, environment)


def run_bills(flag_values, arguments, environment) -> ExitStatus:
    """Print bills after a cursor."""
    query = f'after={flag_values.after}&limit={flag_values.limit}'
    return _print_page(f'/admin/v1/bills?{query}', flag_values, environment)


def run_replace(flag_values, arguments, environment) -> ExitStatus:
    """Replace a control host that is lost."""
    dead = _only_argument(arguments, 'DEAD')
    if not flag_values.address:
        raise CommandError('--address is missing', ExitStatus.USAGE)
    change = {
        'dead': dead,
        'name': flag_values.name or dead,
        'address': flag_values.address,
        'data_centre': flag_values.data_centre,
        'identity': flag_values.identity,
    }
    answer = _client(flag_values, environment).replace_member(change)
    environment.stdout.write(f'{answer}\n')
    return ExitStatus.OK


def run_check(flag_values, arguments, environment) -> ExitStatus:
    """Check files; the first fault ends the command."""
    if not arguments:
        raise CommandError('check needs at least one FILE', ExitStatus.USAGE)
    for path in arguments:
        check_file(path)
        environment.stdout.write(f'{path}: ok\n')
    return ExitStatus.OK


def run_key(flag_values, arguments, environment) -> ExitStatus:
    """Print a new key and its hash."""
    account = _only_argument(arguments, 'ACCOUNT')
    key = make_key(account)
    key_hash = make_key_hash(key, make_salt())
    environment.stdout.write(f'key: {key}\nhash: {key_hash}\n')
    return ExitStatus.OK


COMMANDS: dict[str, Command] = {
    'entry': run_entry,
    'control': run_control,
    'patch': run_patch,
    'config': run_config,
    'routing': run_routing,
    'software': run_software,
    'evacuate': run_evacuate,
    'status': run_status,
    'bills': run_bills,
    'replace': run_replace,
    'check': run_check,
    'key': run_key,
}


def _load_process_settings(flag_values: flags.FlagValues) -> Settings:
    if not flag_values.settings:
        raise CommandError('--settings is missing', ExitStatus.USAGE)
    settings = load_settings(flag_values.settings)
    apply_promises(settings)
    return settings


def _run_process(
    serve: Serve, settings: Settings, watch: SettingsWatch
) -> ExitStatus:
    start_logging(settings.log, settings.process.name)
    try:
        asyncio.run(_serve_until_signal(serve, settings, watch))
    except Exception as error:
        log_event('process_failed', **describe(error))
        raise
    log_event('process_ended')
    return ExitStatus.OK


async def _serve_until_signal(
    serve: Serve, settings: Settings, watch: SettingsWatch
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, watch.ask)
    await serve(settings, stop, watch)


def _only_argument(arguments: Sequence[str], name: str) -> str:
    if len(arguments) != 1:
        raise CommandError(
            f'exactly one {name} is needed, found {len(arguments)}',
            ExitStatus.USAGE,
        )
    return arguments[0]


def _read_patch(path: str, environment: Environment) -> str:
    if path == '-':
        return environment.stdin.read()
    try:
        with open(path, encoding='utf-8') as stream:
            return stream.read()
    except OSError as error:
        raise CommandError(f'{path}: {error}', ExitStatus.USAGE) from error


def _client(flag_values, environment: Environment) -> OperatorClient:
    return make_operator_client(
        flag_values.control,
        environment.variables.get('SNIPEBRIDGE_ADMIN_KEY', ''),
        flag_values.ca_file,
    )


def _print_page(path: str, flag_values, environment) -> ExitStatus:
    body = _client(flag_values, environment).read(path)
    environment.stdout.write(body.rstrip('\n') + '\n')
    return ExitStatus.OK
