"""The program as a process, from its first moment."""

import asyncio
from pathlib import Path

from bench.processes import ChildProcess, poll_until


def test_hang_up_while_the_program_loads_does_not_end_it(tmp_path):
    """Settings may change just when a process was started again."""
    argv = ['-m', 'snipebridge', 'entry', '--settings=none.toml']
    process = ChildProcess('entry', argv, tmp_path)

    async def scenario():
        process.start()
        await poll_until(
            lambda: _ignores_hang_up(process.pid), 5.0, 'the first line'
        )
        for _ in range(5):
            process.hang_up()
            await asyncio.sleep(0.01)
        return await process.wait(20.0)

    # It ends by itself, with the status of a fault: there are no settings.
    assert asyncio.run(scenario()) > 0
    assert 'none.toml' in process.stderr_path.read_text()


def _ignores_hang_up(pid):
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    return int(fields['SigIgn'], 16) & 1
