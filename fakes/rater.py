"""Stand-in for the service that rates answers.

The fake engine writes its quality as the last token; the score follows it
with a little noise that depends on the request alone.

    python -m fakes.rater --port=0 --name=rater
"""

import asyncio
import collections
from typing import Any

from absl import flags

from fakes import answers
from fakes.serving import Routes, Stand, StandHandler, start_stand_in, wall_ms

_NOISE = flags.DEFINE_float('noise', 0.1, 'Largest distance from 0 or 1.')
_WORK_MS = flags.DEFINE_float('work_ms', 2.0, 'Time of a rating.')

_MS_PER_S = 1000


class Rater:
    """Counts of the ratings given."""

    def __init__(self, stand: Stand) -> None:
        """Start with no ratings."""
        self.stand = stand
        stand.counters = self
        self.scores: collections.Counter[str] = collections.Counter()
        self._records: list[dict[str, Any]] = []

    def rate(self, question: dict[str, Any]) -> float:
        """Return the score of an answer and keep a record."""
        request_id = str(question['request_id'])
        version = str(question.get('version', ''))
        score = score_answer(request_id, str(question['answer']), _NOISE.value)
        self.scores[version] += 1
        self._records.append(
            {
                'request_id': request_id,
                'version': version,
                'score': score,
                'started_at_ms': wall_ms(),
            }
        )
        return score

    def counts(self) -> dict[str, Any]:
        """Return the totals for ``GET /control``."""
        return {'started': len(self._records), 'rated': dict(self.scores)}

    def records(self) -> list[dict[str, Any]]:
        """Return each rating."""
        return self._records

    def faults_changed(self) -> None:
        """Need nothing: faults are read where they strike."""


class RateHandler(StandHandler):
    """``POST /rate``."""

    rater: Rater

    async def post(self) -> None:
        """Rate one answer."""
        question = self.body_json()
        if not {'request_id', 'answer'} <= set(question):
            self.fail(400, 'bad_rating_request')
            return
        await asyncio.sleep(
            _WORK_MS.value / _MS_PER_S + self.stand.faults.late_s
        )
        await self.hold_if_silent()
        request_id = question['request_id']
        score = self.rater.rate(question)
        self.answer({'request_id': request_id, 'score': score})


def score_answer(request_id: str, text: str, noise: float) -> float:
    """Return a score from 0 to 1 for an answer of the fake engine.

    >>> score_answer('r-1', 'w1 w2 good', 0.0)
    1.0
    >>> score_answer('r-1', 'w1 w2', 0.0)
    0.0
    """
    distance = noise * answers.unit_hash(f'{request_id}:score')
    is_good = text.rsplit(' ', 1)[-1] == answers.GOOD
    return round(1 - distance if is_good else distance, 4)


def make_routes(stand: Stand) -> Routes:
    """Return the routes of a rater with its own state."""
    return [('/rate', RateHandler, {'stand': stand, 'rater': Rater(stand)})]


if __name__ == '__main__':
    start_stand_in('rater', make_routes)
