"""Checks settings, patches and routes without running anything."""

import json
from pathlib import Path

from snipebridge.cli.errors import CommandError
from snipebridge.exits import ExitStatus
from snipebridge.routing.documents import check_faults, read_table
from snipebridge.routing.errors import DocumentError
from snipebridge.settings.loading import load_settings


def check_file(path: str) -> None:
    """Check one file by its ending, ``.toml`` or ``.json``."""
    if path.endswith('.toml'):
        load_settings(path)
    elif path.endswith('.json'):
        _check_patch(path)
    else:
        raise CommandError(
            f'{path}: found an unknown ending, allowed are .toml and .json',
            ExitStatus.USAGE,
        )


def _check_patch(path: str) -> None:
    try:
        patch = json.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise CommandError(f'{path}: {error}', ExitStatus.REFUSED) from error
    if not isinstance(patch, dict):
        raise CommandError(
            f'{path}: found {type(patch).__name__}, allowed is an object',
            ExitStatus.REFUSED,
        )
    if 'routes' in patch:
        _check_routing(path)


def _check_routing(path: str) -> None:
    try:
        check_faults(read_table(Path(path).read_bytes()))
    except DocumentError as error:
        raise CommandError(
            f'{path}: {error.message}', ExitStatus.REFUSED
        ) from error
