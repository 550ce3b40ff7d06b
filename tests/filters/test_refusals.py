"""Invalid requests are refused with a specific error before they run."""

import asyncio
import copy

import orjson
import pytest

from snipebridge.controllers.lease import Lease
from snipebridge.controllers.view import make_view
from snipebridge.errors import Ran
from snipebridge.filters.deadline import DeadlineFilter
from snipebridge.filters.errors import (
    BadRequestError,
    DeadlineError,
    ForbiddenError,
    NoLeaseError,
    NotFoundError,
    UnauthorizedError,
)
from snipebridge.filters.identity import IdentityFilter
from snipebridge.filters.permission import (
    ChatPermissionFilter,
    LeaseGuard,
    ServicePermissionFilter,
)
from tests.clocks import ManualClock
from tests.filters.exchanges import (
    CONFIGURATION,
    make_body,
    make_exchange,
    proceed_noop,
)


def _guard(lease_s: float = 10.0, without_lease: str = 'refuse') -> LeaseGuard:
    clock = ManualClock()
    lease = Lease()
    lease.extend(clock.now_s, lease_s)
    return LeaseGuard(lease, clock, without_lease)


def _run(request_filter, exchange) -> None:
    asyncio.run(request_filter.run(exchange, proceed_noop))


@pytest.mark.parametrize(
    ('authorization', 'error'),
    [
        ('', UnauthorizedError),
        ('Basic abc', UnauthorizedError),
        ('Bearer studio-a.wrong', UnauthorizedError),
        ('Bearer nobody.secret', UnauthorizedError),
        ('Bearer closed.secret', ForbiddenError),
    ],
)
def test_wrong_key(authorization, error):
    """A missing or wrong key and a disabled account are refused."""
    with pytest.raises(error) as caught:
        _run(IdentityFilter(), make_exchange(authorization=authorization))
    assert caught.value.ran is Ran.NO
    assert 'secret' not in caught.value.message


def test_key_removed_from_configuration_is_refused():
    """The cache of verified keys does not outlive a removed key hash."""
    identity = IdentityFilter()
    _run(identity, make_exchange())
    document = copy.deepcopy(CONFIGURATION)
    document['accounts']['studio-a']['key_hashes'] = []
    changed = make_view(2, orjson.dumps(document))
    with pytest.raises(UnauthorizedError):
        _run(identity, make_exchange(view=changed))


@pytest.mark.parametrize(
    ('body', 'message_part'),
    [
        (b'{', 'not JSON'),
        (b'[]', 'not a JSON object'),
        (b'{"messages": []}', 'model'),
        (b'{"model": "auto"}', 'messages'),
        (b'{"model": "auto", "messages": [1]}', 'messages'),
        (make_body(stream='yes'), 'stream'),
        (make_body(max_tokens=0), 'max_tokens'),
        (make_body(max_tokens=True), 'max_tokens'),
        (make_body(metadata=[]), 'metadata'),
    ],
)
def test_malformed_body(body, message_part):
    """The error names the invalid field."""
    with pytest.raises(BadRequestError, match=message_part):
        _run(ChatPermissionFilter(_guard()), make_exchange(body=body))


@pytest.mark.parametrize(
    ('model', 'error'),
    [
        ('none', NotFoundError),
        ('other', ForbiddenError),
        ('other@1', ForbiddenError),
        ('old', ForbiddenError),
        ('old@1', ForbiddenError),
    ],
)
def test_model_not_permitted(model, error):
    """Unknown, not permitted and withdrawn versions are refused."""
    exchange = make_exchange(body=make_body(model))
    with pytest.raises(error):
        _run(ChatPermissionFilter(_guard()), exchange)


@pytest.mark.parametrize(
    ('model', 'candidates'),
    [
        ('auto', ['small@1', 'large@1']),
        ('small', ['small@1']),
        ('large@1', ['large@1']),
    ],
)
def test_candidates(model, candidates):
    """A model name selects all its permitted versions."""
    exchange = make_exchange(body=make_body(model))
    _run(ChatPermissionFilter(_guard()), exchange)
    assert exchange.candidates == candidates


def test_requests_are_refused_without_a_lease():
    """An entry without a lease refuses, unless set to `serve_last`."""
    with pytest.raises(NoLeaseError):
        _run(ChatPermissionFilter(_guard(lease_s=0.0)), make_exchange())
    serving = _guard(lease_s=0.0, without_lease='serve_last')
    _run(ChatPermissionFilter(serving), make_exchange())


@pytest.mark.parametrize(
    ('path', 'error'),
    [
        ('/services/vault/x', ForbiddenError),
        ('/services/', ForbiddenError),
    ],
)
def test_service_not_permitted(path, error):
    """Only the services of the account may be called."""
    with pytest.raises(error):
        _run(ServicePermissionFilter(_guard()), make_exchange(path=path))


@pytest.mark.parametrize('text', ['x', '0', '-1', '1.5', '²'])
def test_malformed_deadline(text):
    """A deadline must be a positive integer of milliseconds."""
    with pytest.raises(BadRequestError):
        _run(
            DeadlineFilter(ManualClock(), 60.0), make_exchange(deadline_ms=text)
        )


def test_deadline_of_header_task_and_settings():
    """The header takes precedence, then the task, then the settings."""
    clock = ManualClock()
    exchange = make_exchange(deadline_ms='500')
    _run(DeadlineFilter(clock, 60.0), exchange)
    assert exchange.deadline_s == clock.now_s + 0.5
    exchange = make_exchange(body=make_body(metadata={'task': 'caption'}))
    _run(ChatPermissionFilter(_guard()), exchange)
    _run(DeadlineFilter(clock, 60.0), exchange)
    assert exchange.deadline_s == clock.now_s + 2.0
    clock.now_s += 3.0
    with pytest.raises(DeadlineError):
        _run(DeadlineFilter(clock, 60.0), exchange)


def test_prompt_is_not_in_the_error():
    """Errors do not echo the content of a prompt."""
    body = orjson.dumps({'model': 'auto', 'messages': ['private']})
    with pytest.raises(BadRequestError) as caught:
        _run(ChatPermissionFilter(_guard()), make_exchange(body=body))
    assert 'private' not in caught.value.message
