"""Slow return of traffic to a site that was lost."""

from __future__ import annotations

from typing import Final

# Time in which a site that works again gets all of its traffic back.
RETURN_S: Final = 30.0
# Part of the requests that still try a lost site, to notice its return.
PROBE_RATIO: Final = 0.02
# A burst of failures of requests that were sent together counts once.
FAILURE_PAUSE_S: Final = 0.5


class Recovery:
    """The part of a site's own requests that go to it first.

    The part halves with each failure and grows with time while requests succeed, so a site that
    is still weak finds its level without a swing.

    Example:
        >>> recovery = Recovery()
        >>> recovery.record_loss(now=0.0)
        >>> recovery.level
        0.02
        >>> recovery.record_success(now=10.0); recovery.record_success(now=10.5)
        >>> round(recovery.level, 3)
        0.053
    """

    __slots__ = ("_changed_at", "_credit", "_lost_at", "level")

    def __init__(self) -> None:
        self.level = 1.0
        self._changed_at = 0.0
        self._lost_at = 0.0
        self._credit = 0.0

    def admit(self) -> bool:
        """Returns whether the next request goes to the site first."""
        self._credit += self.level
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def record_loss(self, now: float) -> None:
        """Takes note that the site has no server or its owner is not reachable."""
        if self.level == 1.0:
            self.level = PROBE_RATIO
        elif now - self._lost_at >= FAILURE_PAUSE_S:
            self.level = max(PROBE_RATIO, self.level / 2)
        else:
            return
        self._lost_at = self._changed_at = now

    def record_success(self, now: float) -> None:
        """Takes note that the site has taken a request."""
        if self.level < 1.0:
            # Successes far apart prove little, so a gap counts as a short one.
            passed = min(now - self._changed_at, FAILURE_PAUSE_S)
            self.level = min(1.0, self.level + passed / RETURN_S)
            self._changed_at = now
