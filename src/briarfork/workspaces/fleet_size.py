"""The number of VMs that share the quotas."""

from __future__ import annotations

from collections import deque

# Views of the members differ for this time when VMs come and go.
VIEWS_DIFFER_S = 2.0


class FleetSize:
    """The largest number of serving VMs that was known lately.

    Handles VMs that come and go: a VM that sees fewer members than others must not claim a greater
    part of the quotas.

    Example:
        >>> size = FleetSize()
        >>> [size.update(count, now) for count, now in ((5, 0.0), (4, 1.0), (4, 2.5))]
        [5, 5, 4]
    """

    def __init__(self) -> None:
        # Times and counts, each count smaller than the one before.
        self._recent: deque[tuple[float, int]] = deque()

    def update(self, count: int, now: float) -> int:
        """Records the present number and returns the largest recent one, at least 1."""
        while self._recent and self._recent[-1][1] <= count:
            self._recent.pop()
        self._recent.append((now, count))
        while now - self._recent[0][0] > VIEWS_DIFFER_S and len(self._recent) > 1:
            self._recent.popleft()
        return max(1, self._recent[0][1])
