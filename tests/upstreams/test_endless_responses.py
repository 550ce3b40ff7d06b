"""A list of replicas that never ends holds neither memory nor the reader."""

import asyncio
import tracemalloc

import pytest

from fakes.endless_replica import FORMS, EndlessReplica
from snipebridge.clock import SystemClock
from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.replica_list import make_replica_list

# As for endless answers of a replica: an entry has 200 MB.
MEMORY_LIMIT_BYTES = 150_000_000
# The reader asks again soon after; replicas that drain must be seen in time.
TIME_LIMIT_S = 3.0


@pytest.mark.parametrize('form', FORMS)
def test_reading_an_endless_list_ends(form):
    """Guards against a list that is never read again, or fills memory."""
    server = EndlessReplica(form)

    async def scenario():
        await server.start()
        url = f'http://127.0.0.1:{server.port}/instances'
        reader = make_replica_list(make_upstream_client(), url, SystemClock())
        tracemalloc.start()
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                with pytest.raises(UpstreamError):
                    await reader.read()
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            await server.stop()
        assert peak_bytes < MEMORY_LIMIT_BYTES

    asyncio.run(asyncio.wait_for(scenario(), 20))
