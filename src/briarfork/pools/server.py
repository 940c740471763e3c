"""A backend server as the owner of its slots sees it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from briarfork.configuration import RequestClass
from briarfork.pools.slow_start import SlowStart

# Weight of the newest run time in the moving mean.
RUN_TIME_WEIGHT: Final = 0.2
# A server that refused a request gets no new work for this time; it doubles with each further
# refusal. A refusal of a slot that seems free often ends with the request that still holds it.
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 2.0
# The list of VMs shows a drain late. After this time one request shows whether it goes on.
DRAIN_PAUSE_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Where a backend server listens."""

    vm: str
    address: str
    port: int


@dataclass(frozen=True, slots=True)
class Work:
    """A request in progress at a server."""

    request_class: RequestClass
    started_at: float


@dataclass(slots=True)
class Server:
    """State of one backend server's slots.

    Attributes:
        address: Where it listens; its `vm` is its identity.
        slots: Requests that it runs at the same time.
        long_slots: Slots that long requests may hold.
        leaving: Whether it gets no new work.
        paused_until: End of the pause after a refusal.
        pause_s: Length of the next pause.
        permits: Requests in progress, by permit.
        overdue: Requests in progress beyond the usual run time, at the last count.
        run_time_s: Moving mean of the run time of short requests.
        chosen: Permits granted so far.
        slow_start: Bounds the slots while the server warms up.
    """

    address: ServerAddress
    slots: int
    long_slots: int
    leaving: bool = False
    paused_until: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    permits: dict[str, Work] = field(default_factory=dict)
    overdue: int = 0
    run_time_s: float = 0.0
    chosen: int = 0
    slow_start: SlowStart = field(default_factory=lambda: SlowStart(cold=False))

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return len(self.permits)

    def has_room(self, request_class: RequestClass, now: float) -> bool:
        """Returns whether a request of this class may start now."""
        if self.leaving or now < self.paused_until:
            return False
        if self.in_progress >= self.slow_start.limit(self.slots, now):
            return False
        if request_class is RequestClass.SHORT:
            return True
        held = sum(1 for item in self.permits.values() if item.request_class is RequestClass.LONG)
        return held < self.long_slots

    def record_run_time(self, elapsed_s: float) -> None:
        """Adds a run time to the moving mean."""
        if self.run_time_s == 0.0:
            self.run_time_s = elapsed_s
        self.run_time_s += RUN_TIME_WEIGHT * (elapsed_s - self.run_time_s)

    def start(self, permit: str, request_class: RequestClass, now: float) -> None:
        """Counts a request that starts."""
        self.permits[permit] = Work(request_class, now)
        self.chosen += 1

    def count_overdue(self, now: float, limit_s: float) -> None:
        """Counts short requests that have run for longer than the limit."""
        self.overdue = sum(
            1
            for work in self.permits.values()
            if work.request_class is RequestClass.SHORT and now - work.started_at > limit_s
        )

    def pause(self, now: float) -> None:
        """Stops new work for a while after the server refused or failed a request."""
        if now < self.paused_until:
            return
        self.paused_until = now + self.pause_s
        self.pause_s = min(LONGEST_PAUSE_S, 2 * self.pause_s)

    def drain(self, now: float) -> None:
        """Stops new work because the server says that it is leaving."""
        self.paused_until = now + DRAIN_PAUSE_S

    def resume(self) -> None:
        """Resets the length of pauses after a request has succeeded."""
        self.pause_s = FIRST_PAUSE_S
