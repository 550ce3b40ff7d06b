"""Bounds what a version on trial gets of the requests that reach a service.

The load that this answers: other replicas are gone, or take few requests, so
that a share of the callers' sessions is a larger part of what is served. Each
entry keeps the bound for its own dispatches, so it holds for their sum over any
number of entries that come, go and are cut off.

>>> exposure = CanaryExposure(share=0.1, carry=0.0)
>>> exposure.allows_more()
False
>>> for _ in range(11):
...     exposure.record(on_target=False)
>>> exposure.allows_more()
True
"""

# Part of the permitted share: sessions on the target stay there beyond it.
_USED_SHARE = 0.9


class CanaryExposure:
    """Dispatches of one entry during one roll-out."""

    __slots__ = ('_carry', '_sent', '_share', '_target_sent')

    def __init__(self, share: float, carry: float) -> None:
        """Keep a share of the dispatches.

        `carry`, from 0 to 1, is drawn by each entry: rounding down would leave
        entries of few requests without a trial, rounding up would add one
        request for each of hundreds of entries.
        """
        self._share = share * _USED_SHARE
        self._carry = carry
        self._sent = 0
        self._target_sent = 0

    def record(self, *, on_target: bool) -> None:
        """Count a dispatch."""
        self._sent += 1
        self._target_sent += on_target

    def allows_more(self) -> bool:
        """Tell whether one more dispatch may go to the target."""
        allowed = self._share * (self._sent + 1) + self._carry
        return self._target_sent + 1 <= allowed
