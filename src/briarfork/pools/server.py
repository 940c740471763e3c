"""State of a backend server, as tracked by the owner of its slots."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

from briarfork.configuration import RequestClass
from briarfork.pools.rate_limiter import RateLimiter
from briarfork.pools.slow_start import SlowStart

if TYPE_CHECKING:
    from briarfork.pools.cold_start import ColdStartLimiter

# Weight of the latest run time in the exponential moving average.
RUN_TIME_WEIGHT: Final = 0.2
# A server that refuses requests gets no new ones for this time, which doubles with each further
# refusal. A server often refuses because an earlier request still holds the slot, which is free
# again once that request has ended.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2.0
# A server may refuse some requests at random and run the others. Backing off after every refusal
# would leave most of its slots unused.
REFUSALS_BEFORE_BACKOFF: Final = 2
# Longest planned stop, during which a draining server finishes its requests. A server that accepts
# requests again earlier reappears on the list, or is listed with another address.
DRAIN_PAUSE_S: Final = 900.0
# Slowdowns caused by other VMs on the same host last for less than a second.
SLOWNESS_TTL_S: Final = 0.6


@dataclass(frozen=True, slots=True)
class ServerAddress:
    """Address and capacity of a backend server.

    Attributes:
        name: Name of the backend server.
        address: IP address.
        port: Port number.
        slots: Maximum number of concurrent requests, 0 if the service's capacity applies.
        started_at_ms: Start of this incarnation in Unix milliseconds, 0 if unknown.
    """

    name: str
    address: str
    port: int
    slots: int = 0
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request in progress at a server.

    Attributes:
        request_class: Short or long.
        started_at: Start time, in seconds.
    """

    request_class: RequestClass
    started_at: float


