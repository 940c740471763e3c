"""Headroom of sites: what a VM may send to sites other than the assigned one."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from briarfork.steering.assignment import hash_unit

if TYPE_CHECKING:
    from collections.abc import Container

# A report counts less the older it is, and not at all from this age on. Reports are sent every
# second and may pass a few VMs on the way.
REPORT_LIFETIME_S: Final = 5.0
# Part of the slots that stays free for the site's own traffic.
RESERVED_RATIO: Final = 0.2
# Part of a link that requests sent to other regions may use.
LINK_RATIO: Final = 0.5
# Capacity of a link that was not used cannot be stored; this allows for uneven arrival.
LINK_BURST_S: Final = 0.25
# A site that refused gets nothing from this VM for this time: its reports lag or mislead.
REFUSAL_PAUSE_S: Final = 1.0
BITS_PER_GBIT: Final = 1e9
BITS_PER_BYTE: Final = 8.0

SiteKey = tuple[str, str]
RegionPair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """A report of the slots of a service at a site.

    Attributes:
        in_progress: Requests that run.
        slots: Requests that may run at the same time.
        waiting: Requests in the queue.
        measured_at: Monotonic time of the measurement.
    """

    in_progress: int
    slots: int
    waiting: int
    measured_at: float


@dataclass(slots=True)
class Credit:
    """Requests, or bytes, that may be sent now; grows at a rate that may change.

    Attributes:
        level: What may be sent. It begins below 0, at a point that differs by VM, so that many
            VMs that see the same idle site do not choose it at the same moment.
        updated_at: Time up to which the level is worked out.
    """

    level: float
    updated_at: float
    paused_until: float = -math.inf

    def grow(self, rate: float, burst_s: float, smallest: float, now: float) -> None:
        """Adds what has been earned since the last call, at most that of one burst.

        Free slots of the past cannot be used later, so time in which nobody asked earns nothing
        beyond the burst.
        """
        earned = rate * min(burst_s, max(0.0, now - self.updated_at))
        limit = max(smallest, rate * burst_s)
        self.level = max(self.level, min(limit, self.level + earned))
        self.updated_at = max(self.updated_at, now)


class Headroom:
    """This VM's part of the free slots of other sites and of the links to them.

    Each VM uses an equal part, an `entry_vms`-th, of what is reported, so the sum over all VMs
    stays within the headroom without coordination. A part is often less than one slot, so it is
    counted in slot seconds: each request costs the mean run time of the service.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._loads: dict[SiteKey, SiteLoad] = {}
        self._credits: dict[SiteKey, Credit] = {}
        self._links: dict[RegionPair, Credit] = {}

    def accept(self, key: SiteKey, load: SiteLoad) -> None:
        """Takes a report unless a newer one is known or it makes no sense."""
        known = self._loads.get(key)
        if not math.isfinite(load.measured_at) or min(load.in_progress, load.waiting) < 0:
            return
        if known is None or load.measured_at > known.measured_at:
            self._loads[key] = load

    def find_free(self, key: SiteKey, known_slots: int, outstanding: int, now: float) -> float:
        """Returns the slots that are free for requests from elsewhere, over all VMs.

        Args:
            key: Service and site.
            known_slots: Slots of the servers that the platform lists; bounds a false report.
            outstanding: Requests that this VM itself has in progress there.
            now: Monotonic time.
        """
        load = self._loads.get(key)
        if load is None:
            return 0.0
        weight = 1.0 - max(0.0, now - load.measured_at) / REPORT_LIFETIME_S
        usable = (1.0 - RESERVED_RATIO) * min(load.slots, known_slots)
        used = max(load.in_progress + load.waiting, outstanding)
        return max(0.0, weight) * max(0.0, usable - used)

    def has_report(self, sites: Container[str], now: float) -> bool:
        """Returns whether a report of one of the sites still counts."""
        return any(
            key[1] in sites and now - load.measured_at < REPORT_LIFETIME_S
            for key, load in self._loads.items()
        )

    def admit(
        self,
        key: SiteKey,
        free: float,
        outstanding: int,
        sharers: int,
        run_time_s: float,
        now: float,
    ) -> bool:
        """Returns whether one request may go to a site, and counts it if so.

        Args:
            key: Service and site.
            free: Slots that are free over all VMs.
            outstanding: Requests that this VM itself has in progress there.
            sharers: Number of VMs that may use the free slots at the same time.
            run_time_s: Mean run time of the service.
            now: Monotonic time.
        """
        part = free / sharers
        credit = self._find_credit(key, now)
        credit.grow(part / run_time_s, run_time_s, 1.0, now)
        if credit.level < 1.0 or now < credit.paused_until or outstanding >= max(1.0, part):
            return False
        credit.level -= 1.0
        return True

    def admit_bytes(
        self, regions: RegionPair, gbit_s: float, size: int, entry_vms: int, now: float
    ) -> bool:
        """Returns whether an answer fits this VM's part of a link, and counts it if so."""
        rate = LINK_RATIO * gbit_s * BITS_PER_GBIT / BITS_PER_BYTE / entry_vms
        credit = self._links.get(regions)
        if credit is None:
            credit = self._links[regions] = Credit(0.0, now)
        credit.grow(rate, LINK_BURST_S, float(size), now)
        if credit.level < size:
            return False
        credit.level -= size
        return True

    def record_refusal(self, key: SiteKey, now: float) -> None:
        """Sends nothing to a site for a while after it refused a request."""
        self._find_credit(key, now).paused_until = now + REFUSAL_PAUSE_S

    def _find_credit(self, key: SiteKey, now: float) -> Credit:
        credit = self._credits.get(key)
        if credit is None:
            phase = hash_unit(f"{self._vm}|{key[0]}|{key[1]}")
            credit = self._credits[key] = Credit(-phase, now)
        return credit
