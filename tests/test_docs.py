"""What the pages name exists: commands, flags, settings, patches, metrics."""

import json
import re
from pathlib import Path

import pytest

from snipebridge.cli.definition import DEFINITIONS
from snipebridge.controllers.configuration import Configuration
from snipebridge.keys import make_key_hash
from snipebridge.metrics import make_entry_metrics
from snipebridge.relay.metrics import RelayMetrics
from snipebridge.rpc.commands_pb2 import PatchCommand
from snipebridge.settings.loading import parse_settings
from tests.running_control import run_with_control

_ROOT = Path(__file__).parent.parent
_PAGES = sorted((_ROOT / 'docs').rglob('*.md')) + [
    _ROOT / 'README.md',
    _ROOT / 'CONTRIBUTING.md',
]
_COMMAND = re.compile(r'(?<![\w/.])snipebridge ([a-z]+)((?: +[^\n`]*)?)')
_BLOCK = re.compile(r'```(\w+)\n(.*?)```', re.DOTALL)
_LINK = re.compile(r'\]\(([^)#:]+)\)')


def _texts():
    return [(page, page.read_text(encoding='utf-8')) for page in _PAGES]


def _blocks(language: str):
    return [
        pytest.param(block, id=f'{page.name}-{number}')
        for page, text in _texts()
        for number, (kind, block) in enumerate(_BLOCK.findall(text))
        if kind == language
    ]


@pytest.mark.parametrize('block', _blocks('toml'))
def test_settings_are_accepted(block):
    """Each TOML example passes the check."""
    if '[process]' not in block:
        block = f'[process]\nname = "a"\ndata_centre = "d"\n{block}'
    parse_settings(block, 'example')


@pytest.mark.parametrize('block', _blocks('json'))
def test_json_examples_parse(block):
    """Each JSON example is a JSON object."""
    assert isinstance(json.loads(block), dict)


def test_commands_and_flags_exist():
    """Each command line that a page shows can be typed."""
    seen = 0
    for page, text in _texts():
        for kind, block in _BLOCK.findall(text):
            if kind != 'sh':
                continue
            for name, rest in _COMMAND.findall(block):
                assert name in DEFINITIONS, f'{page.name}: {name}'
                for flag in re.findall(r'--([a-z_]+)', rest):
                    known = DEFINITIONS[name].flag_names
                    assert flag in known, f'{page.name}: {name} --{flag}'
                seen += 1
    assert seen > 5


def test_metrics_exist():
    """Each metric that a page names is registered."""
    registered = set(make_entry_metrics().registry.collectors)
    registered.update(RelayMetrics().registry.collectors)

    async def read_control(control):
        page = await control.call('/metrics')
        registered.update(re.findall(r'^# TYPE (\w+)', page.text, re.M))

    run_with_control(read_control)
    for page, text in _texts():
        for name in re.findall(r'`(snipebridge_[a-z_]+)`', text):
            assert name in registered, f'{page.name}: {name}'


def test_links_lead_somewhere():
    """Each relative link of a page exists."""
    for page, text in _texts():
        for target in _LINK.findall(text):
            assert (page.parent / target).exists(), f'{page.name}: {target}'


def test_make_targets_exist():
    """Each `make` target that a page names is in the Makefile."""
    makefile = (_ROOT / 'Makefile').read_text(encoding='utf-8')
    for page, text in _texts():
        for target in re.findall(r'`make ([a-z-]+)', text):
            assert f'\n{target}:' in makefile, f'{page.name}: {target}'


def test_modules_of_the_map_exist():
    """Each module that the architecture page names is there."""
    text = (_ROOT / 'docs' / 'ARCHITECTURE.md').read_text(encoding='utf-8')
    for name in re.findall(r'`(snipebridge/[\w/.]+)`', text):
        assert (_ROOT / name).exists(), name


def test_first_patch_of_the_readme_is_accepted():
    """What a newcomer pastes first passes the checks of the configuration."""
    readme = (_ROOT / 'README.md').read_text(encoding='utf-8')
    blocks = [block for kind, block in _BLOCK.findall(readme) if kind == 'json']
    patch = blocks[0].replace('<hash>', make_key_hash('studio-a.x', bytes(16)))
    configuration = Configuration(result_retention_ms=1000)
    command = PatchCommand(idempotency_key='first', patch=patch.encode())
    result = configuration.apply(command, now_ms=0)
    assert (result.message, result.number) == ('', 1)
