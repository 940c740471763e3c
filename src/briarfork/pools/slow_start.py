"""Slow start of a backend server that is new, restarted or was idle."""

from __future__ import annotations

from typing import Final

# A cold server gets all of its slots after this time at the earliest.
WARM_S: Final = 10.0
# Answers for each slot after which a server counts as warm; its caches fill by requests.
WARM_ANSWERS: Final = 10
# Long requests bring few answers, so time alone is enough after this.
LONGEST_S: Final = 30.0
# A server without answers for this time is cold again.
IDLE_S: Final = 300.0


class SlowStart:
    """How many slots of a server may be used while it warms up.

    Attributes:
        bound: The limit as of the last call, or None while there is none.

    Example:
        >>> start = SlowStart(cold=True)
        >>> start.limit(4, now=0.0)
        1
        >>> for _ in range(40): start.record_answer(now=1.0)
        >>> start.limit(4, now=5.0), start.limit(4, now=10.0)
        (2, 4)
    """

    __slots__ = ("_answered", "_began_at", "_cold", "_used_at", "bound")

    def __init__(self, cold: bool) -> None:
        self.bound: int | None = 1 if cold else None
        self._cold = cold
        self._began_at: float | None = None
        self._used_at: float | None = None
        self._answered = 0

    def limit(self, slots: int, now: float) -> int:
        """Returns the slots that may be used at a time; at least 1."""
        if self._used_at is not None and now - self._used_at >= IDLE_S:
            self._cold, self._began_at, self._answered = True, now, 0
        if self._used_at is None or self._began_at == now:
            self._used_at = now
        if not self._cold:
            return slots
        if self._began_at is None:
            self._began_at = now
        passed_s = now - self._began_at
        answered = self._answered / (WARM_ANSWERS * slots)
        warmth = min(passed_s / WARM_S, max(answered, passed_s / LONGEST_S))
        self._cold = warmth < 1.0
        limit = max(1, min(slots, int(slots * warmth)))
        self.bound = limit if self._cold else None
        return limit

    def record_answer(self, now: float) -> None:
        """Takes note of an answer."""
        self._answered += 1
        self._used_at = now
