"""Gradual return of traffic to a site after an outage."""

from __future__ import annotations

from typing import Final

# Time over which a recovered site gets all of its traffic back.
RAMP_UP_S: Final = 30.0
# Fraction of the requests that still try a failed site, to detect its recovery.
PROBE_RATIO: Final = 0.02
# Failures within this time count once, because requests that are sent together fail together.
FAILURE_DEBOUNCE_S: Final = 0.5


class Recovery:
    """The fraction of a site's assigned requests that are sent to it first.

    The fraction halves with each failure and grows over time while requests succeed, so a site
    with reduced capacity settles at the load that it can take, without oscillation.

    Example:
        >>> recovery = Recovery()
        >>> recovery.record_failure(now=0.0)
        >>> recovery.traffic_ratio
        0.02
        >>> recovery.record_success(now=10.0); recovery.record_success(now=10.5)
        >>> round(recovery.traffic_ratio, 3)
        0.053
    """

    __slots__ = ("_accumulated", "_changed_at", "_failed_at", "traffic_ratio")

    def __init__(self) -> None:
        self.traffic_ratio = 1.0
        self._changed_at = 0.0
        self._failed_at = 0.0
        self._accumulated = 0.0

    def admit(self) -> bool:
        """Returns whether the next request is sent to the site first."""
        self._accumulated += self.traffic_ratio
        if self._accumulated < 1.0:
            return False
        self._accumulated -= 1.0
        return True

    def record_failure(self, now: float) -> None:
        """Records that the site has no backend server or that its owner is unreachable.

        Args:
            now: Monotonic time in seconds.
        """
        if self.traffic_ratio == 1.0:
            self.traffic_ratio = PROBE_RATIO
        elif now - self._failed_at >= FAILURE_DEBOUNCE_S:
            self.traffic_ratio = max(PROBE_RATIO, self.traffic_ratio / 2)
        else:
            return
        self._failed_at = self._changed_at = now

    def record_success(self, now: float) -> None:
        """Records that the site accepted a request.

        Args:
            now: Monotonic time in seconds.
        """
        if self.traffic_ratio < 1.0:
            # Sparse successes say little about the time between them, so a gap is limited.
            elapsed_s = min(now - self._changed_at, FAILURE_DEBOUNCE_S)
            self.traffic_ratio = min(1.0, self.traffic_ratio + elapsed_s / RAMP_UP_S)
            self._changed_at = now
