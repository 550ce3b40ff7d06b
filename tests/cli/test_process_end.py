"""How a process that can't go on tells why."""

import os
import subprocess
import sys

import orjson

SETTINGS = """
[process]
name = "control-1"
data_centre = "a"
data_folder = "{folder}"

[listener]
host = "127.0.0.1"

[rpc_listener]
host = "127.0.0.1"
"""


def test_a_data_folder_that_fails_is_told_in_one_line(tmp_path):
    """The cause is a line of the log, and no traceback stands beside it."""
    blocked = tmp_path / 'blocked'
    blocked.write_text('a file where the folder should be')
    settings = tmp_path / 'control.toml'
    settings.write_text(SETTINGS.format(folder=blocked / 'data'))
    ended = subprocess.run(
        [
            sys.executable,
            '-m',
            'snipebridge',
            'control',
            f'--settings={settings}',
        ],
        capture_output=True,
        timeout=60,
        env=os.environ,
        check=False,
    )
    assert ended.returncode == 1
    lines = [orjson.loads(line) for line in ended.stdout.splitlines()]
    failed = [
        line
        for line in lines
        if line.get('message_type') == 'event:process_failed'
    ]
    assert len(failed) == 1
    assert 'the data folder can not be used' in failed[0]['error']
    assert b'Traceback' not in ended.stderr
    assert b'the data folder can not be used' in ended.stderr
