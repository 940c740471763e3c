"""Slow start of a backend server that is new, was restarted or was idle."""

from __future__ import annotations

from typing import Final

# A cold server gets all of its slots no earlier than this.
MIN_WARM_UP_S: Final = 10.0
# Responses per slot after which a server counts as warm, because requests fill its caches.
WARM_UP_RESPONSES_PER_SLOT: Final = 10
# Long requests give few responses, so a server counts as warm after this time regardless.
MAX_WARM_UP_S: Final = 30.0
# A server without responses for this time counts as cold again.
IDLE_LIMIT_S: Final = 300.0


class SlowStart:
    """Limits the slots of a server while it warms up.

    Attributes:
        current_limit: Result of the last call of `limit`, or None if all slots may be used.

    Example:
        >>> start = SlowStart(cold=True)
        >>> start.limit(4, now=0.0)
        1
        >>> for _ in range(40): start.record_response(now=1.0)
        >>> start.limit(4, now=5.0), start.limit(4, now=10.0)
        (2, 4)
    """

    __slots__ = ("_cold", "_last_used_at", "_responses", "_started_at", "current_limit")

    def __init__(self, cold: bool) -> None:
        self.current_limit: int | None = 1 if cold else None
        self._cold = cold
        self._started_at: float | None = None
        self._last_used_at: float | None = None
        self._responses = 0

    def limit(self, slots: int, now: float) -> int:
        """Returns the number of slots that may be in use, at least 1."""
        if self._last_used_at is not None and now - self._last_used_at >= IDLE_LIMIT_S:
            self._cold, self._started_at, self._responses = True, now, 0
        if self._last_used_at is None or self._started_at == now:
            self._last_used_at = now
        if not self._cold:
            return slots
        if self._started_at is None:
            self._started_at = now
        elapsed_s = now - self._started_at
        response_share = self._responses / (WARM_UP_RESPONSES_PER_SLOT * slots)
        progress = min(elapsed_s / MIN_WARM_UP_S, max(response_share, elapsed_s / MAX_WARM_UP_S))
        self._cold = progress < 1.0
        limit = max(1, min(slots, int(slots * progress)))
        self.current_limit = limit if self._cold else None
        return limit

    def record_response(self, now: float) -> None:
        """Records a response of the server."""
        self._responses += 1
        self._last_used_at = now
