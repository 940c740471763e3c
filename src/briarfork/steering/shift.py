"""Shifts of traffic between sites: the ramp of shares and the cap on moved requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briarfork.configuration import ShiftLimits

PERCENT_PER_SHARE = 100.0
SECONDS_PER_MINUTE = 60.0
# Wider than the second in which the cap is stated, because delay that varies on the way may bring
# requests closer together at the receiving site.
CAP_WINDOW_S = 1.25

Shares = dict[str, float]


def normalize(weights: dict[str, float]) -> Shares:
    """Returns weights as shares that add up to 1.

    Example:
        >>> normalize({"a": 1, "b": 3})
        {'a': 0.25, 'b': 0.75}
    """
    total = sum(weights.values())
    return {site: weight / total for site, weight in weights.items()}


@dataclass(frozen=True, slots=True)
class SpreadChange:
    """One entry in the history of a spread: shares to reach, from a start time on."""

    start_at: float
    shares: Shares
    limits: ShiftLimits


@dataclass(frozen=True, slots=True)
class Ramp:
    """A linear change of shares.

    Attributes:
        start_at: Time at which it begins, seconds since the epoch.
        origin: Shares at the start.
        target: Shares at the end.
        limits: Slope and cap that were scheduled.
    """

    start_at: float
    origin: Shares
    target: Shares
    limits: ShiftLimits

    @property
    def duration_s(self) -> float:
        """Time in which the largest difference of a share is covered at the scheduled slope."""
        sites = self.origin.keys() | self.target.keys()
        largest = max(abs(self.target.get(s, 0.0) - self.origin.get(s, 0.0)) for s in sites)
        slope = self.limits.slope_percent_per_minute / PERCENT_PER_SHARE / SECONDS_PER_MINUTE
        return largest / slope

    def find_shares(self, now: float) -> Shares:
        """Returns the shares at a time."""
        duration = self.duration_s
        if duration == 0 or now >= self.start_at + duration:
            return self.target
        progress = max(0.0, (now - self.start_at) / duration)
        sites = sorted(self.origin.keys() | self.target.keys())
        return {
            site: self.origin.get(site, 0.0)
            + progress * (self.target.get(site, 0.0) - self.origin.get(site, 0.0))
            for site in sites
        }


def build_ramp(history: Sequence[SpreadChange], now: float) -> Ramp:
    """Works out the ramp in force from the history of a spread.

    A change that starts during an earlier ramp begins at the shares that the ramp has reached, so
    shares never jump. The first spread of a service has no ramp.
    """
    first = history[0]
    ramp = Ramp(first.start_at, first.shares, first.shares, first.limits)
    for change in history[1:]:
        if change.start_at > now:
            break
        if change.shares != ramp.target:
            origin = ramp.find_shares(change.start_at)
            ramp = Ramp(change.start_at, origin, change.shares, change.limits)
    return ramp


class ShiftCap:
    """This VM's part of the cap of one shift to one receiving site.

    Each VM may move an equal whole number of requests in any window, so that the sum over all VMs
    stays under the cap without coordination, also in a partition. It starts as if the part were
    spent, so a restarted VM cannot spend the same part twice.
    """

    def __init__(self, cap_rps: float, entry_vms: int, now: float) -> None:
        part = int(cap_rps / entry_vms)
        self._moved_at: deque[float] = deque([now] * part, maxlen=part)

    def admit(self, now: float) -> bool:
        """Returns whether one more moved request is within the cap, and counts it if so."""
        if not self._moved_at or now - self._moved_at[0] < CAP_WINDOW_S:
            return False
        self._moved_at.append(now)
        return True
