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
# Longest time from the admission of a moved request to its start at the receiving site. Variable
# delay may compress arrivals there by this much, so the cap window is extended by it.
MAX_MOVE_DELAY_S: Final = 0.25
CAP_WINDOW_S: Final = 1.0 + MAX_MOVE_DELAY_S
# Bounds the work per request, which compares one site for each unsettled shift.
MAX_RAMPS: Final = 16

Shares = dict[str, float]


def normalize(weights: dict[str, float]) -> Shares:
    """Returns weights scaled to shares that sum to 1.

    Example:
        >>> normalize({"a": 1, "b": 3})
        {'a': 0.25, 'b': 0.75}
    """
    total = sum(weights.values())
    return {site: weight / total for site, weight in weights.items()}


@dataclass(frozen=True, slots=True)
class SpreadChange:
    """A scheduled change of the shares of a service.

    Attributes:
        start_at: Time at which the change starts, seconds since the epoch.
        shares: Target shares by site.
        limits: Slope and cap for the shift.
        generation: Generation of the configuration change.
    """

    start_at: float
    shares: Shares
    limits: ShiftLimits
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Ramp:
    """A linear change of shares.

    Attributes:
        start_at: Time at which it begins, seconds since the epoch.
        origin: Shares at the start, by site.
        target: Shares at the end, by site.
        limits: Slope and cap of the shift.
        generation: Generation of the change that scheduled it.
        duration_s: Time that the largest difference of a share takes at the slope.
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
        # Computed once, because it iterates over all sites and every lookup needs it.
        object.__setattr__(self, "duration_s", largest / slope)

    def compute_progress(self, now: float) -> float:
        """Returns the completed fraction of the ramp at a time, from 0 to 1."""
        duration = self.duration_s
        if duration == 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.start_at) / duration))

    def compute_shares(self, now: float) -> Shares:
        """Returns the shares by site at a time."""
        progress = self.compute_progress(now)
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
    """The unsettled shifts of a service, for one client region.

    A later shift does not lift the cap of an earlier one: a request that no cap admits stays at
    its site under the origin of the oldest unsettled ramp. Operators settle finished shifts by
    naming their generation, because a single VM cannot tell whether other VMs still hold traffic
    back.

    Attributes:
        ramps: Ramps of the shifts, oldest first; at least one. Each begins with the shares that
            the previous one had reached.
        settled_generation: Shifts up to this generation have no cap once their ramp has ended.
    """

    ramps: tuple[Ramp, ...]
    settled_generation: int = 0

    @property
    def current(self) -> Ramp:
        """The most recent ramp."""
        return self.ramps[-1]

    def compute_shares(self, now: float) -> Shares:
        """Returns the shares by site at a time."""
        return self.current.compute_shares(now)

    def list_origins(self, now: float) -> tuple[Shares, ...]:
        """Returns the shares before each ramp, oldest first, or nothing if no cap applies.

        No cap applies to the first spread of a service and to a settled shift that is complete.
        """
        current = self.current
        if current.duration_s == 0 and len(self.ramps) == 1:
            return ()
        if current.generation <= self.settled_generation and current.compute_progress(now) == 1.0:
            return ()
        return tuple(ramp.origin for ramp in self.ramps)


def build_shift(history: Sequence[SpreadChange], now: float) -> Shift:
    """Returns the shift in force at a time.

    A change that starts during an earlier ramp begins at the shares that the ramp has reached, so
    shares never jump. The first change of a service takes effect without a ramp.

    Args:
        history: Changes in order of their start; at least one.
        now: Time in seconds since the epoch.
    """
    first = history[0]
    ramps = [Ramp(first.start_at, first.shares, first.shares, first.limits, first.generation)]
    settled_generation = first.limits.settled_generation
    for change in history[1:]:
        if change.start_at > now:
            break
        settled_generation = change.limits.settled_generation
        if change.shares != ramps[-1].target:
            origin = ramps[-1].compute_shares(change.start_at)
            ramps.append(
                Ramp(change.start_at, origin, change.shares, change.limits, change.generation)
            )
    moving = [ramp for ramp in ramps[:-1] if ramp.origin != ramp.target]
    kept = [ramp for ramp in moving if ramp.generation > settled_generation] + ramps[-1:]
    if len(kept) > MAX_RAMPS:
        # The oldest origin is kept, because it is the only one that takes requests without a cap.
        kept = kept[:1] + kept[1 - MAX_RAMPS :]
    return Shift(tuple(kept), settled_generation)


class ShiftCap:
    """Rate limit of one VM for the requests that shifts of a service move to one site.

    Each VM may move an equal, whole number of requests per window. The sum over all VMs therefore
    stays within the cap without coordination, even during a partition. Nothing is admitted during
    the first window, so that a VM that restarts cannot use its quota twice.
    """

    __slots__ = ("_admission_times", "_admits_from")

    def __init__(self, now: float) -> None:
        self._admits_from = now + CAP_WINDOW_S
        self._admission_times: deque[float] = deque()

    def admit(self, cap_rps: float, entry_vms: int, now: float) -> bool:
        """Returns whether the cap allows another moved request, and counts it if so.

        Args:
            cap_rps: Cap over all VMs, in requests per second.
            entry_vms: Upper bound on the number of entry VMs.
            now: Monotonic time in seconds.
        """
        if now < self._admits_from:
            return False
        while self._admission_times and now - self._admission_times[0] >= CAP_WINDOW_S:
            self._admission_times.popleft()
        if len(self._admission_times) >= int(cap_rps / entry_vms):
            return False
        self._admission_times.append(now)
        return True

    def undo_last_admission(self) -> None:
        """Reverts the last admission, after a later shift has moved the request to another site."""
        self._admission_times.pop()
