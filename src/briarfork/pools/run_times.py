"""Statistics of the run times of one request class, collected from released permits."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

MEAN_WEIGHT: Final = 0.05
WINDOW_SAMPLES: Final = 256
# With fewer samples the 95th percentile is too uncertain to consider a request overdue.
MIN_SAMPLES: Final = 32
REFRESH_INTERVAL_SAMPLES: Final = 16
OVERDUE_QUANTILE: Final = 0.95


class RunTimes:
    """Moving average and 95th percentile of recent run times.

    Attributes:
        mean_s: Moving average in seconds, 0 while no run time is known.
        overdue_s: 95th percentile in seconds, infinite until there are enough samples.

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
        self._recent: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._recorded = 0
        self.mean_s = 0.0
        self.overdue_s = math.inf

    def record(self, elapsed_s: float) -> None:
        """Adds a run time."""
        self._recorded += 1
        # The first run times are averaged exactly, so that no initial value distorts the average.
        weight = max(MEAN_WEIGHT, 1.0 / self._recorded)
        self.mean_s += weight * (elapsed_s - self.mean_s)
        self._recent.append(elapsed_s)
        if self._recorded >= MIN_SAMPLES and self._recorded % REFRESH_INTERVAL_SAMPLES == 0:
            ordered = sorted(self._recent)
            self.overdue_s = ordered[int(OVERDUE_QUANTILE * len(ordered))]