@dataclass(slots=True)
class Server:
    """State of one backend server and its slots. Times are in seconds.

    Attributes:
        address: Address of the server; its name identifies the server.
        slots: Maximum number of concurrent requests.
        long_slots: Maximum number of concurrent long requests.
        leaving: Whether the server is no longer listed and gets no new requests.
        paused_until: Time until which the server gets no new requests, because it refused or
            failed a request or is draining.
        next_backoff_s: Length of the next backoff.
        refusals: Consecutive refusals since a request last succeeded.
        permits: Requests in progress, by permit.
        overdue: Requests in progress that exceed the usual run time, as last counted.
        run_time_s: Moving average of the run time of short requests.
        times_selected: Number of requests that were sent to the server so far.
        slow_start: Limits the slots while the server warms up.
        cold_start_limiter: Limits the request rate while the caches of the server are cold, or
            None if the rate is not limited.
        rate_limiter: Limits the request rate to what the server says that it accepts, or None if it
            names no limit.
        slowness: Last reported ratio of the run time to the usual one.
        slowness_at: Time at which the report arrived.
    """

    address: ServerAddress
    slots: int
    long_slots: int
    leaving: bool = False
    paused_until: float = 0.0
    next_backoff_s: float = INITIAL_BACKOFF_S
    refusals: int = 0
    permits: dict[str, RunningRequest] = field(default_factory=dict)
    overdue: int = 0
    run_time_s: float = 0.0
    times_selected: int = 0
    slow_start: SlowStart = field(default_factory=lambda: SlowStart(cold=False))
    cold_start_limiter: ColdStartLimiter | None = None
    rate_limiter: RateLimiter | None = None
    slowness: float = 1.0
    slowness_at: float = 0.0

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return len(self.permits)

    def can_accept(self, request_class: RequestClass, now: float) -> bool:
        """Returns whether the server may be sent a request of this class now."""
        in_progress = len(self.permits)
        if in_progress >= self.slots or self.leaving or now < self.paused_until:
            return False
        if in_progress >= self.slow_start.limit(self.slots, now):
            return False
        if self.cold_start_limiter is not None and not self.cold_start_limiter.allows(now):
            return False
        if self.rate_limiter is not None and not self.rate_limiter.allows(now):
            return False
        if request_class is RequestClass.SHORT:
            return True
        held = sum(1 for item in self.permits.values() if item.request_class is RequestClass.LONG)
        return held < self.long_slots

    def is_in_service(self, now: float) -> bool:
        """Returns whether the server is neither leaving nor draining; a backoff is ignored."""
        return not self.leaving and self.paused_until <= now + MAX_BACKOFF_S

    def is_prompt(self, now: float) -> bool:
        """Returns whether the server is not paused and none of its requests is overdue."""
        return not self.overdue and now >= self.paused_until

    def record_run_time(self, elapsed_s: float) -> None:
        """Adds a run time to the moving average."""
        if self.run_time_s == 0.0:
            self.run_time_s = elapsed_s
        self.run_time_s += RUN_TIME_WEIGHT * (elapsed_s - self.run_time_s)

    def start(self, permit: str, request_class: RequestClass, now: float) -> None:
        """Records that a request is sent to the server."""
        self.permits[permit] = RunningRequest(request_class, now)
        self.times_selected += 1
        if self.cold_start_limiter is not None:
            self.cold_start_limiter.record(now)

    @property
    def limit_per_s(self) -> float:
        """Requests per second that the server accepts, infinite if it names no limit."""
        return self.rate_limiter.per_s if self.rate_limiter else math.inf

    def limit_rate(self, per_s: float, now: float, *, share_phase: float | None = None) -> None:
        """Sets how many requests per second the server accepts, infinite for no limit.

        Args:
            per_s: Requests per second.
            now: Time, in seconds.
            share_phase: For one VM's share of the server's limit, the fraction of a request that
                the share starts with.
        """
        if per_s == math.inf:
            self.rate_limiter = None
        elif self.rate_limiter is None:
            self.rate_limiter = RateLimiter(per_s, now, share_phase=share_phase)
        else:
            self.rate_limiter.per_s = per_s

    def count_effective_slots(self, run_s: float) -> float:
        """Returns how many requests of a run time the server can run at once."""
        slots = min(self.slots, self.slow_start.current_limit or self.slots)
        if self.rate_limiter is None or not run_s:
            return slots
        return min(slots, self.rate_limiter.usable_per_s * run_s)

    def record_grant(self, now: float) -> None:
        """Counts a granted request against the limit of the server.

        Requests without a grant are not counted: their VMs do not know of the limit yet.
        """
        if self.rate_limiter is not None:
            self.rate_limiter.record(now)

    def record_slowness(self, slowness: float, now: float) -> None:
        """Records a reported ratio of the run time to the usual one; 0 means no report."""
        if slowness > 0.0:
            self.slowness = slowness
            self.slowness_at = now

    def get_slowness(self, now: float) -> float:
        """Returns the last reported slowness, or 1 if the report has expired."""
        return self.slowness if now - self.slowness_at <= SLOWNESS_TTL_S else 1.0

    def count_overdue(self, now: float, limit_s: float) -> None:
        """Updates the number of short requests that have run for longer than the limit."""
        self.overdue = 0
        # Permits are in order of their start.
        for request in self.permits.values():
            if now - request.started_at <= limit_s:
                break
            self.overdue += request.request_class is RequestClass.SHORT

    def record_refusal(self, now: float) -> None:
        """Records a refusal, and backs off after several refusals in a row."""
        self.refusals += 1
        if self.refusals >= REFUSALS_BEFORE_BACKOFF:
            self.back_off(now)

    def back_off(self, now: float) -> None:
        """Sends no new requests for a while after the server refused or failed a request."""
        if now < self.paused_until:
            return
        self.paused_until = now + self.next_backoff_s
        self.next_backoff_s = min(MAX_BACKOFF_S, 2 * self.next_backoff_s)

    def drain(self, now: float) -> None:
        """Sends no new requests because the server has announced that it is draining."""
        self.paused_until = now + DRAIN_PAUSE_S

    def reset_backoff(self) -> None:
        """Resets the backoff and the count of refusals after a request has succeeded."""
        self.next_backoff_s = INITIAL_BACKOFF_S
        self.refusals = 0
