"""Limits the traffic that a region sends to other regions, and caches refusals of slots."""

from __future__ import annotations

from collections import deque
from typing import Final

from briarfork.hashing import hash_to_fraction

WINDOW_S: Final = 2.0
# Fraction of a window's requests that may spill over after their region refused them. Together
# with the steps of the remote share, this shifts less than 0.15 of a region's requests between
# two windows.
MAX_SPILLOVER_FRACTION: Final = 0.04
# The remote share of a service changes by at most one step per period, so by 0.08 in a window.
ADJUSTMENT_PERIOD_S: Final = 0.5
STEP_UP: Final = 0.02
STEP_DOWN: Final = 0.01
# The remote share rises above the first fraction of requests that found their region full, and
# falls below the second.
RAISE_ABOVE: Final = 0.05
LOWER_BELOW: Final = 0.01
# The same while the servers of other regions are busy. Then only a region that is much fuller
# than the others raises its share; otherwise full regions would exchange requests that each could
# run without the extra network delay.
RAISE_ABOVE_BUSY: Final = 0.45
LOWER_BELOW_BUSY: Final = 0.3
# Mean utilization of slots in other regions above which the servers there count as busy.
BUSY_UTILIZATION: Final = 0.85
MAX_REMOTE_SHARE: Final = 0.9
# The remote share falls if more than this fraction of remote requests met an overloaded server.
MAX_OVERLOADED_FRACTION: Final = 0.25
# The remote share is not adjusted on the basis of fewer requests.
MIN_REQUESTS: Final = 4
# Remote requests that the share allows and that have not been sent yet. From the first number on,
# requests for any object may be sent; above the second, credit is discarded.
ANY_OBJECT_CREDIT: Final = 3.0
MAX_CREDIT: Final = 4.0
# Until load is measured, callers are assumed to be distributed like the entry VMs. This fraction
# of the surplus over the region's slots is sent to other regions from the start.
INITIAL_CORRECTION: Final = 0.6


class SpilloverLimit:
    """Limits the fraction of this VM's requests that spill over to other regions in a window.

    Example:
        >>> limit = SpilloverLimit()
        >>> for number in range(60): limit.record_request(number / 100)
        >>> [(limit.allows_spillover(0.6), limit.record_spillover(0.6))[0] for _ in range(3)]
        [True, True, False]
    """

    def __init__(self) -> None:
        self._requests: deque[float] = deque()
        self._spillovers: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Counts a request, whichever region it runs in."""
        self._requests.append(now)
        _drop_expired(self._requests, now)

    def allows_spillover(self, now: float) -> bool:
        """Returns whether one more request may spill over to another region."""
        _drop_expired(self._requests, now)
        _drop_expired(self._spillovers, now)
        return len(self._spillovers) + 1 <= MAX_SPILLOVER_FRACTION * len(self._requests)

    def record_spillover(self, now: float) -> None:
        """Counts a request that spills over to another region."""
        self._spillovers.append(now)


class RemoteShareController:
    """Controls the share of one service's requests that this VM sends to other regions.

    The share rises in small steps while this region is full and falls while it has free slots, so
    that traffic never moves between regions abruptly.

    Example:
        >>> controller = RemoteShareController(initial=0.0, now=0.0)
        >>> for _ in range(10): controller.record_local(region_full=True)
        >>> controller.compute(now=0.5)
        0.02
    """

    __slots__ = (
        "_credit",
        "_local",
        "_overloaded",
        "_period_started",
        "_region_full",
        "_remote",
        "_share",
        "_utilization_sum",
    )

    def __init__(self, initial: float, now: float) -> None:
        self._share = min(MAX_REMOTE_SHARE, max(0.0, initial))
        self._period_started = now
        self._local = 0
        self._region_full = 0
        self._credit = 0.0
        self._remote = 0
        self._overloaded = 0
        self._utilization_sum = 0.0

    def record_local(self, region_full: bool) -> None:
        """Counts a request that asked this region first.

        Args:
            region_full: Whether all zones of the region refused it.
        """
        self._local += 1
        self._region_full += region_full

    def record_remote(self, overloaded: bool, utilization: float) -> None:
        """Counts a request that ran in another region.

        Args:
            overloaded: Whether the server refused it, failed or had others waiting.
            utilization: Fraction of the server's slots in use.
        """
        self._remote += 1
        self._overloaded += overloaded
        self._utilization_sum += utilization

    def compute(self, now: float) -> float:
        """Returns the current share, after adjusting it if a period has passed."""
        if now - self._period_started >= ADJUSTMENT_PERIOD_S:
            self._period_started = now
            if self._local >= MIN_REQUESTS:
                self._adjust(self._region_full / self._local)
                self._local = self._region_full = 0
        return self._share

    def sends_remote(self, object_key: str, now: float) -> bool:
        """Returns whether to send a request to another region.

        The number of requests follows the share. Objects are selected by hash, the same on all
        VMs, so that no region has to cache all objects.
        """
        share = self.compute(now)
        self._credit = min(MAX_CREDIT, self._credit + share)
        selected = not object_key or hash_to_fraction(f"{object_key}|leaves") < share
        if self._credit < (1.0 if selected else ANY_OBJECT_CREDIT):
            return False
        self._credit -= 1.0
        return True

    def _adjust(self, full_fraction: float) -> None:
        counted = max(self._remote, MIN_REQUESTS)
        overloaded = self._overloaded > MAX_OVERLOADED_FRACTION * counted
        busy = self._utilization_sum > BUSY_UTILIZATION * counted
        self._remote = self._overloaded = 0
        self._utilization_sum = 0.0
        if overloaded or full_fraction < (LOWER_BELOW_BUSY if busy else LOWER_BELOW):
            self._share = max(0.0, self._share - STEP_DOWN)
        elif full_fraction > (RAISE_ABOVE_BUSY if busy else RAISE_ABOVE):
            self._share = min(MAX_REMOTE_SHARE, self._share + STEP_UP)


def estimate_remote_share(local_slots: int, all_slots: int, local_vms: int, all_vms: int) -> float:
    """Returns the initial remote share of a service.

    Args:
        local_slots: Slots of the service in the region.
        all_slots: Slots of the service in all regions.
        local_vms: Entry VMs of the region.
        all_vms: Entry VMs of all regions.

    Example:
        >>> round(estimate_remote_share(2, 20, 4, 12), 2)
        0.42
    """
    if not all_slots or not local_vms or not all_vms:
        return 0.0
    coverage = (local_slots / all_slots) / (local_vms / all_vms)
    return INITIAL_CORRECTION * max(0.0, 1.0 - coverage)


def _drop_expired(times: deque[float], now: float) -> None:
    while times and times[0] <= now - WINDOW_S:
        times.popleft()
