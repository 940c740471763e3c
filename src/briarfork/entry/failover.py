"""Sends requests to sites other than the assigned one, within headroom."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from briarfork.border.messages import REGION_PREFIX
from briarfork.errors import NotRun
from briarfork.requests import Deadline
from briarfork.steering import Headroom
from briarfork.steering import SiteLoad
from briarfork.steering import choose_site
from briarfork.steering import find_group

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.messages import Load
    from briarfork.configuration import Plan
    from briarfork.configuration import Service
    from briarfork.entry.delivery import Call
    from briarfork.entry.overflow import Permit
    from briarfork.entry.permits import PermitClient
    from briarfork.entry.view import EntryView

# Wait for a free slot elsewhere, on top of the round trip; headroom means that one is free now.
FAILOVER_WAIT_S = 0.03
# Assumed before the first measurement; long, so that little is sent.
INITIAL_RUN_TIME_S = 1.0
SHORTEST_RUN_TIME_S = 0.001
# A request that sites refuse again and again would be refused too late.
MAX_SITES = 2
MILLISECONDS = 1000.0


class Failover:
    """Finds sites with headroom for requests whose assigned site cannot take them."""

    def __init__(self, view: EntryView, permits: PermitClient) -> None:
        self._view = view
        self._permits = permits
        self._headroom = Headroom(view.settings.vm)

    def accept_load(self, loads: Iterable[Load]) -> None:
        """Takes the loads that owners of slots have reported."""
        now = time.monotonic()
        for load in loads:
            if not math.isfinite(load.age_s):
                continue
            measured_at = min(now, now - load.age_s)
            report = SiteLoad(load.in_progress, load.slots, load.waiting, measured_at)
            self._headroom.accept((load.service, load.site), report)

    def choose_for_lookup(self, service: str, lost: str, client: str) -> str | None:
        """Returns a site for the clients of a lost one, in proportion to headroom, or None."""
        plan = self._view.require_steering().plan
        group = f"{service}|{find_group(client)}"
        for sites in self._list_by_distance(plan, plan.services[service], lost):
            free = {site: self._find_free(plan, service, site) for site in sites}
            if any(slots > 0 for slots in free.values()):
                return choose_site(free, group)
        return None

    async def acquire(
        self, call: Call, service: Service, client: str, avoid: frozenset[str], refused: str
    ) -> Permit | None:
        """Returns a permit of a site with headroom, or None.

        Sites of the same region as the one that refused come first, then those of others.
        """
        steering = self._view.require_steering()
        plan = steering.plan
        tried = 0
        for sites in self._list_by_distance(plan, service, refused):
            free = {site: self._find_free(plan, service.name, site) for site in sites}
            for site in sorted(free, key=lambda name: -free[name]):
                if not self._admit(plan, service, site, free[site]):
                    continue
                wall_now, now = time.time(), time.monotonic()
                if not steering.admit_overflow(service.name, client, site, wall_now, now):
                    continue
                permit = await self._ask(plan, call, service, avoid, site)
                tried += 1
                if permit is not None or tried == MAX_SITES:
                    return permit
        return None

    async def _ask(
        self, plan: Plan, call: Call, service: Service, avoid: frozenset[str], site: str
    ) -> Permit | None:
        now = time.monotonic()
        link = plan.find_link(*self._find_regions(plan, site))
        wait_s = FAILOVER_WAIT_S + (link.latency_ms / MILLISECONDS if link else 0.0)
        deadline = Deadline(min(call.deadline.expires_at, now + wait_s))
        request_class = service.find_route(call.path).request_class
        try:
            return await self._permits.acquire(service.name, site, request_class, deadline, avoid)
        except NotRun:
            self._headroom.record_refusal((service.name, site), time.monotonic())
            return None

    def _admit(self, plan: Plan, service: Service, site: str, free: float) -> bool:
        if free <= 0:
            return False
        now = time.monotonic()
        key = (service.name, site)
        run_time_s = self._permits.run_times.get(service.name, INITIAL_RUN_TIME_S)
        run_time_s = max(SHORTEST_RUN_TIME_S, run_time_s)
        outstanding = self._permits.count_held(*key)
        sharers = self._count_sharers(plan, site, now)
        if not self._headroom.admit(key, free, outstanding, sharers, run_time_s, now):
            return False
        own, other = self._find_regions(plan, site)
        if own == other:
            return True
        link = plan.find_link(own, other)
        return link is not None and self._headroom.admit_bytes(
            (other, own), link.gbit_s, service.answer_bytes, plan.entry_vms, now
        )

    def _count_sharers(self, plan: Plan, site: str, now: float) -> int:
        """Returns how many VMs may use the free slots of a site.

        While nothing is heard from outside the zone, the zone is cut off and only its own VMs can
        reach its sites.
        """
        zone = self._view.settings.zone
        outside = {name for name, item in plan.sites.items() if item.zone != zone}
        own = plan.find_region(zone)
        outside |= {f"{REGION_PREFIX}{region}" for region in plan.regions if region != own}
        if plan.sites[site].zone != zone or self._headroom.has_recent_report(outside, now):
            return plan.entry_vms
        mates = sum(member.zone == zone for member in self._view.members.values())
        return max(1, min(plan.entry_vms, mates))

    def _find_free(self, plan: Plan, service: str, site: str) -> float:
        if self._view.find_owner(service, site) is None:
            return 0.0
        own, other = self._find_regions(plan, site)
        if own == other:
            return self._find_free_at(plan, service, [site], site)
        # Of other regions only a summary is known; each site has the part that its slots make up.
        sites = [name for name in plan.sites if self._find_regions(plan, name)[1] == other]
        slots = {name: self._count_slots(plan, service, name) for name in sites}
        free = self._find_free_at(plan, service, sites, f"{REGION_PREFIX}{other}")
        return free * slots[site] / max(1, sum(slots.values()))

    def _find_free_at(self, plan: Plan, service: str, sites: list[str], report: str) -> float:
        slots = sum(self._count_slots(plan, service, site) for site in sites)
        outstanding = sum(self._permits.count_held(service, site) for site in sites)
        return self._headroom.compute_free_slots(
            (service, report), slots, outstanding, time.monotonic()
        )

    def _count_slots(self, plan: Plan, service: str, site: str) -> int:
        """Returns the slots of the servers that the platform lists."""
        capacity = plan.services[service].capacity.get(site)
        servers = len(self._view.list_servers(service, site))
        return servers * capacity.slots if capacity else 0

    def _find_regions(self, plan: Plan, site: str) -> tuple[str, str]:
        """Returns the region of this VM and that of a site."""
        own = plan.find_region(self._view.settings.zone)
        return own or "", plan.find_region(plan.sites[site].zone) or ""

    def _list_by_distance(
        self, plan: Plan, service: Service, refused: str
    ) -> tuple[list[str], list[str]]:
        """Returns the other sites of the service: those of the same region, then the rest."""
        spreads = (service.spread, *service.regional_spread.values())
        sites = {site for spread in spreads for site, weight in spread.items() if weight > 0}
        region = plan.find_region(plan.sites[refused].zone)
        near: list[str] = []
        far: list[str] = []
        for site in sorted(sites - {refused}):
            if plan.sites[site].drain:
                continue
            same = plan.find_region(plan.sites[site].zone) == region
            (near if same else far).append(site)
        return near, far
