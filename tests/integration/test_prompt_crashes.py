"""Requests with one part in their prompts crash replica after replica."""

import asyncio

from bench.platform_system import ENTRIES, run
from fakes.platform_caller import CHAT_HEADERS
from fakes.platform_replica import PlatformReplica

BAD = 'bad1'
ANSWERED = 200
# The platform's bounds: how long machines may take to agree, how many crashes
# it bears before it counts, and how many more requests it allows then.
CONNECTIVITY_S = 3.0
FREE_CRASHES = 5
ALLOWED = 3


def fragile_replicas():
    """Return replicas of models; some give poor drafts on the small one."""
    replicas = [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1', events=40)
        for number in range(5)
    ]
    for replica in replicas:
        replica.faults.crashes_on = BAD
    for replica in replicas[:2]:
        replica.faults.confidence['small'] = 20
    return replicas


class Load:
    """Bad and sound requests, which share their caller and first part."""

    def __init__(self, system, replicas) -> None:
        """Start without a request."""
        self.system = system
        self.replicas = replicas
        self.sound = []
        self._tasks = []
        self._number = 0

    def crashes(self):
        """Return when replicas crashed."""
        return sorted(one for each in self.replicas for one in each.crashes)

    def bad_arrivals(self, since_s):
        """Return how many bad requests reached a replica."""
        return sum(
            one.shares_part(BAD) and one.arrived_s > since_s
            for each in self.replicas
            for one in each.runs
        )

    def first_attempts(self, since_s):
        """Return the sound ones since a moment, and those that were served."""
        sent = [one for sent_s, one in self.sound if sent_s > since_s]
        return len(sent), sum(one.status == ANSWERED for one in sent)

    async def send(self, seconds):
        """Send three sound requests and a bad one each tenth of a second."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            self._number += 1
            names = [BAD, *(f'ok{self._number % 3}' for _ in range(3))]
            self._tasks.extend(
                asyncio.create_task(self._ask(name)) for name in names
            )
            await asyncio.sleep(0.1)

    async def finish(self):
        """Wait for the answers under way."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, part):
        sent_s = asyncio.get_running_loop().time()
        number = len(self._tasks)
        prompt = f'5c:800,{part}:100,{number:x}f:50'
        host = ENTRIES[number % len(ENTRIES)]
        headers = {**CHAT_HEADERS, 'X-Prefix-Hash': prompt}
        answer = await self.system.ask(
            '/chat/x',
            host,
            method='POST',
            body=prompt.encode(),
            headers=headers,
        )
        if part != BAD:
            self.sound.append((sent_s, answer))


def test_prompt_part_that_crashes_replicas_is_not_sent_on(tmp_path):
    """Soon none of its requests reaches a replica, and sound ones are served."""
    replicas = fragile_replicas()

    async def scenario(system):
        load = Load(system, replicas)
        await load.send(9.0)
        crashes = load.crashes()
        if len(crashes) >= FREE_CRASHES:
            counted_s = crashes[FREE_CRASHES - 1] + CONNECTIVITY_S
            assert load.bad_arrivals(counted_s) <= ALLOWED
        settled_s = crashes[:FREE_CRASHES][-1] + 2 * CONNECTIVITY_S
        await load.finish()
        sent, served = load.first_attempts(settled_s)
        assert sent >= 20
        assert served >= 0.95 * sent

    run(tmp_path, scenario, replicas)
