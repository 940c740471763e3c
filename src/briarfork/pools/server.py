"""A backend server as the owner of its slots sees it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

from briarfork.configuration import RequestClass
from briarfork.pools.objects import RecentObjects
from briarfork.pools.slow_start import SlowStart

if TYPE_CHECKING:
    from briarfork.pools.cold import ColdPace

# Weight of the newest run time in the moving mean.
RUN_TIME_WEIGHT: Final = 0.2
# A server that refused a request gets no new work for this time; it doubles with each further
# refusal. A refusal of a slot that seems free often ends with the request that still holds it.
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 2.0
# A server may refuse single requests at random and run the others; pausing it at each refusal
# would waste most of its slots.
REFUSALS_BEFORE_PAUSE: Final = 2
# A server that drains serves what it has for up to this time, the longest planned stop. One that
# takes work again sooner is listed anew or with another address.
DRAIN_PAUSE_S: Final = 900.0
# A slowdown by neighbours on the same machine lasts for less than a second.
SLOWNESS_AGE_S: Final = 0.6


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Where a backend server listens.

    Attributes:
        slots: Requests that it runs at the same time, 0 if the service's capacity applies.
        born_ms: Start of this incarnation in Unix milliseconds, 0 if unknown.
    """

    vm: str
    address: str
    port: int
    slots: int = 0
    born_ms: int = 0


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
        refusals: Requests that it has refused since it last ran one.
        permits: Requests in progress, by permit.
        overdue: Requests in progress beyond the usual run time, at the last count.
        run_time_s: Moving mean of the run time of short requests.
        chosen: Permits granted so far.
        slow_start: Bounds the slots while the server warms up.
        cold: Bounds the rate of requests while the caches of the server are cold.
        objects: Objects that it has handled lately.
        slowness: Its last report of how much longer work takes than usual.
        slowness_at: When the report arrived.
    """

    address: ServerAddress
    slots: int
    long_slots: int
    leaving: bool = False
    paused_until: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    refusals: int = 0
    permits: dict[str, Work] = field(default_factory=dict)
    overdue: int = 0
    run_time_s: float = 0.0
    chosen: int = 0
    slow_start: SlowStart = field(default_factory=lambda: SlowStart(cold=False))
    cold: ColdPace | None = None
    objects: RecentObjects = field(default_factory=RecentObjects)
    slowness: float = 1.0
    slowness_at: float = 0.0

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
        if self.cold is not None and not self.cold.allows(now):
            return False
        if request_class is RequestClass.SHORT:
            return True
        held = sum(1 for item in self.permits.values() if item.request_class is RequestClass.LONG)
        return held < self.long_slots

    def stays(self, now: float) -> bool:
        """Returns whether the server is neither leaving nor draining."""
        return not self.leaving and self.paused_until <= now + LONGEST_PAUSE_S

    def record_run_time(self, elapsed_s: float) -> None:
        """Adds a run time to the moving mean."""
        if self.run_time_s == 0.0:
            self.run_time_s = elapsed_s
        self.run_time_s += RUN_TIME_WEIGHT * (elapsed_s - self.run_time_s)

    def start(self, permit: str, request_class: RequestClass, now: float) -> None:
        """Counts a request that starts."""
        self.permits[permit] = Work(request_class, now)
        self.chosen += 1
        if self.cold is not None:
            self.cold.record(now)

    def record_slowness(self, slowness: float, now: float) -> None:
        """Takes a report of how much longer work takes than usual; 0 means no report."""
        if slowness > 0.0:
            self.slowness = slowness
            self.slowness_at = now

    def find_slowness(self, now: float) -> float:
        """Returns the last reported slowness, or 1 once the report is too old."""
        return self.slowness if now - self.slowness_at <= SLOWNESS_AGE_S else 1.0

    def count_overdue(self, now: float, limit_s: float) -> None:
        """Counts short requests that have run for longer than the limit."""
        self.overdue = sum(
            1
            for work in self.permits.values()
            if work.request_class is RequestClass.SHORT and now - work.started_at > limit_s
        )

    def refuse(self, now: float) -> None:
        """Counts a request that the server refused, and stops new work after several in a row."""
        self.refusals += 1
        if self.refusals >= REFUSALS_BEFORE_PAUSE:
            self.pause(now)

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
        self.refusals = 0
