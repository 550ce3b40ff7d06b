"""Turning seeds into the addresses that the processes use.

A process that is told some hosts of the control processes, and no names,
knows each control process by its gRPC address.
"""

from collections.abc import Sequence

from snipebridge.settings.models import ControlAddress, Settings


def seed_addresses(settings: Settings) -> list[str]:
    """Return the gRPC addresses of the seeds.

    >>> from snipebridge.settings.models import ProcessSettings, SeedSettings
    >>> seeds = SeedSettings(['10.0.0.1:8229'], rpc_port=7340)
    >>> seed_addresses(Settings(ProcessSettings('e', 'd'), seeds=seeds))
    ['10.0.0.1:7340']
    """
    port = settings.seeds.rpc_port
    if not port:
        return list(settings.seeds.addresses)
    return [
        f'{address.rpartition(":")[0]}:{port}'
        for address in settings.seeds.addresses
    ]


def resolve_entry_seeds(settings: Settings) -> None:
    """Make the seeds the control processes that an entry asks first."""
    _set_controls(settings, seed_addresses(settings))


def resolve_control_seeds(settings: Settings) -> None:
    """Make the seeds the first members of the log, or the ones to join.

    Only a seed of a system that starts for the first time may found the log;
    every other process joins the one that is there.
    """
    addresses = seed_addresses(settings)
    if not addresses:
        return
    listener = settings.rpc_listener
    own_address = f'{listener.host}:{listener.port}'
    settings.process.name = own_address
    is_founder = settings.seeds.bootstrap and own_address in addresses
    settings.control.join = not is_founder
    _set_controls(settings, addresses if is_founder else [])


def _set_controls(settings: Settings, addresses: Sequence[str]) -> None:
    if addresses:
        settings.controls = [
            ControlAddress(name=address, address=address)
            for address in addresses
        ]
