"""A backend server as the owner of its slots sees it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from briarfork.configuration import RequestClass
from briarfork.pools.slow_start import SlowStart

# Weight of the newest run time in the moving mean.
RUN_TIME_WEIGHT: Final = 0.2
# A server that refused a request gets no new work for this time.
REFUSAL_PAUSE_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Where a backend server listens."""

    vm: str
    address: str
    port: int


@dataclass(slots=True)
class Server:
    """State of one backend server's slots.

    Attributes:
        address: Where it listens; its `vm` is its identity.
        slots: Requests that it runs at the same time.
        long_slots: Slots that long requests may hold.
        leaving: Whether it gets no new work.
        paused_until: End of the pause after a refusal.
        permits: Class of each request in progress, by permit.
        run_time_s: Moving mean of the run time of short requests.
        slow_start: Bounds the slots while the server warms up.
    """

    address: ServerAddress
    slots: int
    long_slots: int
    leaving: bool = False
    paused_until: float = 0.0
    permits: dict[str, RequestClass] = field(default_factory=dict)
    run_time_s: float = 0.0
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
        held = sum(1 for item in self.permits.values() if item is RequestClass.LONG)
        return held < self.long_slots

    def record_run_time(self, elapsed_s: float) -> None:
        """Adds a run time to the moving mean."""
        if self.run_time_s == 0.0:
            self.run_time_s = elapsed_s
        self.run_time_s += RUN_TIME_WEIGHT * (elapsed_s - self.run_time_s)

    def pause(self, now: float) -> None:
        """Stops new work for a while after the server refused a request."""
        self.paused_until = now + REFUSAL_PAUSE_S
