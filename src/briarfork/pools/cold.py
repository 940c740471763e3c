"""Bounds the rate of requests to a backend server whose caches are cold."""

from __future__ import annotations

from collections import deque
from typing import Final

WINDOW_S: Final = 1.0
# Requests that were sent in one second may arrive closer together, and a second VM may take
# itself for the owner of the slots for a moment. Both together stay below 1.5 times the rate.
RATE_SHARE: Final = 0.75


class ColdPace:
    """Allows a cold server a bounded number of requests in any second.

    Example:
        >>> pace = ColdPace(until=5.0, per_s=4.0)
        >>> [pace.allows(0.1), pace.record(0.1), pace.record(0.2), pace.record(0.3)]
        [True, None, None, None]
        >>> pace.allows(0.4), pace.allows(1.15), pace.allows(5.0)
        (False, True, True)
    """

    __slots__ = ("_per_window", "_sent", "until")

    def __init__(self, until: float, per_s: float) -> None:
        self.until = until
        self._per_window = max(1, int(per_s * RATE_SHARE))
        self._sent: deque[float] = deque()

    def allows(self, now: float) -> bool:
        """Returns whether another request may be sent now."""
        if now >= self.until:
            return True
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < self._per_window

    def record(self, now: float) -> None:
        """Counts a request that is sent."""
        self._sent.append(now)
