"""An entry that reaches no replica, beside one that does."""

import asyncio
import random
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest

from fakes.cut_link import NEW_REFUSED, RESET, SILENT, CutLink
from fakes.platform_caller import CHAT_HEADERS
from fakes.platform_replica import PlatformReplica
from snipebridge.clock import SystemClock
from snipebridge.relay.paths import PathFinder
from snipebridge.relay.replicas import ReplicaRegistry
from snipebridge.rpc.control_pb2 import EntryMember
from tests.relay.running_entry import RunningEntry

ANSWERED = 200
# The platform's bound on how long a host may take to notice.
CONNECTIVITY_S = 3.0
KINDS = ('/look/x', '/book/x', '/chat/x')


class Pair:
    """One entry whose ways to all replicas can be cut, and a sound one."""

    def __init__(self, *, has_two_helpers=False):
        """Start nothing yet."""
        self.has_two_helpers = has_two_helpers
        self.replicas = [
            PlatformReplica(f'm{number}', 'models', '127.0.0.1', events=30)
            for number in range(3)
        ] + [
            PlatformReplica(f'd{number}', 'desk', '127.0.0.1')
            for number in range(2)
        ]
        self.links = [CutLink(one) for one in self.replicas]
        self.sound = RunningEntry(*self.replicas)
        self.other_sound = RunningEntry(*self.replicas, owns_replicas=False)
        self.cut_off = RunningEntry(*self.links)
        self._tasks = []
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        """Start the entries and let them know each other."""
        entries = [self.sound, self.cut_off]
        if self.has_two_helpers:
            entries.append(self.other_sound)
        for entry in entries:
            await self._stack.enter_async_context(entry)
        for entry in entries:
            for number, other in enumerate(entries):
                member = EntryMember(
                    name=f'e{number}',
                    data_centre='a',
                    address=other.control.requests[-1].address,
                )
                entry.control.reply.entries.append(member)
            entry.control.reply.entries_digest = 7
        await asyncio.sleep(0.2)
        return self

    async def __aexit__(self, *exception):
        """Stop both."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def cut(self, form):
        """Cut all ways of one entry."""
        for link in self.links:
            await link.cut(form)

    async def heal(self):
        """Mend all ways."""
        for link in self.links:
            await link.heal()

    def passed_bytes(self):
        """Return what has passed on the ways that can be cut."""
        return sum(one.passed_bytes for one in self.links)

    async def play(self, seconds, attempts_per_s=15.0):
        """Send requests to the cut entry; return their outcomes."""
        tasks = []
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            tasks.append(asyncio.create_task(self._ask(len(tasks))))
            await asyncio.sleep(1 / attempts_per_s)
        self._tasks.extend(tasks)
        return tasks

    async def served(self, tasks):
        """Return the share of requests that were answered in full."""
        answers = await asyncio.gather(*tasks)
        served = [one.status == ANSWERED and one.is_whole for one in answers]
        return sum(served) / len(served)

    async def _ask(self, number):
        path = KINDS[number % len(KINDS)]
        headers = {'X-Attempt-Id': f'a{number}', 'X-Deadline-Ms': '600'}
        if path.startswith('/chat'):
            headers = {**CHAT_HEADERS, 'X-Attempt-Id': f'a{number}'}
        is_read = path.startswith('/look')
        try:
            return await self.cut_off.request(
                path,
                'GET' if is_read else 'POST',
                b'' if is_read else f'p{number}'.encode(),
                headers,
            )
        except (ConnectionError, asyncio.IncompleteReadError):
            return await self.sound.request('/none/')


def run(scenario, **options):
    """Run a scenario with a pair of entries, and another where asked for."""

    async def session():
        async with asyncio.timeout(40):
            async with Pair(**options) as pair:
                await scenario(pair)

    asyncio.run(session())


@pytest.mark.parametrize('form', [SILENT, RESET, NEW_REFUSED])
def test_entry_that_reaches_no_replica_still_serves(form):
    """From the platform's bound on, and by itself again once it is mended."""

    async def scenario(pair):
        assert await pair.served(await pair.play(1.5)) > 0.95
        await pair.cut(form)
        await pair.play(CONNECTIVITY_S)
        # More at once than there are open connections.
        during = await pair.play(4.0, attempts_per_s=60.0)
        served = await pair.served(during)
        await pair.heal()
        assert served > 0.95
        await pair.play(2.0)
        passed_bytes = pair.passed_bytes()
        assert await pair.served(await pair.play(2.0)) > 0.95
        assert pair.passed_bytes() > passed_bytes

    run(scenario)


@pytest.mark.parametrize('form', [SILENT, RESET])
def test_entry_goes_on_when_its_helper_ends(form):
    """Another one helps, and streams under way are resumed."""

    async def scenario(pair):
        await pair.play(0.5)
        await pair.cut(form)
        await pair.play(CONNECTIVITY_S)
        used = max(
            (pair.sound, pair.other_sound),
            key=lambda one: one.process._tunnels.open_tunnels,
        )
        assert used.process._tunnels.open_tunnels
        used.process._tunnels.close()
        during = await pair.play(2.0)
        assert await pair.served(during) > 0.95

    run(scenario, has_two_helpers=True)


class SlowPool:
    """Connects to every replica after a while."""

    async def connect(self, address, timeout_s):
        """Return a stand-in of a connection."""
        await asyncio.sleep(0.2)
        return SimpleNamespace(address=address, on_timeout=None)


def test_helper_that_does_not_answer_holds_no_slow_connection_back():
    """The direct one comes after 0.2 s, the helper never."""

    async def scenario():
        silent = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        address = f'127.0.0.1:{silent.sockets[0].getsockname()[1]}'
        paths = PathFinder(
            ReplicaRegistry(), SlowPool(), SystemClock(), random.Random(1), 'a'
        )
        paths.helpers.set_peers([EntryMember(name='e', address=address)])
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        connection = await paths.dial('r1', 'here:1', 1.0)
        assert connection.address == 'here:1'
        assert loop.time() - started_s < 0.3
        assert not paths.indirect_count
        silent.close()

    asyncio.run(asyncio.wait_for(scenario(), 5))


def test_stream_of_a_replica_that_is_silent_for_a_second_stays_there():
    """It goes on, and nothing has crashed or is cut."""

    async def scenario():
        replica = PlatformReplica('m0', 'models', '127.0.0.1', events=6)
        other = PlatformReplica('m1', 'models', '127.0.0.1', events=6)
        for one in (replica, other):
            one.faults.stalls_after_events = 5
            one.faults.stall_s = 1.2
        async with RunningEntry(replica, other) as entry:
            answer = await entry.chat()
            assert answer.is_whole
            assert len(replica.runs) + len(other.runs) == 1
            reported = entry.control.requests[-1]
            assert not reported.lost_replicas

    asyncio.run(asyncio.wait_for(scenario(), 20))
