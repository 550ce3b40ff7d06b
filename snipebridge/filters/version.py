"""Chooses the version that serves a chat request and binds its session."""

import random

from snipebridge.clock import Clock
from snipebridge.controllers.version_monitor import VersionMonitor
from snipebridge.controllers.sessions import SessionDirectory
from snipebridge.filters.chain import Proceed
from snipebridge.errors import Ran
from snipebridge.filters.attempts import ViewSource
from snipebridge.filters.errors import (
    UnavailableError,
    VersionUnavailableError,
)
from snipebridge.filters.exchange import Exchange
from snipebridge.filters.permission import is_permitted
from snipebridge.filters.session import session_name
from snipebridge.logs import log_decision
from snipebridge.policy.version_types import (
    SINGLE,
    NoVersionError,
    VersionDecision,
    VersionRequest,
)

_RETRY_AFTER_S = 2.0


class VersionFilter:
    """Chooses a version by the policy and logs the candidates compared."""

    __slots__ = ('_clock', '_directory', '_monitor', '_rng', '_source')

    def __init__(
        self,
        monitor: VersionMonitor,
        directory: SessionDirectory,
        source: ViewSource,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Keep the collaborators of the choice."""
        self._source = source
        self._monitor = monitor
        self._directory = directory
        self._clock = clock
        self._rng = rng

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Choose a version and proceed; choose again if it cannot serve."""
        while True:
            decision = self._choose(exchange)
            if exchange.head.session and not exchange.session_version:
                await self._bind(exchange, decision)
            exchange.decision = decision
            _log(exchange, decision)
            try:
                return await proceed()
            except VersionUnavailableError as error:
                self._exclude_version(exchange, decision.version, error)

    def _exclude_version(
        self, exchange: Exchange, version: str, error: VersionUnavailableError
    ) -> None:
        """Remove a version from the candidates, or raise the error.

        A session changes its version only if the account may no longer use
        it, since a lack of replicas is temporary.
        """
        view = self._source.view
        account = exchange.account.name
        is_bound = exchange.session_version or exchange.head.session
        if is_bound and is_permitted(view, account, version):
            raise error
        if exchange.reply.started or error.ran is not Ran.NO:
            raise error
        remaining = [
            name
            for name in exchange.candidates
            if name != version and is_permitted(view, account, name)
        ]
        if not remaining:
            raise error
        exchange.candidates = remaining
        exchange.session_version = ''

    def _choose(self, exchange: Exchange) -> VersionDecision:
        versions = [
            exchange.view.versions[name] for name in exchange.candidates
        ]
        try:
            decision = self._monitor.choice.choose(
                self._make_request(exchange),
                self._monitor.candidates(versions),
                self._clock.monotonic_s(),
                self._rng,
            )
        except NoVersionError as error:
            raise UnavailableError(
                error.message, retry_after_s=_RETRY_AFTER_S
            ) from error
        if not exchange.session_version:
            self._apply_rollout(exchange, decision)
        return decision

    def _apply_rollout(
        self, exchange: Exchange, decision: VersionDecision
    ) -> None:
        """Replace a stable version by the one under roll-out, if granted."""
        if decision.mode != SINGLE:
            return
        rollout_version = self._monitor.pick_candidate(
            decision.version, is_session=bool(exchange.head.session)
        )
        if rollout_version in exchange.candidates:
            decision.version = rollout_version
            decision.reason = 'roll-out'

    async def _bind(
        self, exchange: Exchange, decision: VersionDecision
    ) -> None:
        """Bind the session; a binding made earlier elsewhere wins."""
        account = exchange.account.name
        bound_version = await self._directory.bind(
            account, session_name(exchange), decision.version
        )
        if bound_version != decision.version and is_permitted(
            exchange.view, account, bound_version
        ):
            decision.version = bound_version
            decision.reason = 'session'
        # A session keeps one version, so its requests don't use a cascade.
        decision.mode = SINGLE

    def _make_request(self, exchange: Exchange) -> VersionRequest:
        chat = exchange.chat
        account = exchange.account
        return VersionRequest(
            account=account.name,
            quality_target=account.quality_target,
            task=chat.task,
            length_class=chat.length_class,
            prompt_tokens=chat.prompt_tokens,
            expected_completion_tokens=chat.expected_tokens,
            streamed=chat.stream,
            deadline_s=exchange.deadline_s - self._clock.monotonic_s(),
            session_version=exchange.session_version or None,
            priority=exchange.priority,
        )


def _log(exchange: Exchange, decision: VersionDecision) -> None:
    log_decision(
        'version',
        request_id=exchange.request_id,
        account=exchange.account.name,
        chosen=decision.version,
        mode=decision.mode,
        escalate_to=decision.escalate_to,
        reason=decision.reason,
        weighed=[
            {
                'version': option.version,
                'escalate_to': option.escalate_to,
                'cost_micros': round(option.cost_micros, 1),
                'quality': round(option.quality, 3),
                'lower': round(option.lower, 3),
            }
            for option in decision.weighed
        ],
    )
