"""A deadly request and a deadly prompt part crash replicas together."""

import asyncio

import pytest

from bench.platform_system import PlatformSystem, entry_hosts
from fakes.platform_caller import CHAT_HEADERS
from fakes.platform_replica import PlatformReplica

ANSWERED = 200
BAD = 'bad1'
DEADLY = '/chat/deadly'
ENTRIES = entry_hosts(6)
# The platform's bounds: how long hosts may take to agree, how many crashes it
# bears under a request and under a part, and how many more requests then.
CONNECTIVITY_S = 3.0
FREE_REQUEST_CRASHES = 3
FREE_PART_CRASHES = 5
ALLOWED = 3


def fragile_replicas(restart_s):
    """Return replicas of models that both causes crash."""
    replicas = [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1', events=40)
        for number in range(8)
    ]
    for replica in replicas:
        replica.faults.crashes_on = BAD
        replica.faults.crashes_on_target = DEADLY
        replica.faults.restart_s = restart_s
    return replicas


class Load:
    """Sound requests, one deadly request and others with a deadly part.

    All prompts begin with the same part, and then with one of four.
    """

    def __init__(self, system, replicas, rate):
        """Start without a request."""
        self.system = system
        self.replicas = replicas
        self.rate = rate
        self.sound = []
        self._tasks = []

    def crashes(self, *, is_request):
        """Return when replicas crashed under one of the two causes."""
        return sorted(
            crashed_s
            for one in self.replicas
            for crashed_s, run in zip(one.crashes, one.crashed_under)
            if (run.target == DEADLY) is is_request
        )

    def arrivals(self, since_s, *, is_request):
        """Return how many requests of one of the causes reached a replica."""
        return sum(
            run.arrived_s > since_s
            and (run.target == DEADLY if is_request else run.shares_part(BAD))
            for one in self.replicas
            for run in one.runs
        )

    def late(self, free, *, is_request):
        """Return how many reached a replica when all hosts had to know."""
        crashes = self.crashes(is_request=is_request)
        if len(crashes) < free:
            return 0
        bound_s = crashes[free - 1] + CONNECTIVITY_S
        return self.arrivals(bound_s, is_request=is_request)

    def first_tries(self, since_s):
        """Return how many sound ones were sent, and how many served."""
        sent = [status for sent_s, status in self.sound if sent_s > since_s]
        return len(sent), sum(one == ANSWERED for one in sent)

    async def send(self, seconds):
        """Send 20 sound, two deadly and three bad ones at a rate of one."""
        await asyncio.gather(
            self._repeat(self._ask_sound, 20.0, seconds),
            self._repeat(self._ask_deadly, 2.0, seconds),
            self._repeat(self._ask_bad, 3.0, seconds),
        )
        await asyncio.gather(*self._tasks)

    async def _repeat(self, ask, per_s, seconds):
        for number in range(round(seconds * per_s * self.rate)):
            self._tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(1.0 / (per_s * self.rate))

    async def _ask_sound(self, number):
        sent_s = asyncio.get_running_loop().time()
        prompt = f'5c:800,{number % 4}a:100,{number:x}f:50'
        status = await self._ask(f'/chat/sound{number}', number, prompt)
        self.sound.append((sent_s, status))

    async def _ask_deadly(self, number):
        await self._ask(DEADLY, number, '5c:800,2a:100,dd:50')

    async def _ask_bad(self, number):
        prompt = f'5c:800,{number % 4}a:100,{BAD}:100,{number:x}e:50'
        await self._ask(f'/chat/bad{number}', number, prompt)

    async def _ask(self, target, number, prompt):
        answer = await self.system.ask(
            target,
            ENTRIES[number % len(ENTRIES)],
            method='POST',
            body=b'same',
            headers={**CHAT_HEADERS, 'X-Prefix-Hash': prompt},
        )
        return answer.status


@pytest.mark.parametrize(
    ('rate', 'restart_s', 'sent_s'), [(1.0, 2.5, 24.0), (0.1, 4.0, 60.0)]
)
def test_two_causes_at_once_are_both_kept_from_replicas(
    tmp_path, rate, restart_s, sent_s
):
    """Sound requests that share a part with both are served."""
    replicas = fragile_replicas(restart_s)

    async def scenario():
        async with (
            asyncio.timeout(110),
            PlatformSystem(tmp_path / 'system', replicas, ENTRIES) as system,
        ):
            load = Load(system, replicas, rate)
            began_s = asyncio.get_running_loop().time()
            await load.send(sent_s)
            sent, served = load.first_tries(began_s + sent_s / 2)
            assert load.late(FREE_PART_CRASHES, is_request=False) <= ALLOWED
            assert load.late(FREE_REQUEST_CRASHES, is_request=True) <= ALLOWED
            assert sent >= 20
            assert served >= 0.95 * sent

    asyncio.run(scenario())
