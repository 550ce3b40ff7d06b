"""A host that may be behind answers 503, and never that nothing is there."""

import asyncio

import pytest

from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry

REQUESTS = (
    ('/none/', {}, 404),
    ('/look/', {'X-Key': 'wrong'}, 401),
)


@pytest.mark.parametrize(('path', 'headers', 'status'), REQUESTS)
def test_unknown_names_are_refused_only_by_a_current_host(
    path, headers, status
):
    """Without an answer of control for 1.7 s it can't know, and says so."""

    async def scenario():
        replica = PlatformReplica('d1', 'desk', '127.0.0.1')
        async with RunningEntry(replica) as entry:
            answer = await entry.request(path, headers=headers)
            assert answer.status == status
            lease = entry.process._link.lease
            entry.control.is_silent = True
            await entry.wait_until(
                lambda: (
                    not lease.is_confirmed(
                        entry.process._clock.monotonic_s(), 1.75
                    )
                )
            )
            assert entry.process.is_ready()
            answer = await entry.request(path, headers=headers)
            assert answer.status == 503
            assert float(answer.headers['retry-after']) > 0
            assert (await entry.request('/look/x')).status == 200

    asyncio.run(asyncio.wait_for(scenario(), 30))
