"""Tests of parsing and validating routing configurations."""

import copy

import orjson
import pytest

from snipebridge.routing.documents import read_table
from snipebridge.routing.errors import DocumentError
from snipebridge.routing.tables import RouteKind
from fakes.platform_caller import DOCUMENT


def changed(change):
    """Return the document with one change."""
    document = copy.deepcopy(DOCUMENT)
    change(document)
    return orjson.dumps(document)


def test_document_is_read_in_full():
    """Units and kinds are decoded; unknown fields are ignored."""

    def change(document):
        document['routes'][0]['from_the_future'] = {'a': 1}
        document['services'][1]['engine'] = {
            'slots': 96,
            'memory_tokens': 1000,
            'models': [{'name': 'small', 'price': 0.02}],
        }
        document['limits'] = {'idle_timeout_ms': 9000}

    table = read_table(changed(change))
    route = table.find_route('a.example', '/chat/x')
    assert route.kind is RouteKind.STREAMING
    assert route.timeout_s == 4.0
    assert route.allows_retry
    assert table.find_account('k1').name == 'studio'
    assert table.services['models'].engine.price_of('small') == 0.02
    assert table.limits.idle_timeout_s == 9.0


@pytest.mark.parametrize(
    ('accounts', 'requires_keys'),
    [('absent', False), (None, False), ([], True)],
)
def test_an_empty_list_of_accounts_is_not_an_absent_one(
    accounts, requires_keys
):
    """Guards against requests without a key once the last account is gone."""

    def change(document):
        document['accounts'] = accounts
        if accounts == 'absent':
            document.pop('accounts')

    table = read_table(changed(change))
    assert table.requires_keys is requires_keys
    assert table.find_account('k1') is None


def test_longest_prefix_of_the_host_wins():
    """A shorter prefix matches paths that the longer one does not."""

    def change(document):
        inner = dict(document['routes'][0], name='in', path_prefix='/look/in/')
        document['routes'].append(inner)

    table = read_table(changed(change))
    assert table.find_route('a.example', '/look/in/x').name == 'in'
    assert table.find_route('a.example', '/look/inx').name == 'look'
    assert table.find_route('b.example', '/look/in/x') is None


def _split(document, *weights):
    route = document['routes'][0]
    route['split'] = [
        {'service': 'desk', 'weight': weight} for weight in weights
    ]


@pytest.mark.parametrize(
    ('change', 'field'),
    [
        (lambda one: one.pop('version'), 'version'),
        (lambda one: one.update(version=True), 'version'),
        (lambda one: one.update(routes={}), 'routes'),
        (lambda one: one['routes'][1].update(service='x'), 'routes[1].service'),
        (lambda one: one['routes'][0].update(timeout_ms=0), 'timeout_ms'),
        (lambda one: one['routes'][0].update(kind='odd'), 'kind'),
        (lambda one: one['routes'].append(one['routes'][0]), '/look/'),
        (lambda one: _split(one, 0, 0), 'split'),
        (lambda one: _split(one, -1, 2), 'weight'),
        (lambda one: one['routes'][0].update(path_prefix='look'), 'prefix'),
        (
            lambda one: one['accounts'].append({'name': 'b', 'keys': ['k1']}),
            'share a key',
        ),
    ],
)
def test_invalid_document_error_names_the_field(change, field):
    """Every rule is validated, and the message locates the violation."""
    with pytest.raises(DocumentError) as refusal:
        read_table(changed(change))
    assert field in refusal.value.message


def test_truncated_document():
    """A document that is not complete JSON is refused."""
    with pytest.raises(DocumentError):
        read_table(orjson.dumps(DOCUMENT)[:-20])


@pytest.mark.parametrize('host', ['A.Example', 'a.example', 'A.EXAMPLE'])
def test_case_of_a_host_counts_for_nothing(host):
    """Guards against a route that answers 404 since a letter is a capital."""

    def change(document):
        document['routes'][0]['host'] = host

    table = read_table(changed(change))
    for asked in ('a.example', 'A.Example'):
        assert table.find_route(asked, '/look/x').name == 'look'
