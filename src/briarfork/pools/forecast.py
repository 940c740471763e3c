"""Decides from the expected wait whether a request waits, goes on waiting or is refused."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briarfork.pools.backlog import Ahead

# Run times vary, so a request is refused at once unless twice the expected wait is left. With a
# factor of 1, half of the requests at the limit would be refused only after they had expired.
WAIT_SAFETY_FACTOR = 2.0
# A request that waits is refused only if half of the expected wait is already too long. Its server
# may have its object cached, so that its turn comes earlier, and the mean run time varies by a
# third between the hits and misses of caches.
LATE_WAIT_FACTOR = 0.5
# Closer to its end, a wait goes on: a refusal would gain the caller less than the slot that may
# still become free.
MIN_LATE_GAIN_S = 0.05
# With less ahead, the time until the next slots become free is not known well enough to refuse a
# request that has waited.
MIN_LATE_DEVIATIONS = 2.0
# Retry-After is spread over 1 to 1.5 times the forecast. With this ratio between the forecasts of
# neighbouring priorities, the less urgent callers come back after the more urgent ones.
PRIORITY_SPACING = 1.5
# Beyond this many priorities, the forecast would exceed the time for which callers wait.
MAX_SPACED_PRIORITIES = 3


@dataclass(frozen=True, slots=True)
class WaitForecast:
    """Expected waits for slots, for bursts that exceed what the servers can run in time.

    Attributes:
        slots: Number of slots that become free again, at least 1.
    """

    slots: float

    def compute_wait_s(self, ahead: Ahead) -> float:
        """Returns the expected wait behind other requests, 0 while no run time is known."""
        return max(ahead.work_s / self.slots, ahead.own_wait_s)

    def refuses_new(self, ahead: Ahead, left_s: float) -> bool:
        """Returns whether a new request is refused."""
        wait_s = ahead.work_s / self.slots
        if wait_s > 0.0 and WAIT_SAFETY_FACTOR * wait_s > left_s:
            return True
        # The rate of a workspace's slots is measured under this load and needs no safety factor; a
        # factor of 2 left slots unused in replayed bursts.
        return ahead.own_wait_s > max(0.0, left_s)

    def refuses_waiting(self, ahead: Ahead, left_s: float) -> bool:
        """Returns whether a request that has waited will not get a slot in the time left.

        Requests are overtaken when more urgent ones or those of other workspaces arrive. The margin
        keeps run times that vary from ending a wait that would have had a slot.
        """
        if left_s < MIN_LATE_GAIN_S or not ahead.requests:
            return False
        sure = max(0.0, 1.0 - MIN_LATE_DEVIATIONS / math.sqrt(ahead.requests))
        return min(sure, LATE_WAIT_FACTOR) * self.compute_wait_s(ahead) > left_s

    def may_refuse_waiting(self, last: Ahead, earliest_left_s: float) -> bool:
        """Returns whether a request of a queue may be refused after it has waited.

        Args:
            last: More than what is ahead of any request of the queue.
            earliest_left_s: Time until the first request of the queue expires.
        """
        return self.refuses_waiting(last, max(MIN_LATE_GAIN_S, earliest_left_s))


def compute_retry_s(wait_s: float, more_urgent: int) -> float:
    """Returns when a refused caller should come back, for callers that honour Retry-After.

    Args:
        wait_s: Expected wait of a new request.
        more_urgent: Number of more urgent classes and priorities that have waiting requests.

    Example:
        >>> compute_retry_s(0.2, 0), compute_retry_s(0.2, 1)
        (0.2, 0.30000000000000004)
    """
    return wait_s * PRIORITY_SPACING ** min(more_urgent, MAX_SPACED_PRIORITIES)
