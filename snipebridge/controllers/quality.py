"""Ratings of the whole fleet, which old ratings leave by decay.

>>> board = QualityStore()
>>> cell = QualityCell(version='m@1', task='caption', good=3, total=4)
>>> board.add('e1', [cell], now_s=0.0)
>>> board.cells('e2', now_s=HALF_LIFE_S)[0].total
2.0
"""

from collections.abc import Iterable
from dataclasses import dataclass

from snipebridge.controllers.change_tracker import ChangeTracker
from snipebridge.rpc.control_pb2 import QualityCell

HALF_LIFE_S = 3600.0

# Cells in one reply, besides those that the entry itself reported.
_CELLS_LIMIT = 8

CellKey = tuple[str, str, str]


@dataclass(slots=True)
class _Sums:
    good: float
    total: float
    updated_s: float

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        self.good *= factor
        self.total *= factor
        self.updated_s = now_s


class QualityStore:
    """Sums of ratings by version, kind of task and class of length."""

    __slots__ = ('_cells', '_changes', '_reported')

    def __init__(self) -> None:
        """Start without ratings."""
        self._cells: dict[CellKey, _Sums] = {}
        self._changes: ChangeTracker[CellKey] = ChangeTracker()
        self._reported: dict[str, list[CellKey]] = {}

    def add(
        self, reader: str, cells: Iterable[QualityCell], now_s: float
    ) -> None:
        """Add what an entry rated since its last report."""
        self._changes.acknowledge(reader)
        reported = []
        for cell in cells:
            key = (cell.version, cell.task, cell.length_class)
            sums = self._cells.setdefault(key, _Sums(0, 0, now_s))
            sums.decay(now_s)
            sums.good += cell.good
            sums.total += cell.total
            self._changes.record_change(key)
            reported.append(key)
        self._reported[reader] = reported

    def cells(self, reader: str, now_s: float) -> list[QualityCell]:
        """Return what the entry lacks, and the cells of its last report.

        The entry replaces its own sums by those of the fleet; so each cell
        that it reported has to come back to it.
        """
        due = dict.fromkeys(self._reported.get(reader, ()))
        due.update(
            dict.fromkeys(self._changes.next_batch(reader, _CELLS_LIMIT))
        )
        return [self._cell(key, now_s) for key in due if key in self._cells]

    def reset_reader(self, reader: str) -> None:
        """Start over with an entry that restarted."""
        self._changes.reset_reader(reader)
        self._reported.pop(reader, None)

    def keep_versions(self, names) -> None:
        """Drop the ratings of versions that are no longer configured."""
        gone = [key for key in self._cells if key[0] not in names]
        for key in gone:
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
