"""Requests ratings of delivered answers and of cascade drafts."""

import asyncio

from snipebridge.controllers.version_monitor import (
    ResponseSummary,
    VersionMonitor,
)
from snipebridge.filters.exchange import Exchange
from snipebridge.logs import log_event
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.rater import Rater, RatingRequest

_BACKGROUND_TIMEOUT_S = 10.0
_MAX_PENDING_RATINGS = 256
_UNAVAILABLE_AFTER_FAILURES = 3


class RatingClient:
    """Requests ratings and tracks whether the rating service is available."""

    __slots__ = ('_failures', '_learning', '_pending', '_rater')

    def __init__(self, rater: Rater | None, learning: VersionMonitor) -> None:
        """Start with no rating pending; without a rater nothing is rated."""
        self._rater = rater
        self._learning = learning
        self._failures = 0
        learning.set_rater_available(available=rater is not None)
        self._pending: set[asyncio.Task[None]] = set()

    def rate_in_background(
        self, exchange: Exchange, facts: ResponseSummary
    ) -> None:
        """Rate an answer in the background, unless too many are pending."""
        if self._rater is None or len(self._pending) >= _MAX_PENDING_RATINGS:
            return
        task = asyncio.create_task(
            self._rate(
                _make_rating_request(exchange, facts.version, None), facts
            )
        )
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def score(
        self, exchange: Exchange, version: str, text: str, timeout_s: float
    ) -> float | None:
        """Return the score of a draft, None if not available in time."""
        if self._rater is None:
            return None
        request = _make_rating_request(exchange, version, text)
        try:
            return await self._request_score(request, timeout_s)
        except UpstreamError:
            return None

    async def _request_score(
        self, request: RatingRequest, timeout_s: float
    ) -> float:
        """Return the score; report when the rater fails or recovers."""
        try:
            score = await self._rater.rate(request, timeout_s)
        except UpstreamError:
            self._failures += 1
            if self._failures == _UNAVAILABLE_AFTER_FAILURES:
                self._learning.set_rater_available(available=False)
            raise
        if self._failures >= _UNAVAILABLE_AFTER_FAILURES:
            self._learning.set_rater_available(available=True)
        self._failures = 0
        return score

    async def _rate(
        self, request: RatingRequest, facts: ResponseSummary
    ) -> None:
        try:
            score = await self._request_score(request, _BACKGROUND_TIMEOUT_S)
        except UpstreamError as error:
            log_event(
                'rating_missing',
                request_id=request.request_id,
                error=error.code,
            )
            return
        self._learning.record_rating(facts, score)


def _make_rating_request(
    exchange: Exchange, version: str, text: str | None
) -> RatingRequest:
    return RatingRequest(
        request_id=exchange.request_id,
        version=version,
        task=exchange.chat.task,
        prompt=exchange.chat.prompt,
        answer=exchange.delivered.text if text is None else text,
    )
