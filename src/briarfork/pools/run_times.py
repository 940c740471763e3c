"""Run times of the requests of one class, as the owner of the slots learns them from releases."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

MEAN_WEIGHT: Final = 0.05
WINDOW: Final = 256
# With fewer run times the 95th percentile is not known well enough to call a request overdue.
MIN_SAMPLES: Final = 32
REFRESH_EVERY: Final = 16
OVERDUE_RANK: Final = 0.95


class RunTimes:
    """Moving mean and 95th percentile of recent run times.

    Example:
        >>> times = RunTimes()
        >>> times.mean_s, times.overdue_s
        (0.0, inf)
        >>> for number in range(100):
        ...     times.record(number / 100)
        >>> 0.85 < times.overdue_s < 0.95
        True
    """

    __slots__ = ("_recent", "_recorded", "mean_s", "overdue_s")

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=WINDOW)
        self._recorded = 0
        self.mean_s = 0.0
        self.overdue_s = math.inf

    def record(self, elapsed_s: float) -> None:
        """Adds a run time."""
        self._recorded += 1
        # The mean of the first run times is exact, so no assumed start value distorts it.
        weight = max(MEAN_WEIGHT, 1.0 / self._recorded)
        self.mean_s += weight * (elapsed_s - self.mean_s)
        self._recent.append(elapsed_s)
        if self._recorded >= MIN_SAMPLES and self._recorded % REFRESH_EVERY == 0:
            ordered = sorted(self._recent)
            self.overdue_s = ordered[int(OVERDUE_RANK * len(ordered))]
