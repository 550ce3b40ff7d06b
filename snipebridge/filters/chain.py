"""Runs the filter chain: each filter runs the rest, or refuses the request.

>>> import asyncio
>>> class Tracer:
...     async def run(self, exchange, proceed):
...         exchange.append('before')
...         await proceed()
...         exchange.append('after')
>>> exchange = []
>>> asyncio.run(run_chain((Tracer(),), exchange))
>>> exchange
['before', 'after']
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from snipebridge.filters.exchange import Exchange

Proceed = Callable[[], Awaitable[None]]


class Filter(Protocol):
    """One step in the processing of a request."""

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Process the exchange before and after the rest of the chain."""


async def run_chain(filters: Sequence[Filter], exchange: Exchange) -> None:
    """Run the filters in order on the exchange."""
    if not filters:
        return
    first = filters[0]
    rest = filters[1:]

    async def proceed() -> None:
        await run_chain(rest, exchange)

    await first.run(exchange, proceed)
