"""Stand-in for a plain service, some of whose calls may not be repeated.

python -m fakes.service --port=0 --name=bookings-1
"""

import asyncio
import collections
from typing import Any

from absl import flags

from fakes.serving import Routes, Stand, StandHandler, start_stand_in, wall_ms

_SLOTS = flags.DEFINE_integer('slots', 16, 'Calls served at once.')
_WORK_MS = flags.DEFINE_float('work_ms', 5.0, 'Time of a call.')

_MS_PER_S = 1000


class Service:
    """Bookings and call counts of one replica."""

    def __init__(self, stand: Stand) -> None:
        """Start with no bookings."""
        self.stand = stand
        stand.counters = self
        self.slots = asyncio.Semaphore(_SLOTS.value)
        self.running = 0
        self.bookings: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self._records: list[dict[str, Any]] = []

    def begin(self, handler: StandHandler) -> None:
        """Count a call at the moment it runs."""
        request_id = handler.request.headers.get('X-Request-Id', '')
        self.calls[request_id] += 1
        self._records.append(
            {
                'request_id': request_id,
                'account': handler.request.headers.get('X-Account', ''),
                'method': handler.request.method,
                'path': handler.request.path,
                'started_at_ms': wall_ms(),
            }
        )

    def counts(self) -> dict[str, Any]:
        """Return the totals for ``GET /control``."""
        return {
            'started': len(self._records),
            'running': self.running,
            'runs': dict(self.calls),
            'bookings': dict(self.bookings),
        }

    def records(self) -> list[dict[str, Any]]:
        """Return each call that ran."""
        return self._records

    def faults_changed(self) -> None:
        """Need nothing: faults are read where they strike."""


class CallHandler(StandHandler):
    """Any method on any path; a POST to /book is a booking."""

    service: Service

    async def get(self, path: str) -> None:
        """Look a booking up, or echo the call."""
        await self._work(path)

    post = get
    put = get
    delete = get
    patch = get
    head = get
    options = get

    async def _work(self, path: str) -> None:
        request_id = self.request.headers.get('X-Request-Id', '')
        if request_id:
            self.set_header('X-Request-Id', request_id)
        is_booking = self.request.method == 'POST' and path == 'book'
        booking_id = self.body_json()['booking_id'] if is_booking else ''
        async with self.service.slots:
            self.service.begin(self)
            if is_booking:
                self.service.bookings[booking_id] += 1
            await self._take_time()
        if self.stand.happens(self.stand.faults.half_answer_rate):
            self.request.connection.stream.close()
            return
        await self.hold_if_silent()
        self.answer(self._result(path, booking_id))

    async def _take_time(self) -> None:
        self.service.running += 1
        try:
            await asyncio.sleep(
                _WORK_MS.value / _MS_PER_S + self.stand.faults.late_s
            )
        finally:
            self.service.running -= 1

    def _result(self, path: str, booking_id: str) -> dict[str, Any]:
        if path.startswith('book/'):
            booking_id = path.partition('/')[2]
        if booking_id:
            count = self.service.bookings[booking_id]
            return {'booking_id': booking_id, 'count': count}
        return {
            'path': path,
            'method': self.request.method,
            'replica': self.stand.name,
        }


class LoadHandler(StandHandler):
    """``GET /load``."""

    service: Service

    def get(self) -> None:
        """Return the load of now; plain services report without a lag."""
        running = self.service.running
        self.answer(
            {
                'running': running,
                'waiting': 0,
                'slots': _SLOTS.value,
                'age_s': 0.0,
                'state': 'leaving' if self.stand.faults.leaving else 'live',
            }
        )


def make_routes(stand: Stand) -> Routes:
    """Return the routes of a plain service with its own state."""
    owners: dict[str, Any] = {'stand': stand, 'service': Service(stand)}
    return [('/load', LoadHandler, owners), ('/(.*)', CallHandler, owners)]


if __name__ == '__main__':
    start_stand_in('service', make_routes)
