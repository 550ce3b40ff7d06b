"""Orders to the fake engine: load, unload and role, with fencing numbers."""

import asyncio
from typing import Any

from tornado import httpclient

_WEIGHTS_RETRY_S = 1.0


class OrderBook:
    """Loaded versions and the orders that changed them."""

    __slots__ = (
        '_last_orders',
        '_load_s',
        '_tasks',
        '_weights_url',
        'accepted',
        'checks_fencing',
        'highest_fencing_number',
        'loaded',
        'loading',
        'refused',
        'role',
    )

    def __init__(
        self,
        versions: list[str],
        checks_fencing: bool,
        load_s: float,
        weights_url: str,
    ) -> None:
        """Start with versions that are loaded already."""
        self.loaded = set(versions)
        self.loading: set[str] = set()
        self.checks_fencing = checks_fencing
        self.highest_fencing_number = 0
        self.role = 'mixed'
        self.accepted: list[dict[str, Any]] = []
        self.refused = 0
        self._load_s = load_s
        self._weights_url = weights_url
        self._last_orders: dict[str, dict[str, Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def take(self, order: dict[str, Any]) -> bool:
        """Carry out an order; false when its fencing number is too old.

        An order that was accepted before is accepted again and does nothing.
        """
        number = int(order.get('fencing_number', 0))
        if self.checks_fencing and number < self.highest_fencing_number:
            self.refused += 1
            return False
        self.highest_fencing_number = max(number, self.highest_fencing_number)
        known = {one['order_id'] for one in self.accepted}
        if order['order_id'] not in known:
            self.accepted.append(order)
            self._last_orders[order['version']] = order
            self._carry_out(order['kind'], order['version'])
        return True

    def state(self) -> dict[str, Any]:
        """Return what ``GET /orders`` shows."""
        return {
            'loaded': sorted(self.loaded),
            'loading': sorted(self.loading),
            'role': self.role,
            'highest_fencing_number': self.highest_fencing_number,
            'orders': list(self._last_orders.values()),
        }

    def _carry_out(self, kind: str, version: str) -> None:
        if kind == 'role':
            self.role = version
        elif kind == 'unload':
            self.loaded.discard(version)
            self.loading.discard(version)
        elif version not in self.loaded:
            self.loading.add(version)
            task = asyncio.create_task(self._load(version))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _load(self, version: str) -> None:
        if self._weights_url:
            await self._fetch(f'{self._weights_url}/weights/{version}')
        await asyncio.sleep(self._load_s)
        if version in self.loading:
            self.loading.discard(version)
            self.loaded.add(version)

    async def _fetch(self, url: str) -> None:
        client = httpclient.AsyncHTTPClient()
        response = await client.fetch(url, raise_error=False)
        while response.code != 200:
            await asyncio.sleep(_WEIGHTS_RETRY_S)
            response = await client.fetch(url, raise_error=False)
