"""A short soak: the real processes under the faults of one seed."""

import asyncio

from bench.soak.run import soak
from bench.soak.schedule import FLEET

SEED = 1
FAULTS_S = 9.0


def test_short_soak_breaks_no_promise(tmp_path):
    """What callers and replicas saw agrees with every promise."""
    result = asyncio.run(soak(SEED, FAULTS_S, tmp_path / 'soak', FLEET))

    assert [str(broken) for broken in result.broken] == []
    assert len(result.faults) >= 3
    assert any(call.is_served for call in result.record.calls)
