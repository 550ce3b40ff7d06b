"""Shares of a pool by weight."""

from snipebridge.controllers.planners import WeightedSharePlanner
from tests.controllers.commands import DOCUMENT


def test_disabled_accounts_get_no_share():
    """What they leave goes to the others."""
    document = {
        **DOCUMENT,
        'accounts': {'a': {}, 'b': {'disabled': True}, 'c': {'weight': 3}},
    }
    shares = WeightedSharePlanner().shares({'e1': ()}, document)
    assert {
        one.account: one.share for one in shares['e1'] if one.pool == 'models'
    } == {'a': 2.0, 'c': 6.0}


def test_without_accounts_there_is_nothing_to_share():
    """An empty configuration divides by nothing."""
    assert WeightedSharePlanner().shares({'e1': ()}, {}) == {'e1': []}
