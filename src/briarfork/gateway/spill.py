"""How much of a region's traffic may run in other regions, and whom it is useless to ask."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from briarfork.entry.slots import SlotKey

WINDOW_S: Final = 2.0
# The share of a region's requests that changes region between two windows stays below 0.15, as
# the share that runs elsewhere never exceeds this.
MAX_SHARE: Final = 0.1
# A refusal without an expected wait says nothing about later requests.
MAX_REFUSAL_S: Final = 0.2


class SpillLimit:
    """Bounds the share of this VM's requests that run in another region in any window.

    Example:
        >>> limit = SpillLimit()
        >>> for number in range(20): limit.count(number / 100)
        >>> [(limit.allows(0.2), limit.spend(0.2))[0] for _ in range(3)]
        [True, True, False]
    """

    def __init__(self) -> None:
        self._requests: deque[float] = deque()
        self._spilled: deque[float] = deque()

    def count(self, now: float) -> None:
        """Counts a request, wherever it will run."""
        self._requests.append(now)
        _forget(self._requests, now)

    def allows(self, now: float) -> bool:
        """Returns whether another request may run in another region."""
        _forget(self._requests, now)
        _forget(self._spilled, now)
        return len(self._spilled) + 1 <= MAX_SHARE * len(self._requests)

    def spend(self, now: float) -> None:
        """Counts a request that runs in another region."""
        self._spilled.append(now)


class Refusals:
    """Remembers for a moment which slots were refused, so that they are not asked in vain."""

    def __init__(self) -> None:
        self._until: dict[tuple[SlotKey, int], float] = {}

    def record(self, key: SlotKey, priority: int, wait_s: float, now: float) -> None:
        """Notes a refusal; it holds for half of the expected wait, at most 0.2 s."""
        if wait_s > 0.0:
            self._until[key, priority] = now + min(MAX_REFUSAL_S, wait_s / 2)

    def find_wait(self, key: SlotKey, priority: int, now: float) -> float:
        """Returns for how long slots are still taken as refused, 0 if they may be asked."""
        return max(0.0, self._until.get((key, priority), 0.0) - now)


def _forget(times: deque[float], now: float) -> None:
    while times and times[0] <= now - WINDOW_S:
        times.popleft()
