"""How much of a region's traffic may run in other regions, and whom it is useless to ask."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Final

from briarfork.hashing import hash_to_fraction

if TYPE_CHECKING:
    from briarfork.entry.slots import SlotKey

WINDOW_S: Final = 2.0
# Requests that found no room in the region as a last resort. The steps of the remote share and
# this stay together below 0.15 of a region's requests between two windows.
MAX_SHARE: Final = 0.04
# The remote share of a service moves by one step in each period, so by 0.08 in a window.
PERIOD_S: Final = 0.5
STEP_UP: Final = 0.02
STEP_DOWN: Final = 0.01
# Shares of requests that found their region full, above and below which the remote share moves.
PRESSED_ABOVE: Final = 0.05
PRESSED_BELOW: Final = 0.01
# The same while the servers elsewhere are busy: only a region that is much worse off goes on, or
# full regions would exchange requests that each could run without the way.
PRESSED_ABOVE_BUSY: Final = 0.45
PRESSED_BELOW_BUSY: Final = 0.3
# Mean share of slots in use elsewhere, above which the servers there are busy.
BUSY_ABOVE: Final = 0.85
MAX_REMOTE_SHARE: Final = 0.9
# Share of requests to other regions that met a full server, above which fewer are sent.
FULL_ABOVE: Final = 0.25
# Requests in a period below which nothing is concluded.
LEAST_REQUESTS: Final = 4
# Requests that the share allows and that the objects of the share have not used; from the first
# number on other objects use them too, and beyond the second they are not kept.
SURPLUS: Final = 3.0
MAX_SAVED: Final = 4.0
# Before anything is measured, callers are expected where the entry VMs are; this part of the
# difference to where the servers are is steered away from the start.
INITIAL_PART: Final = 0.6
# A refusal without an expected wait says nothing about later requests.
MAX_REFUSAL_S: Final = 0.2


class SpillLimit:
    """Bounds the share of this VM's requests that run in another region in any window.

    Example:
        >>> limit = SpillLimit()
        >>> for number in range(60): limit.count(number / 100)
        >>> [(limit.allows(0.6), limit.spend(0.6))[0] for _ in range(3)]
        [True, True, False]
    """

    def __init__(self) -> None:
        self._requests: deque[float] = deque()
        self._spilled: deque[float] = deque()

    def count(self, now: float) -> None:
        """Counts a request, wherever it will run."""
        self._requests.append(now)
        _forget(self._requests, now)

    def allows(self, now: float) -> bool:
        """Returns whether another request may run in another region."""
        _forget(self._requests, now)
        _forget(self._spilled, now)
        return len(self._spilled) + 1 <= MAX_SHARE * len(self._requests)

    def spend(self, now: float) -> None:
        """Counts a request that runs in another region."""
        self._spilled.append(now)


class RemoteShare:
    """The share of one service's requests that this VM sends to other regions.

    It rises in small steps while the own region is full and falls while there is room, so that
    the traffic of a region never changes its place abruptly.

    Example:
        >>> share = RemoteShare(initial=0.0, now=0.0)
        >>> for _ in range(10): share.record(pressed=True)
        >>> share.find(now=0.5)
        0.02
    """

    __slots__ = (
        "_busy",
        "_full",
        "_period_at",
        "_pressed",
        "_recorded",
        "_remote",
        "_saved",
        "_share",
    )

    def __init__(self, initial: float, now: float) -> None:
        self._share = min(MAX_REMOTE_SHARE, max(0.0, initial))
        self._period_at = now
        self._recorded = 0
        self._pressed = 0
        self._saved = 0.0
        self._remote = 0
        self._full = 0
        self._busy = 0.0

    def record(self, pressed: bool) -> None:
        """Counts a request that asked its own region first.

        Args:
            pressed: Whether it was refused there or waited for long.
        """
        self._recorded += 1
        self._pressed += pressed

    def record_remote(self, full: bool, busy: float) -> None:
        """Counts a request that ran in another region.

        Args:
            full: Whether the server there refused it or had others waiting.
            busy: Share of the server's slots in use.
        """
        self._remote += 1
        self._full += full
        self._busy += busy

    def find(self, now: float) -> float:
        """Returns the share in force now."""
        if now - self._period_at >= PERIOD_S:
            self._period_at = now
            if self._recorded >= LEAST_REQUESTS:
                self._move(self._pressed / self._recorded)
                self._recorded = self._pressed = 0
        return self._share

    def takes(self, object_key: str, now: float) -> bool:
        """Returns whether a request goes to another region.

        The share is kept by number of requests, and within it by object: the same objects leave
        from all VMs, so that neither region's caches have to hold all of them.
        """
        share = self.find(now)
        self._saved = min(MAX_SAVED, self._saved + share)
        leaves = not object_key or hash_to_fraction(f"{object_key}|leaves") < share
        if self._saved < (1.0 if leaves else SURPLUS):
            return False
        self._saved -= 1.0
        return True

    def _move(self, pressed: float) -> None:
        counted = max(self._remote, LEAST_REQUESTS)
        full = self._full > FULL_ABOVE * counted
        busy = self._busy > BUSY_ABOVE * counted
        self._remote = self._full = 0
        self._busy = 0.0
        if full or pressed < (PRESSED_BELOW_BUSY if busy else PRESSED_BELOW):
            self._share = max(0.0, self._share - STEP_DOWN)
        elif pressed > (PRESSED_ABOVE_BUSY if busy else PRESSED_ABOVE):
            self._share = min(MAX_REMOTE_SHARE, self._share + STEP_UP)


def estimate_remote_share(local_slots: int, all_slots: int, local_vms: int, all_vms: int) -> float:
    """Returns the remote share to begin with.

    Args:
        local_slots: Slots of the service in the region.
        all_slots: Its slots everywhere.
        local_vms: Entry VMs of the region.
        all_vms: Entry VMs everywhere.

    Example:
        >>> round(estimate_remote_share(2, 20, 4, 12), 2)
        0.42
    """
    if not all_slots or not local_vms or not all_vms:
        return 0.0
    served = (local_slots / all_slots) / (local_vms / all_vms)
    return INITIAL_PART * max(0.0, 1.0 - served)


class Refusals:
    """Remembers for a moment which slots were refused, so that they are not asked in vain."""

    def __init__(self) -> None:
        self._until: dict[tuple[SlotKey, int], float] = {}

    def record(self, key: SlotKey, priority: int, wait_s: float, now: float) -> None:
        """Notes a refusal; it holds for half of the expected wait, at most 0.2 s."""
        if wait_s > 0.0:
            self._until[key, priority] = now + min(MAX_REFUSAL_S, wait_s / 2)

    def find_wait(self, key: SlotKey, priority: int, now: float) -> float:
        """Returns for how long slots are still taken as refused, 0 if they may be asked."""
        return max(0.0, self._until.get((key, priority), 0.0) - now)


def _forget(times: deque[float], now: float) -> None:
    while times and times[0] <= now - WINDOW_S:
        times.popleft()
