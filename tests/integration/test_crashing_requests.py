"""One request, with the same path, caller and body, crashes replicas."""

import asyncio

import pytest

from bench.platform_system import ENTRIES, run
from fakes.platform_caller import CHAT_HEADERS
from fakes.platform_replica import PlatformReplica

ANSWERED = 200
# The platform's bounds: how long hosts may take to agree, how many crashes it
# bears before it counts, and how many more requests it allows then.
CONNECTIVITY_S = 3.0
FREE_CRASHES = 3
ALLOWED = 3
SENT_S = 11.0
ROUTES = {
    'idempotent': '/look/',
    'non_idempotent': '/book/',
    'stream': '/chat/',
}


def replicas_that_crash_on(target, share=1.0):
    """Return replicas of both services; some models give poor drafts."""
    replicas = [
        PlatformReplica(f'm{number}', 'models', '127.0.0.1', events=40)
        for number in range(6)
    ] + [
        PlatformReplica(f'd{number}', 'desk', '127.0.0.1')
        for number in range(4)
    ]
    for replica in replicas:
        replica.faults.crashes_on_target = target
        replica.faults.crash_share = share
        replica.faults.restart_s = 2.5
        if replica.service == 'desk':
            replica.faults.delay_s = 0.02
    for replica in replicas[:2]:
        replica.faults.confidence['small'] = 20
    return replicas


class Load:
    """Four deadly and sixteen sound requests a second, at all entries."""

    def __init__(self, system, kind, replicas):
        """Start without a request."""
        self.system = system
        self.prefix = ROUTES[kind]
        self.replicas = replicas
        self.sound = []
        self._tasks = []

    def crashes(self):
        """Return when replicas crashed."""
        return sorted(one for each in self.replicas for one in each.crashes)

    def arrivals(self, since_s):
        """Return how many deadly requests reached a replica."""
        return sum(
            one.target == f'{self.prefix}deadly' and one.arrived_s > since_s
            for each in self.replicas
            for one in each.runs
        )

    def first_tries(self, since_s):
        """Return how many sound ones were sent, and how many served."""
        sent = [one for sent_s, one in self.sound if sent_s > since_s]
        return len(sent), sum(one == ANSWERED for one in sent)

    async def send(self):
        """Send for some seconds, and wait for the answers."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + SENT_S
        number = 0
        while loop.time() < until_s:
            number += 1
            self._tasks.append(asyncio.create_task(self._ask(number)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*self._tasks)

    async def _ask(self, number):
        is_deadly = number % 5 == 0
        sent_s = asyncio.get_running_loop().time()
        # The next entry each time, for deadly and sound ones alike.
        host = ENTRIES[number // 5 % len(ENTRIES)]
        name = 'deadly' if is_deadly else f'sound{number}'
        options = {}
        if self.prefix != ROUTES['idempotent']:
            options = {'method': 'POST', 'body': b'same'}
        if self.prefix == ROUTES['stream']:
            prompt = f'5c:800,91:100,{name.encode().hex()}:50'
            options['headers'] = {**CHAT_HEADERS, 'X-Prefix-Hash': prompt}
        answer = await self.system.ask(f'{self.prefix}{name}', host, **options)
        if not is_deadly:
            self.sound.append((sent_s, answer.status))


@pytest.mark.parametrize(
    ('kind', 'share'),
    [
        ('idempotent', 1.0),
        ('non_idempotent', 1.0),
        ('stream', 1.0),
        ('stream', 0.6),
    ],
)
def test_request_that_crashed_replicas_is_not_sent_to_more(
    tmp_path, kind, share
):
    """It is refused soon, and sound ones of its caller are served."""
    replicas = replicas_that_crash_on(f'{ROUTES[kind]}deadly', share)

    async def scenario(system):
        load = Load(system, kind, replicas)
        await load.send()
        crashes = load.crashes()
        assert len(crashes) >= FREE_CRASHES
        counted_s = crashes[FREE_CRASHES - 1] + CONNECTIVITY_S
        sent, served = load.first_tries(counted_s + CONNECTIVITY_S)
        assert load.arrivals(counted_s) <= ALLOWED
        assert sent >= 20
        assert served >= 0.95 * sent

    run(tmp_path, scenario, replicas)
