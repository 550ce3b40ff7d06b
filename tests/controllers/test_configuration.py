"""Concurrent and resent configuration patches."""

import copy

import json_merge_patch
import orjson
import pytest

from snipebridge.controllers.configuration import (
    SYSTEM_OPERATOR,
    Configuration,
)
from snipebridge.controllers.results import is_key_reuse
from tests.controllers.commands import (
    CONFLICT,
    DOCUMENT,
    DUPLICATE,
    INVALID,
    OK,
    patch,
)

RETENTION_MS = 1000


def make_configuration(*changes):
    """Return a configuration after some changes."""
    configuration = Configuration(RETENTION_MS)
    for number, change in enumerate(changes):
        made = patch(change, base=number, key=f'setup{number}')
        assert configuration.apply(made, now_ms=0).code == OK
    return configuration


def restore(configuration):
    """Return a configuration restored from a snapshot."""
    state = orjson.loads(orjson.dumps(configuration.dump()))
    restored = Configuration(RETENTION_MS)
    restored.load(state)
    return restored


def test_one_of_two_concurrent_patches_is_accepted():
    """The second patch against a number gets the current one."""
    configuration = make_configuration()
    first = configuration.apply(patch(DOCUMENT, key='k1'), now_ms=0)
    second = configuration.apply(patch({'tasks': {}}, key='k2'), now_ms=0)
    assert (first.code, first.number) == (OK, 1)
    assert (second.code, second.number) == (CONFLICT, 1)
    assert not is_key_reuse(second)
    assert configuration.document == DOCUMENT


@pytest.mark.parametrize('after_restart', [False, True])
@pytest.mark.parametrize(
    ('change', 'base', 'code', 'again'),
    [
        (DOCUMENT, 0, OK, DUPLICATE),
        (DOCUMENT, 5, CONFLICT, CONFLICT),
        ({'tasks': 3}, 0, INVALID, INVALID),
    ],
)
def test_resent_patch_gets_its_first_result(
    change, base, code, again, after_restart
):
    """Also after later changes and after a restart."""
    configuration = make_configuration()
    resent = patch(change, base=base)
    first = configuration.apply(resent, now_ms=0)
    for number in range(configuration.number, 3):
        moved = patch({}, base=number, key=f'other{number}')
        configuration.apply(moved, now_ms=0)
    if after_restart:
        configuration = restore(configuration)
    second = configuration.apply(resent, now_ms=RETENTION_MS)
    assert (first.code, second.code) == (code, again)
    assert (second.number, second.message) == (first.number, first.message)
    assert configuration.number == 3


@pytest.mark.parametrize(
    'other', [patch({'tasks': {}}), patch(DOCUMENT, base=1)]
)
def test_key_with_other_content_is_rejected(other):
    """Another body or base number with the same key is key reuse."""
    configuration = make_configuration()
    configuration.apply(patch(DOCUMENT), now_ms=0)
    assert is_key_reuse(configuration.apply(other, now_ms=0))
    assert configuration.number == 1


def test_keys_are_separate_per_operator():
    """Two operators may use the same key."""
    configuration = make_configuration()
    configuration.apply(patch({}, operator='x'), now_ms=0)
    second = patch({}, base=1, operator='y')
    assert configuration.apply(second, now_ms=0).code == OK


def test_expired_patch_is_not_applied_twice():
    """After the retention a resent patch fails on its base number."""
    configuration = make_configuration()
    configuration.apply(patch(DOCUMENT), now_ms=0)
    resent = configuration.apply(patch(DOCUMENT), now_ms=RETENTION_MS + 1)
    assert (resent.code, resent.number) == (CONFLICT, 1)
    assert len(configuration.dump()['answers']) == 1


