"""Headroom of sites: how many requests a VM may send to sites other than the assigned one."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from briarfork.steering.assignment import hash_unit

if TYPE_CHECKING:
    from collections.abc import Container

# The weight of a report falls linearly to 0 at this age. Reports are sent every second and may be
# relayed by several VMs.
REPORT_TTL_S: Final = 5.0
# Fraction of the slots that is reserved for the site's own traffic.
RESERVED_RATIO: Final = 0.2
# Fraction of a link's capacity that requests sent to other regions may use.
LINK_SHARE_RATIO: Final = 0.5
# Unused link capacity cannot be saved up; this only allows for uneven arrival.
LINK_BURST_S: Final = 0.25
# Time for which nothing is sent to a site after it refused a request, because its reports are
# late or wrong.
REFUSAL_PAUSE_S: Final = 1.0
BITS_PER_GBIT: Final = 1e9
BITS_PER_BYTE: Final = 8.0

SiteKey = tuple[str, str]
RegionPair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """A load report for a service at a site.

    Attributes:
        in_progress: Number of running requests.
        slots: Number of requests that may run at the same time.
        waiting: Number of queued requests.
        measured_at: Monotonic time of the measurement, in seconds.
    """

    in_progress: int
    slots: int
    waiting: int
    measured_at: float


@dataclass(slots=True)
class TokenBucket:
    """A token bucket with a variable refill rate; a token is one request or one byte.

    Attributes:
        tokens: Number of available tokens. A bucket for slots starts below 0 by an amount that
            differs by VM, so that VMs that see the same idle site do not all use it at once.
        updated_at: Monotonic time of the last refill, in seconds.
        paused_until: Monotonic time before which no request is admitted, in seconds.
    """

    tokens: float
    updated_at: float
    paused_until: float = -math.inf

    def refill(self, rate: float, burst_s: float, min_capacity: float, now: float) -> None:
        """Adds the tokens for the time since the last call, up to one burst.

        Slots that were free in the past cannot be used later, so idle time beyond the burst adds
        nothing.

        Args:
            rate: Tokens per second.
            burst_s: Longest time for which tokens accumulate, in seconds.
            min_capacity: Lower bound of the capacity, in tokens.
            now: Monotonic time in seconds.
        """
        added = rate * min(burst_s, max(0.0, now - self.updated_at))
        capacity = max(min_capacity, rate * burst_s)
        self.tokens = max(self.tokens, min(capacity, self.tokens + added))
        self.updated_at = max(self.updated_at, now)


class Headroom:
    """This VM's quota of the free slots at other sites and of the links to them.

    Each VM uses an equal quota of the reported capacity, so the sum over all VMs stays within the
    headroom without coordination. A quota is often less than one slot, so it is accounted in slot
    seconds: each request costs the mean run time of the service.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._reports: dict[SiteKey, SiteLoad] = {}
        self._slot_buckets: dict[SiteKey, TokenBucket] = {}
        self._link_buckets: dict[RegionPair, TokenBucket] = {}

    def accept(self, key: SiteKey, load: SiteLoad) -> None:
        """Stores a report unless it is invalid or a newer one is known."""
        known = self._reports.get(key)
        if not math.isfinite(load.measured_at) or min(load.in_progress, load.waiting) < 0:
            return
        if known is None or load.measured_at > known.measured_at:
            self._reports[key] = load

    def compute_free_slots(
        self, key: SiteKey, listed_slots: int, outstanding: int, now: float
    ) -> float:
        """Returns the number of slots that overflow requests of all VMs may use.

        Args:
            key: Service and site.
            listed_slots: Slots of the backend servers that the platform lists; an upper bound in
                case a report is wrong.
            outstanding: Requests from this VM in progress at the site.
            now: Monotonic time in seconds.
        """
        load = self._reports.get(key)
        if load is None:
            return 0.0
        weight = 1.0 - max(0.0, now - load.measured_at) / REPORT_TTL_S
        usable = (1.0 - RESERVED_RATIO) * min(load.slots, listed_slots)
        used = max(load.in_progress + load.waiting, outstanding)
        return max(0.0, weight) * max(0.0, usable - used)

    def has_recent_report(self, sites: Container[str], now: float) -> bool:
        """Returns whether an unexpired report of one of the sites is known."""
        return any(
            key[1] in sites and now - load.measured_at < REPORT_TTL_S
            for key, load in self._reports.items()
        )

    def admit(
        self,
        key: SiteKey,
        free: float,
        outstanding: int,
        sharing_vms: int,
        run_time_s: float,
        now: float,
    ) -> bool:
        """Returns whether one request may be sent to a site, and counts it if so.

        Args:
            key: Service and site.
            free: Free slots over all VMs, from `compute_free_slots`.
            outstanding: Requests from this VM in progress at the site.
            sharing_vms: Number of VMs that may use the free slots at the same time.
            run_time_s: Mean run time of the service in seconds.
            now: Monotonic time in seconds.
        """
        quota = free / sharing_vms
        bucket = self._get_slot_bucket(key, now)
        bucket.refill(quota / run_time_s, run_time_s, 1.0, now)
        if bucket.tokens < 1.0 or now < bucket.paused_until or outstanding >= max(1.0, quota):
            return False
        bucket.tokens -= 1.0
        return True

    def admit_bytes(
        self, regions: RegionPair, gbit_s: float, size: int, entry_vms: int, now: float
    ) -> bool:
        """Returns whether an answer fits this VM's quota of a link, and counts it if so.

        Args:
            regions: The two regions that the link connects.
            gbit_s: Capacity of the link in Gbit/s.
            size: Expected size of the answer in bytes.
            entry_vms: Upper bound on the number of entry VMs.
            now: Monotonic time in seconds.
        """
        rate = LINK_SHARE_RATIO * gbit_s * BITS_PER_GBIT / BITS_PER_BYTE / entry_vms
        bucket = self._link_buckets.get(regions)
        if bucket is None:
            bucket = self._link_buckets[regions] = TokenBucket(0.0, now)
        bucket.refill(rate, LINK_BURST_S, float(size), now)
        if bucket.tokens < size:
            return False
        bucket.tokens -= size
        return True

    def record_refusal(self, key: SiteKey, now: float) -> None:
        """Pauses requests to a site after it refused one, for `REFUSAL_PAUSE_S`."""
        self._get_slot_bucket(key, now).paused_until = now + REFUSAL_PAUSE_S

    def _get_slot_bucket(self, key: SiteKey, now: float) -> TokenBucket:
        bucket = self._slot_buckets.get(key)
        if bucket is None:
            initial_debt = hash_unit(f"{self._vm}|{key[0]}|{key[1]}")
            bucket = self._slot_buckets[key] = TokenBucket(-initial_debt, now)
        return bucket
