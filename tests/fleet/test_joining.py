"""Control processes that find each other by seeds, and keep enough voters."""

import asyncio

from bench.processes import free_ports
from snipebridge.consensus.replica import make_replica
from snipebridge.control.process import make_control
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import Command, RoutingCommand
from snipebridge.settings.models import (
    ListenerSettings,
    ProcessSettings,
    SeedSettings,
    Settings,
)
from snipebridge.settings.seeds import resolve_control_seeds


class Fleet:
    """Control processes on loopback addresses of their own, in one test."""

    def __init__(self, folder, seeds):
        """Choose one port that is free on all."""
        self.folder = folder
        self.port = free_ports(1)[0]
        self.seeds = [f'127.0.3.{number}:{self.port}' for number in seeds]
        self.running = {}

    async def start(self, number, *, bootstrap=False, folder=None):
        """Start a process."""
        host = f'127.0.3.{number}'
        name = folder or f'c{number}'
        settings = Settings(
            ProcessSettings(name, 'd', data_folder=str(self.folder / name)),
            listener=ListenerSettings(host=host),
            rpc_listener=ListenerSettings(host=host, port=self.port),
            seeds=SeedSettings(list(self.seeds), bootstrap=bootstrap),
        )
        settings.control.election_timeout_s = 0.5
        settings.control.heartbeat_interval_s = 0.1
        resolve_control_seeds(settings)
        machine = make_control_state_machine(settings.control)
        process = make_control(
            settings, machine, make_replica(settings, machine)
        )
        await process.start()
        self.running[number] = process

    async def stop(self, number):
        """Stop a process; its data folder stays."""
        await self.running.pop(number).stop()

    async def kill(self, number):
        """End a process at once: it tells nobody, and refuses connections."""
        process = self.running.pop(number)
        for task in process._tasks:
            task.cancel()
        replica = process.leadership.replica
        await replica._driver.stop()
        await replica._transport.close()
        await process._server.stop(None)
        process._http.stop()
        replica._storage.close()

    async def leader(self):
        """Wait for the process that is in office."""
        while True:
            for process in self.running.values():
                if process.leadership.is_in_office():
                    return process
            await asyncio.sleep(0.02)

    async def put(self, version):
        """Put a configuration through the leader."""
        leader = await self.leader()
        command = RoutingCommand(version=version, document=b'{}')
        await leader.leadership.replica.submit([Command(routing=command)])

    async def follower(self, *numbers):
        """Return the first of these that does not lead."""
        leader = await self.leader()
        return next(one for one in numbers if self.running[one] is not leader)

    async def voters(self, *numbers):
        """Wait until exactly these vote."""
        wanted = {f'127.0.3.{number}:{self.port}' for number in numbers}
        while True:
            leader = await self.leader()
            found = {
                member.name
                for member in leader.leadership.replica.members()
                if member.voter
            }
            if found == wanted:
                return
            await asyncio.sleep(0.05)

    async def close(self):
        """Stop all."""
        for number in list(self.running):
            await self.stop(number)


def run(folder, scenario, seeds=(1, 2, 3)):
    """Run a scenario on a fleet whose seeds have founded the log."""

    async def session():
        fleet = Fleet(folder, seeds)
        try:
            for number in seeds:
                await fleet.start(number, bootstrap=True)
            await fleet.voters(*seeds)
            await fleet.put(1)
            async with asyncio.timeout(40):
                await scenario(fleet)
        finally:
            await fleet.close()

    asyncio.run(session())


def test_replaced_host_takes_over_the_vote(tmp_path):
    """One is gone for good; an empty one at another address follows it."""

    async def scenario(fleet):
        await fleet.stop(2)
        await fleet.start(4)
        await fleet.voters(1, 3, 4)
        await fleet.put(2)
        await fleet.stop(1)
        await fleet.put(3)
        assert fleet.running[4].leadership.machine.routing.version >= 2

    run(tmp_path, scenario)


def test_wiped_host_votes_again_under_a_new_identity(tmp_path):
    """Its address stays; what it had acknowledged is on the others."""

    async def scenario(fleet):
        old = fleet.running[2].leadership.replica.identity()
        await fleet.stop(2)
        await fleet.start(2, folder='c2-empty')
        replica = fleet.running[2].leadership.replica
        assert replica.identity() != old
        while not replica.is_voter():
            await asyncio.sleep(0.05)
        assert fleet.running[2].leadership.machine.routing.version == 1

    run(tmp_path, scenario)


def test_spare_process_stays_out(tmp_path):
    """One loss is tolerated, so three vote, and a fourth only waits."""

    async def scenario(fleet):
        await fleet.start(4)
        await asyncio.sleep(1.0)
        await fleet.voters(1, 2, 3)
        leader = await fleet.leader()
        assert fleet.running[4].leadership.replica.leader_address() in {
            process.rpc_address for process in fleet.running.values()
        }
        assert leader.rpc_address

    run(tmp_path, scenario)


def test_process_that_lost_its_vote_while_away_asks_for_one(tmp_path):
    """Guards against a process that trusts its own log about its vote.

    The leader sends its log to members only, so the log of a process that
    was replaced while it was away names it as a voter for good.
    """

    async def scenario(fleet):
        await fleet.start(4)
        await fleet.stop(2)
        await fleet.voters(1, 3, 4)
        await fleet.start(2)
        await asyncio.sleep(2.0)
        assert fleet.running[2].leadership.replica.leader_address()
        await fleet.stop(1)
        await fleet.voters(2, 3, 4)

    run(tmp_path, scenario)


def test_planned_stop_leaves_its_vote_to_the_process_that_waits(tmp_path):
    """Guards against a vote that dies with a process that was replaced.

    One second after the old process has ended, the disk of another one is
    lost: without the successor's vote no majority is left for good.
    """

    async def scenario(fleet):
        await fleet.start(4)
        await asyncio.sleep(1.0)
        await fleet.stop(1)
        await asyncio.sleep(1.0)
        await fleet.put(2)
        await fleet.kill(2)
        await fleet.put(3)
        await fleet.start(2, folder='c2-empty')
        await fleet.voters(2, 3, 4)
        await fleet.put(4)

    run(tmp_path, scenario)


def test_process_that_ended_by_itself_is_followed_at_once(tmp_path):
    """Guards against waiting out a silence where connections are refused."""

    async def scenario(fleet):
        await fleet.start(4)
        await asyncio.sleep(1.0)
        ended = await fleet.follower(1, 2, 3)
        await fleet.kill(ended)
        await asyncio.sleep(1.0)
        lost = await fleet.follower(*{1, 2, 3} - {ended})
        await fleet.kill(lost)
        await fleet.put(2)

    run(tmp_path, scenario)


def test_planned_stop_without_a_successor_keeps_the_vote(tmp_path):
    """Guards against restarts that shrink the electorate, or that wait."""

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        for number in (1, 2, 3):
            started_s = loop.time()
            await fleet.stop(number)
            assert loop.time() - started_s < 2.0
            await fleet.voters(1, 2, 3)
            await fleet.start(number)
            await fleet.put(number + 1)

    run(tmp_path, scenario)


def test_two_planned_stops_in_a_row_use_both_successors(tmp_path):
    """Guards against a second stop that finds no standby in time."""

    async def scenario(fleet):
        await fleet.start(4)
        await fleet.start(5)
        await asyncio.sleep(1.0)
        await fleet.stop(1)
        await fleet.stop(2)
        async with asyncio.timeout(1.0):
            await fleet.voters(3, 4, 5)
        await fleet.kill(3)
        await fleet.put(2)

    run(tmp_path, scenario)