@pytest.mark.parametrize(
    ('change', 'parts'),
    [
        (b'{', ('not valid JSON',)),
        (b'[]', ('allowed is an object',)),
        (b'{"a":' * 40 + b'1' + b'}' * 40, ('nested too deeply',)),
        (b'{"tasks": "%s"}' % (b'x' * 1_048_576), ('allowed are 1048576',)),
        (
            {'upstreams': {'e1': {'slots': 10**15 + 1}}},
            ('upstreams.e1.slots: found', 'maximum'),
        ),
        (
            {'tasks': {'caption': {'priority': False}}},
            ('tasks.caption.priority: found False',),
        ),
        ({'acounts': {}}, ("found key 'acounts'", 'accounts, billing')),
        (
            {'accounts': {'a': {'weight': 0}}},
            ('accounts.a.weight: found 0', 'exclusiveMinimum 0'),
        ),
        (
            {'tasks': {'caption': {'deadline_s': 2}}},
            ("tasks.caption: found key 'deadline_s'", 'deadline_ms'),
        ),
        (
            {'versions': {'m@1': {'state': 'live'}}},
            ("versions.m@1.state: found 'live'", 'candidate, serving'),
        ),
        (
            {'accounts': {'a': {'versions': ['m@1', 'x@1']}}},
            ("accounts.a.versions[1]: found 'x@1'", 'm@1, m@2'),
        ),
        (
            {'accounts': {'a': {'services': ['x']}}},
            ("accounts.a.services[0]: found 'x'", 'services: book'),
        ),
        (
            {'rollouts': {'m@2': {'stable': 'm@3'}}},
            ("rollouts.m@2.stable: found 'm@3'", 'versions: m@1'),
        ),
        (
            {'versions': {'m@2': {'state': 'withdrawn'}}},
            ("rollouts.m@2.state: found 'running'", 'stopped'),
        ),
        (
            {'upstreams': {'e1': {'versions': ['m@9']}}},
            ("upstreams.e1.versions[0]: found 'm@9'",),
        ),
        (
            {'upstreams': {'e1': {'pool': 'other'}}},
            ("upstreams.e1.pool: found 'other'", "'models'"),
        ),
        (
            {'upstreams': {'s1': {'service': None}}},
            ("upstreams.s1.service: found ''", 'services: book'),
        ),
        (
            {'versions': {'m@1': None}},
            ("accounts.a.versions[0]: found 'm@1'",),
        ),
        (
            {'billing': {'exported_through': 8}},
            ('billing.exported_through: found 8', '0 to 7'),
        ),
    ],
)
def test_error_states_path_found_value_and_allowed_values(change, parts):
    """An invalid document is rejected and the number stays."""
    configuration = make_configuration(DOCUMENT)
    result = configuration.apply(patch(change, base=1), 0, last_bill=7)
    assert (result.code, result.number) == (INVALID, 1)
    assert configuration.document == DOCUMENT
    for part in parts:
        assert part in result.message


def test_acknowledged_export_never_decreases():
    """A cursor below the acknowledged one is rejected."""
    configuration = make_configuration()
    forward = patch({'billing': {'exported_through': 5}})
    back = patch({'billing': None}, base=1, key='back')
    assert configuration.apply(forward, 0, last_bill=5).code == OK
    assert configuration.apply(back, 0, last_bill=5).code == INVALID


def test_only_an_operator_reinstates_a_withdrawn_version():
    """Automatic decisions of the system never undo a withdrawal."""
    withdrawn = {'versions': {'m@1': {'model': 'm', 'state': 'withdrawn'}}}
    reinstatement = {'versions': {'m@1': {'state': 'serving'}}}
    configuration = make_configuration(withdrawn)
    by_system = patch(reinstatement, base=1, key='s', operator=SYSTEM_OPERATOR)
    by_operator = patch(reinstatement, base=1, key='o')
    assert configuration.apply(by_system, now_ms=0).code == INVALID
    assert configuration.apply(by_operator, now_ms=0).code == OK


def test_many_changes_survive_a_restart():
    """All 300 changes are restored, and further patches apply."""
    changes = [{'tasks': {f't{n}': {'priority': n}}} for n in range(300)]
    configuration = make_configuration(*changes)
    expected = {}
    for change in changes:
        expected = json_merge_patch.merge(expected, copy.deepcopy(change))
    restored = restore(configuration)
    assert (restored.number, restored.document) == (300, expected)
    assert restored.body() == configuration.body()
    assert restored.apply(patch({}, base=300), now_ms=0).number == 301
