"""Limits the request rate of a backend server whose caches are cold."""

from __future__ import annotations

from collections import deque
from typing import Final

WINDOW_S: Final = 1.0
# Requests sent within one second may arrive closer together, and for a moment two VMs may both act
# as owner of the slots. With this factor, two owners together stay below 1.5 times the rate.
RATE_FACTOR: Final = 0.75


class ColdStartLimiter:
    """Limits the number of requests to a cold server in any window of one second.

    Example:
        >>> limiter = ColdStartLimiter(until=5.0, per_s=4.0)
        >>> [limiter.allows(0.1), limiter.record(0.1), limiter.record(0.2), limiter.record(0.3)]
        [True, None, None, None]
        >>> limiter.allows(0.4), limiter.allows(1.15), limiter.allows(5.0)
        (False, True, True)
    """

    __slots__ = ("_max_per_window", "_sent", "until")

    def __init__(self, until: float, per_s: float) -> None:
        self.until = until
        self._max_per_window = max(1, int(per_s * RATE_FACTOR))
        self._sent: deque[float] = deque()

    def allows(self, now: float) -> bool:
        """Returns whether another request may be sent now."""
        if now >= self.until:
            return True
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < self._max_per_window

    def record(self, now: float) -> None:
        """Records that a request is sent."""
        self._sent.append(now)
