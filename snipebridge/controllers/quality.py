"""Sums of ratings of the whole fleet with exponential decay.

>>> store = QualityStore()
>>> cell = QualityCell(version='m@1', task='caption', good=3, total=4)
>>> store.add('e1', [cell], now_s=0.0)
>>> store.cells('e2', now_s=HALF_LIFE_S)[0].total
2.0
"""

from collections.abc import Iterable
from dataclasses import dataclass

from snipebridge.controllers.change_tracker import ChangeTracker
from snipebridge.rpc.control_pb2 import QualityCell

HALF_LIFE_S = 3600.0

# Limit on cells in one reply, not counting those the entry itself reported.
_MAX_CELLS_PER_REPLY = 8

CellKey = tuple[str, str, str]


@dataclass(slots=True)
class _RatingSums:
    good: float
    total: float
    updated_s: float

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        self.good *= factor
        self.total *= factor
        self.updated_s = now_s


class QualityStore:
    """Sums of ratings by version, task and length class."""

    __slots__ = ('_cells', '_changes', '_reported')

    def __init__(self) -> None:
        """Start without ratings."""
        self._cells: dict[CellKey, _RatingSums] = {}
        self._changes: ChangeTracker[CellKey] = ChangeTracker()
        self._reported: dict[str, list[CellKey]] = {}

    def add(
        self, reader: str, cells: Iterable[QualityCell], now_s: float
    ) -> None:
        """Add the ratings of an entry since its last report."""
        self._changes.acknowledge(reader)
        reported = []
        for cell in cells:
            key = (cell.version, cell.task, cell.length_class)
            sums = self._cells.setdefault(key, _RatingSums(0, 0, now_s))
            sums.decay(now_s)
            sums.good += cell.good
            sums.total += cell.total
            self._changes.record_change(key)
            reported.append(key)
        self._reported[reader] = reported

    def cells(self, reader: str, now_s: float) -> list[QualityCell]:
        """Return cells that the entry lacks and those of its last report.

        The entry replaces its own sums with those of the fleet, so each cell
        that it reported has to be returned to it.
        """
        due = dict.fromkeys(self._reported.get(reader, ()))
        due.update(
            dict.fromkeys(
                self._changes.next_batch(reader, _MAX_CELLS_PER_REPLY)
            )
        )
        return [self._cell(key, now_s) for key in due if key in self._cells]

    def reset_reader(self, reader: str) -> None:
        """Discard what was sent to an entry that restarted."""
        self._changes.reset_reader(reader)
        self._reported.pop(reader, None)

    def keep_versions(self, names) -> None:
        """Remove ratings of versions that are no longer configured."""
        removed = [key for key in self._cells if key[0] not in names]
        for key in removed:
            self._cells.pop(key)
            self._changes.remove(key)

    def _cell(self, key: CellKey, now_s: float) -> QualityCell:
        sums = self._cells[key]
        sums.decay(now_s)
        version, task, length_class = key
        return QualityCell(
            version=version,
            task=task,
            length_class=length_class,
            good=sums.good,
            total=sums.total,
        )
