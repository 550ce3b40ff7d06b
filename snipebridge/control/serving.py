"""Serves control, again and again where its disk fails now and then.

>>> stop = asyncio.Event()  # doctest: +SKIP
>>> await serve(settings, stop)  # doctest: +SKIP
"""

import asyncio
from contextlib import suppress
from pathlib import Path

from snipebridge.clock import SystemClock
from snipebridge.consensus.errors import DiskError, StorageError
from snipebridge.consensus.replica import make_replica
from snipebridge.consensus.storage import probe
from snipebridge.control.leader import Planners
from snipebridge.control.process import (
    ControlError,
    folder_error,
    make_control,
)
from snipebridge.control.rollouts import PlannedRollouts
from snipebridge.controllers.share_planner import make_share_planner
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.errors import SnipebridgeError
from snipebridge.logs import log_event
from snipebridge.settings.models import Settings
from snipebridge.settings.seeds import resolve_control_seeds
from snipebridge.settings.watching import SettingsWatch
from snipebridge.upstreams.engine import make_engine

_DISK_POLL_S = 0.2


async def serve(
    settings: Settings,
    stop: asyncio.Event,
    watch: SettingsWatch | None = None,
) -> None:
    """Run a control process until `stop` is set, then drain.

    While the disk refuses writes it listens to nobody. As soon as the folder
    can be opened it starts again from what that holds, as a new process would.
    Raises `ControlError` when the replica can't go on for another reason;
    started again, the process recovers from its data folder.
    """
    resolve_control_seeds(settings)
    while not stop.is_set():
        try:
            return await _serve_once(settings, stop, watch)
        except DiskError as error:
            log_event('disk_refused', error=error.message)
        await _wait_for_disk(Path(settings.process.data_folder), stop)


async def _wait_for_disk(folder: Path, stop: asyncio.Event) -> None:
    """Return once the folder can be opened, or `stop` is set."""
    while not stop.is_set():
        try:
            await asyncio.to_thread(probe, folder)
        except DiskError:
            await _wait(stop, _DISK_POLL_S)
        except StorageError as error:
            raise folder_error(error) from error
        else:
            log_event('disk_usable', folder=str(folder))
            return


async def _wait(event: asyncio.Event, limit_s: float) -> None:
    with suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), limit_s)


async def _serve_once(
    settings: Settings,
    stop: asyncio.Event,
    watch: SettingsWatch | None,
) -> None:
    """Run until `stop` is set; raises `DiskError` where the disk fails."""
    failures: list[BaseException] = []
    ending = asyncio.Event()
    stopping = asyncio.create_task(_pass_on(stop, ending))

    def fail(error: BaseException) -> None:
        failures.append(error)
        ending.set()

    def take_settings(changed: Settings) -> None:
        settings.seeds = changed.seeds
        process.take_settings(changed)

    machine = make_control_state_machine(settings.control)
    replica = make_replica(settings, machine, on_failure=fail)
    clock = SystemClock()
    planners = Planners(
        rollouts=PlannedRollouts(), shares=make_share_planner(clock)
    )
    engine = make_engine()
    process = make_control(settings, machine, replica, clock, planners, engine)
    try:
        await process.start()
        watching = asyncio.create_task(
            watch.run(take_settings) if watch else stop.wait()
        )
        await process.run(ending)
        watching.cancel()
    finally:
        stopping.cancel()
    if failures:
        raise _failure(failures[0])


async def _pass_on(source: asyncio.Event, target: asyncio.Event) -> None:
    await source.wait()
    target.set()


def _failure(error: BaseException) -> SnipebridgeError:
    if isinstance(error, DiskError):
        return error
    return ControlError(f'the replica failed: {error}')
