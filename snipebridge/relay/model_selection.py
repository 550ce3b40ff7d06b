"""Selects the model of each attempt and escalates drafts of cheap models."""

from snipebridge.logs import log_decision
from snipebridge.policy.pool_congestion import (
    PoolMember,
    mean_load,
    pool_price,
)
from snipebridge.policy.tiers import DraftState, value_density
from snipebridge.relay.attempt_limits import AttemptLimits
from snipebridge.relay.attempts import Attempt
from snipebridge.relay.dependencies import ForwardDependencies
from snipebridge.relay.errors import UnknownModelError
from snipebridge.relay.exchange import RelayExchange
from snipebridge.upstreams.heads import encode_name

_MS_PER_S = 1000
_MAX_LOGGED_S = 99.0
# Values of the model header that leave the choice to the system.
_ANY_MODEL = frozenset(('', '*'))


class ModelSelector:
    """Selects the models of one request."""

    __slots__ = ('_limits', '_exchange', '_dependencies', '_tiers')

    def __init__(
        self,
        dependencies: ForwardDependencies,
        exchange: RelayExchange,
        limits: AttemptLimits,
    ) -> None:
        """Use the tiers of the request's route."""
        self._dependencies = dependencies
        self._exchange = exchange
        self._limits = limits
        self._tiers = exchange.route.tiers

    def first_model(self) -> str:
        """Return the first model to run, empty if the caller named one.

        Raises `UnknownModelError` for one that the route does not have: no
        replica would take it.
        """
        named = self._exchange.request.model
        if named not in _ANY_MODEL:
            if self._tiers and named not in map(encode_name, self._tiers):
                raise UnknownModelError(
                    f'found model {named!r}, allowed are {list(self._tiers)}'
                )
            return ''
        return self._dependencies.tiers.first_tier(
            self._tiers, self._limits.runs_allowed()
        )

    def next_model(self, attempt: Attempt) -> str:
        """Return the model to escalate to, empty to keep the draft."""
        if self._exchange.reply.started or not self._tiers:
            return ''
        state = self._state(attempt)
        model = self._dependencies.tiers.next_tier(self._tiers, state)
        has_budget = self._limits.may_escalate()
        if not has_budget:
            model = ''
        self._log(state, model, has_budget=has_budget)
        return model

    def _state(self, attempt: Attempt) -> DraftState:
        now_s = self._dependencies.clock.monotonic_s()
        waited_s = now_s - self._exchange.request.received_s
        state = DraftState(
            model=attempt.choice.model,
            confidence=attempt.head.confidence,
            attempts_left=self._limits.attempts_left(),
            price=max(
                self._dependencies.price.value(now_s),
                pool_price(
                    self._pool(), self._exchange.route.pause_objective_s
                ),
            ),
            objective_left_s=self._exchange.route.objective_s - waited_s,
            deadline_left_s=self._limits.remaining_s(),
        )
        if attempt.choice.model != self._tiers[-1]:
            self._estimate_strongest(state)
        return state

    def _pool(self) -> list[PoolMember]:
        return self._dependencies.placer.pool(self._exchange.progress.service)

    def _estimate_strongest(self, state: DraftState) -> None:
        """Add the expected latency and value of the strongest model."""
        placement = self._dependencies.placer.estimate(
            self._exchange, self._exchange.progress.service, self._tiers[-1]
        )
        if placement is None:
            state.expected_s = float('inf')
            return
        request = self._exchange.request
        state.expected_s = placement.cost_ms / _MS_PER_S
        state.weight = value_density(
            self._exchange.priority,
            request.prompt_tokens,
            request.expected_tokens or request.output_limit_tokens,
            placement.uncached_tokens,
        )

    def _log(
        self, state: DraftState, next_model: str, *, has_budget: bool
    ) -> None:
        expected_s = min(state.expected_s, _MAX_LOGGED_S)
        load = mean_load(self._pool())
        log_decision(
            'draft',
            request_id=self._exchange.request.attempt_id,
            model=state.model,
            confidence=state.confidence,
            next_model=next_model,
            price=round(state.price, 2),
            weight=round(state.weight, 2),
            expected_ms=round(expected_s * _MS_PER_S),
            objective_left_ms=round(state.objective_left_s * _MS_PER_S),
            attempts_left=state.attempts_left,
            has_budget=has_budget,
            pool_backlog_ms=round(load.backlog_ms),
            pool_used_share=round(load.used_share, 2),
        )
