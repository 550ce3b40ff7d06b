"""Rounds of messages, by which a leader knows that its quorum follows it.

A round is opened at a time of the leader's clock, and each message carries
the round that was open when it was built. An acknowledgement of a round
proves that the peer heard the leader no earlier than the round was opened,
and from then on the peer grants no vote for an election timeout.
"""

from collections import deque

MAX_OPEN_ROUNDS = 1024


class Rounds:
    """Opening times of rounds, and what each peer acknowledged.

    >>> rounds = Rounds()
    >>> number = rounds.begin(5.0)
    >>> rounds.acknowledge('a', number)
    >>> rounds.sent_s('a')
    5.0
    """

    __slots__ = ('_acknowledged', '_opened', 'number')

    def __init__(self) -> None:
        """Start without rounds."""
        self.number = 0
        self._opened: deque[tuple[int, float]] = deque(maxlen=MAX_OPEN_ROUNDS)
        self._acknowledged: dict[str, tuple[int, float]] = {}

    def begin(self, now_s: float) -> int:
        """Open the next round."""
        self.number += 1
        self._opened.append((self.number, now_s))
        return self.number

    def acknowledge(self, name: str, number: int) -> None:
        """Note that a peer heard a round."""
        if number <= self.acknowledged(name):
            return
        opened_s = self.opened_s(number)
        if opened_s is not None:
            self._acknowledged[name] = (number, opened_s)

    def forget(self, name: str) -> None:
        """Drop what a peer acknowledged under another identity."""
        self._acknowledged.pop(name, None)

    def acknowledged(self, name: str) -> int:
        """Return the latest round that a peer heard."""
        return self._acknowledged.get(name, (0, 0.0))[0]

    def sent_s(self, name: str) -> float:
        """Return when the latest round that a peer heard was opened."""
        return self._acknowledged.get(name, (0, float('-inf')))[1]

    def opened_s(self, number: int) -> float | None:
        """Return when a round was opened, None where that is long ago."""
        if not self._opened:
            return None
        position = number - self._opened[0][0]
        if 0 <= position < len(self._opened):
            return self._opened[position][1]
        return None
