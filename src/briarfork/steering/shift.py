"""Shifts of traffic between sites: ramps of shares and the cap on moved requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briarfork.configuration import ShiftLimits

PERCENT_PER_SHARE: Final = 100.0
SECONDS_PER_MINUTE: Final = 60.0
# Longest time from the admission of a moved request to its start at the receiving site. Delay
# that varies may bring requests closer together there by this much.
MOVE_DELAY_S: Final = 0.25
CAP_WINDOW_S: Final = 1.0 + MOVE_DELAY_S
# Bounds the work for one request; each unsettled shift is one more site to compare.
MAX_RAMPS: Final = 16

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
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Ramp:
    """A linear change of shares.

    Attributes:
        start_at: Time at which it begins, seconds since the epoch.
        origin: Shares at the start.
        target: Shares at the end.
        limits: Slope and cap that were scheduled.
        generation: Generation of the change that scheduled it.
        duration_s: Time in which the largest difference of a share is covered at the slope.
    """

    start_at: float
    origin: Shares
    target: Shares
    limits: ShiftLimits
    generation: int = 0
    duration_s: float = field(init=False)

    def __post_init__(self) -> None:
        sites = self.origin.keys() | self.target.keys()
        largest = max(abs(self.target.get(s, 0.0) - self.origin.get(s, 0.0)) for s in sites)
        slope = self.limits.slope_percent_per_minute / PERCENT_PER_SHARE / SECONDS_PER_MINUTE
        # Worked out once: it takes all sites, and each lookup needs it.
        object.__setattr__(self, "duration_s", largest / slope)

    def find_progress(self, now: float) -> float:
        """Returns how much of the change is done at a time, from 0 to 1."""
        duration = self.duration_s
        if duration == 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.start_at) / duration))

    def find_shares(self, now: float) -> Shares:
        """Returns the shares at a time."""
        progress = self.find_progress(now)
        if progress == 1.0:
            return self.target
        sites = sorted(self.origin.keys() | self.target.keys())
        return {
            site: self.origin.get(site, 0.0)
            + progress * (self.target.get(site, 0.0) - self.origin.get(site, 0.0))
            for site in sites
        }


@dataclass(frozen=True, slots=True)
class Shift:
    """The shifts of one spread that are not settled, oldest first.

    A later shift does not release what an earlier one holds back: the origin of the oldest
    unsettled ramp is where a request belongs that no cap admits. The operators settle finished
    shifts by naming their generation, because no VM alone can tell that no other VM holds
    traffic back.

    Attributes:
        ramps: At least one; each begins with the shares that the one before has reached.
        settled: Shifts up to this generation have no cap once their ramp has ended.
    """

    ramps: tuple[Ramp, ...]
    settled: int = 0

    @property
    def current(self) -> Ramp:
        """The ramp in force."""
        return self.ramps[-1]

    def find_shares(self, now: float) -> Shares:
        """Returns the shares at a time."""
        return self.current.find_shares(now)

    def list_origins(self, now: float) -> tuple[Shares, ...]:
        """Returns the shares before each unsettled shift, oldest first."""
        current = self.current
        if current.duration_s == 0 and len(self.ramps) == 1:
            return ()
        if current.generation <= self.settled and current.find_progress(now) == 1.0:
            return ()
        return tuple(ramp.origin for ramp in self.ramps)


def build_shift(history: Sequence[SpreadChange], now: float) -> Shift:
    """Works out the shift in force from the history of a spread.

    A change that starts during an earlier ramp begins at the shares that the ramp has reached, so
    shares never jump. The first spread of a service has no ramp.
    """
    first = history[0]
    ramps = [Ramp(first.start_at, first.shares, first.shares, first.limits, first.generation)]
    settled = first.limits.settled_generation
    for change in history[1:]:
        if change.start_at > now:
            break
        settled = change.limits.settled_generation
        if change.shares != ramps[-1].target:
            origin = ramps[-1].find_shares(change.start_at)
            ramps.append(
                Ramp(change.start_at, origin, change.shares, change.limits, change.generation)
            )
    moving = [ramp for ramp in ramps[:-1] if ramp.origin != ramp.target]
    kept = [ramp for ramp in moving if ramp.generation > settled] + ramps[-1:]
    if len(kept) > MAX_RAMPS:
        # The oldest origin is the only place without a cap, so it is kept.
        kept = kept[:1] + kept[1 - MAX_RAMPS :]
    return Shift(tuple(kept), settled)


class ShiftCap:
    """This VM's part of the cap on requests that shifts of a service move to one site.

    Each VM may move an equal whole number of requests in any window, so that the sum over all VMs
    stays under the cap without coordination, also in a partition. It starts as if the part were
    spent, so a restarted VM cannot spend the same part twice.
    """

    __slots__ = ("_moved_at", "_opens_at")

    def __init__(self, now: float) -> None:
        self._opens_at = now + CAP_WINDOW_S
        self._moved_at: deque[float] = deque()

    def admit(self, cap_rps: float, entry_vms: int, now: float) -> bool:
        """Returns whether one more moved request is within the cap, and counts it if so.

        Args:
            cap_rps: The cap in force over all VMs.
            entry_vms: Upper bound of the number of entry VMs.
            now: Monotonic time.
        """
        if now < self._opens_at:
            return False
        while self._moved_at and now - self._moved_at[0] >= CAP_WINDOW_S:
            self._moved_at.popleft()
        if len(self._moved_at) >= int(cap_rps / entry_vms):
            return False
        self._moved_at.append(now)
        return True

    def take_back(self) -> None:
        """Uncounts the last request, which a later shift has moved on."""
        self._moved_at.pop()
