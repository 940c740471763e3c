"""Failover to sites other than the assigned one, within their headroom."""

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

# Longest wait for a slot at another site, on top of the round trip. It is short because headroom
# means that a slot is free now.
FAILOVER_WAIT_S = 0.03
# Run time assumed before the first measurement. A high value admits few requests.
INITIAL_RUN_TIME_S = 1.0
MIN_RUN_TIME_S = 0.001
# More attempts would delay the refusal of a request that no site accepts.
MAX_SITES_TRIED = 2
MS_PER_S = 1000.0


class Failover:
    """Finds sites with headroom for requests that their assigned site cannot serve."""

    def __init__(self, view: EntryView, permits: PermitClient) -> None:
        self._view = view
        self._permits = permits
        self._headroom = Headroom(view.settings.vm)

    def accept_load(self, loads: Iterable[Load]) -> None:
        """Updates the headroom of sites from the loads that owners of slots have reported."""
        now = time.monotonic()
        for load in loads:
            if not math.isfinite(load.age_s):
                continue
            measured_at = min(now, now - load.age_s)
            report = SiteLoad(load.in_progress, load.slots, load.waiting, measured_at)
            self._headroom.accept((load.service, load.site), report)

    def choose_for_lookup(self, service: str, lost_site: str, client: str) -> str | None:
        """Returns a site for a client of a lost site, or None if no site has free slots.

        The clients are spread over sites in proportion to their free slots.
        """
        plan = self._view.require_steering().plan
        group = f"{service}|{find_group(client)}"
        for sites in self._list_by_distance(plan, plan.services[service], lost_site):
            free_slots = {site: self._estimate_free_slots(plan, service, site) for site in sites}
            if any(slots > 0 for slots in free_slots.values()):
                return choose_site(free_slots, group)
        return None

    async def acquire(
        self, call: Call, service: Service, client: str, avoid: frozenset[str], refusing_site: str
    ) -> Permit | None:
        """Returns a permit of a site with headroom, or None.

        Sites in the region of the refusing site come first, then those of other regions.
        """
        steering = self._view.require_steering()
        plan = steering.plan
        attempts = 0
        for sites in self._list_by_distance(plan, service, refusing_site):
            free_slots = {
                site: self._estimate_free_slots(plan, service.name, site) for site in sites
            }
            for site in sorted(free_slots, key=lambda name: -free_slots[name]):
                if not self._admit(plan, service, site, free_slots[site]):
                    continue
                wall_now, now = time.time(), time.monotonic()
                if not steering.admit_overflow(service.name, client, site, wall_now, now):
                    continue
                permit = await self._request_permit(plan, call, service, avoid, site)
                attempts += 1
                if permit is not None or attempts == MAX_SITES_TRIED:
                    return permit
        return None

    async def _request_permit(
        self, plan: Plan, call: Call, service: Service, avoid: frozenset[str], site: str
    ) -> Permit | None:
        now = time.monotonic()
        link = plan.find_link(*self._find_own_and_site_region(plan, site))
        wait_s = FAILOVER_WAIT_S + (link.latency_ms / MS_PER_S if link else 0.0)
        deadline = Deadline(min(call.deadline.expires_at, now + wait_s))
        request_class = service.find_route(call.path).request_class
        try:
            return await self._permits.acquire(service.name, site, request_class, deadline, avoid)
        except NotRun:
            self._headroom.record_refusal((service.name, site), time.monotonic())
            return None

    def _admit(self, plan: Plan, service: Service, site: str, free_slots: float) -> bool:
        if free_slots <= 0:
            return False
        now = time.monotonic()
        key = (service.name, site)
        run_time_s = self._permits.mean_run_times_s.get(service.name, INITIAL_RUN_TIME_S)
        run_time_s = max(MIN_RUN_TIME_S, run_time_s)
        outstanding = self._permits.count_held(*key)
        sharers = self._count_sharing_vms(plan, site, now)
        if not self._headroom.admit(key, free_slots, outstanding, sharers, run_time_s, now):
            return False
        own_region, site_region = self._find_own_and_site_region(plan, site)
        if own_region == site_region:
            return True
        link = plan.find_link(own_region, site_region)
        return link is not None and self._headroom.admit_bytes(
            (site_region, own_region), link.gbit_s, service.answer_bytes, plan.entry_vms, now
        )

    def _count_sharing_vms(self, plan: Plan, site: str, now: float) -> int:
        """Returns the number of VMs that may use the free slots of a site.

        Without any recent load report from outside the zone, the zone counts as partitioned from
        the others, and only its own VMs can reach its sites.
        """
        zone = self._view.settings.zone
        outside = {name for name, item in plan.sites.items() if item.zone != zone}
        own_region = plan.find_region(zone)
        outside |= {f"{REGION_PREFIX}{region}" for region in plan.regions if region != own_region}
        if plan.sites[site].zone != zone or self._headroom.has_recent_report(outside, now):
            return plan.entry_vms
        zone_vms = sum(member.zone == zone for member in self._view.members.values())
        return max(1, min(plan.entry_vms, zone_vms))

    def _estimate_free_slots(self, plan: Plan, service: str, site: str) -> float:
        if self._view.find_owner(service, site) is None:
            return 0.0
        own_region, site_region = self._find_own_and_site_region(plan, site)
        if own_region == site_region:
            return self._estimate_free_slots_of(plan, service, [site], site)
        # Only a summary is known of other regions. Its free slots are split over the sites in
        # proportion to their slots.
        sites = [
            name
            for name in plan.sites
            if self._find_own_and_site_region(plan, name)[1] == site_region
        ]
        slots = {name: self._count_slots(plan, service, name) for name in sites}
        free_slots = self._estimate_free_slots_of(
            plan, service, sites, f"{REGION_PREFIX}{site_region}"
        )
        return free_slots * slots[site] / max(1, sum(slots.values()))

    def _estimate_free_slots_of(
        self, plan: Plan, service: str, sites: list[str], report: str
    ) -> float:
        slots = sum(self._count_slots(plan, service, site) for site in sites)
        outstanding = sum(self._permits.count_held(service, site) for site in sites)
        return self._headroom.compute_free_slots(
            (service, report), slots, outstanding, time.monotonic()
        )

    def _count_slots(self, plan: Plan, service: str, site: str) -> int:
        """Returns the total slots of the servers that the platform lists."""
        capacity = plan.services[service].capacity.get(site)
        servers = len(self._view.list_servers(service, site))
        return servers * capacity.slots if capacity else 0

    def _find_own_and_site_region(self, plan: Plan, site: str) -> tuple[str, str]:
        """Returns the region of this VM and the region of a site."""
        own_region = plan.find_region(self._view.settings.zone)
        return own_region or "", plan.find_region(plan.sites[site].zone) or ""

    def _list_by_distance(
        self, plan: Plan, service: Service, excluded_site: str
    ) -> tuple[list[str], list[str]]:
        """Returns the other sites of a service: those in the same region, and the rest."""
        spreads = (service.spread, *service.regional_spread.values())
        sites = {site for spread in spreads for site, weight in spread.items() if weight > 0}
        region = plan.find_region(plan.sites[excluded_site].zone)
        near: list[str] = []
        far: list[str] = []
        for site in sorted(sites - {excluded_site}):
            if plan.sites[site].drain:
                continue
            is_near = plan.find_region(plan.sites[site].zone) == region
            (near if is_near else far).append(site)
        return near, far
