"""Tests of the division of pools by account weight."""

from snipebridge.controllers.planners import WeightedSharePlanner
from tests.controllers.commands import DOCUMENT


def test_disabled_accounts_get_no_share():
    """Their slots go to the enabled accounts."""
    document = {
        **DOCUMENT,
        'accounts': {'a': {}, 'b': {'disabled': True}, 'c': {'weight': 3}},
    }
    shares = WeightedSharePlanner().shares({'e1': ()}, document)
    assert {
        one.account: one.share for one in shares['e1'] if one.pool == 'models'
    } == {'a': 2.0, 'c': 6.0}


def test_no_shares_without_accounts():
    """An empty configuration must not cause a division by zero."""
    assert WeightedSharePlanner().shares({'e1': ()}, {}) == {'e1': []}
