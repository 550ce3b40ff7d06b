"""What entries have learned of models, told to all by heartbeats.

>>> paces = FleetPaces()
>>> paces.take('e1', [ModelPrefillSpeed('m', 0.1)], now_s=0.0)
>>> paces.take('e2', [ModelPrefillSpeed('m', 0.3)], now_s=0.0)
>>> [round(one.ms_per_token, 2) for one in paces.middle(now_s=0.5)]
[0.2]
"""

from collections.abc import Sequence
from dataclasses import dataclass

from snipebridge.policy.prefill_speed import (
    ModelPrefillSpeed,
    median_prefill_speeds,
)

# Engines and loads change; an entry that fell silent says nothing of now.
REPORT_VALID_S = 5.0
# The median moves slowly, and a reply must not cost a walk over all entries.
_RENEW_S = 0.5


@dataclass(slots=True)
class _Report:
    heard_s: float
    paces: Sequence[ModelPrefillSpeed]


class FleetPaces:
    """The last report of each entry, and the median of them."""

    __slots__ = ('_middle', '_renewed_s', '_reports')

    def __init__(self) -> None:
        """Start without a report."""
        self._reports: dict[str, _Report] = {}
        self._middle: list[ModelPrefillSpeed] = []
        self._renewed_s = float('-inf')

    def take(
        self, entry: str, paces: Sequence[ModelPrefillSpeed], now_s: float
    ) -> None:
        """Replace what an entry reported before."""
        self._reports[entry] = _Report(now_s, paces)

    def middle(self, now_s: float) -> list[ModelPrefillSpeed]:
        """Return the median by model, made anew now and then."""
        if now_s - self._renewed_s >= _RENEW_S:
            self._renewed_s = now_s
            self._reports = {
                entry: report
                for entry, report in self._reports.items()
                if now_s - report.heard_s <= REPORT_VALID_S
            }
            reports = [report.paces for report in self._reports.values()]
            self._middle = median_prefill_speeds(reports)
        return self._middle
