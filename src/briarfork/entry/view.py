"""The view of an entry process: configuration, members and servers."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.membership import MemberState
from briarfork.membership import rank_members
from briarfork.pools import ServerAddress
from briarfork.steering import EntryAddress
from briarfork.steering import EntryDirectory
from briarfork.steering import Steering
from briarfork.steering import build_shifts
from briarfork.steering import find_group
from briarfork.timeline import Timeline

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.events import EventLog
    from briarfork.border.messages import ListedVm
    from briarfork.border.settings import Settings
    from briarfork.configuration import Plan
    from briarfork.configuration import SiteCapacity
    from briarfork.membership import Member
    from briarfork.timeline import Change

BACKEND_ROLE = "backend"
LIVE_STATE = "live"


class EntryView:
    """Copy of the state that the control process sends; it stays in use without that process."""

    def __init__(self, settings: Settings, events: EventLog) -> None:
        self.settings = settings
        self.timeline = Timeline()
        self.members: dict[str, Member] = {}
        self.listed_vms: list[ListedVm] = []
        self._servers: dict[tuple[str, str], list[ServerAddress]] = {}
        self._owners: dict[tuple[str, str], Member | None] = {}
        self._events = events
        self._steering: Steering | None = None
        self._next_start = math.inf
        self._directory: EntryDirectory | None = None

    def accept_changes(self, changes: Iterable[Change]) -> None:
        """Adds changes to the timeline and renders the configuration in force now."""
        for change in changes:
            self.timeline.append(change)
        self._render(time.time())

    def accept_members(self, members: Iterable[Member]) -> None:
        """Replaces the members."""
        self.members = {member.vm: member for member in members}
        self._owners.clear()
        self._directory = None

    def accept_vm_list(self, listed_vms: list[ListedVm]) -> None:
        """Replaces the platform's list of VMs."""
        self.listed_vms = listed_vms
        self._servers = {}
        for vm in listed_vms:
            # A VM of an earlier version passes on entries without a port.
            if vm.role == BACKEND_ROLE and vm.state == LIVE_STATE and "http" in vm.ports:
                address = ServerAddress(vm.vm, vm.address, vm.ports["http"])
                self._servers.setdefault((vm.service, vm.site), []).append(address)

    def require_steering(self) -> Steering:
        """Returns the steering in force now.

        Raises:
            NotRun: If this VM has no configuration.
        """
        wall_now = time.time()
        if wall_now >= self._next_start:
            self._render(wall_now)
        if self._steering is None:
            raise NotRun(ErrorKind.NO_CONFIGURATION, "this VM has no configuration yet")
        return self._steering

    def order_entries(self, site: str, client: str) -> tuple[EntryAddress, ...]:
        """Returns the entry VMs for a client of a site, in order of preference."""
        plan = self.require_steering().plan
        if self._directory is None:
            entries = [
                EntryAddress(member.vm, member.address, member.ports["entry"], member.zone)
                for member in self.members.values()
                if member.state is MemberState.LIVE and member.serving
            ]
            self._directory = EntryDirectory(entries, plan.regions)
        return self._directory.rank_entries(plan.sites[site].zone, find_group(client))

    def list_servers(self, service: str, site: str) -> list[ServerAddress]:
        """Returns the backend servers of a service at a site that the platform lists as live."""
        return list(self._servers.get((service, site), ()))

    def find_limit(self, vm: str) -> float:
        """Returns infinity: servers of the product's own interface name no limit on requests."""
        return math.inf

    def find_recent_limit(self, vm: str) -> float:
        """Returns infinity, as `find_limit` does."""
        return math.inf

    def list_zone_entries(self, zone: str) -> list[Member]:
        """Returns the entry VMs of a zone that can own slots."""
        return [
            member
            for member in self.members.values()
            if member.zone == zone and member.state is MemberState.LIVE and member.serving
        ]

    def list_capacities(self) -> list[tuple[tuple[str, str], SiteCapacity, bool]]:
        """Returns service and site, capacity of a server, and whether both classes are served."""
        return [
            ((service.name, site), capacity, service.is_mixed)
            for service in self.require_steering().plan.services.values()
            for site, capacity in service.capacity.items()
        ]

    def find_capacity(self, key: tuple[str, str]) -> tuple[SiteCapacity, bool]:
        """Returns the capacity of a server at a site, and whether both classes are served."""
        service = self.require_steering().plan.services[key[0]]
        return service.capacity[key[1]], service.is_mixed

    def find_zone(self, site: str) -> str:
        """Returns the availability zone of a site."""
        return self.require_steering().plan.sites[site].zone

    def find_owner(self, service: str, site: str) -> Member | None:
        """Returns the entry VM that owns the slots of a service at a site.

        The owner is in the zone of the site, or in its region if no VM of the zone is serving.
        """
        plan = self.require_steering().plan
        if (service, site) not in self._owners:
            self._owners[service, site] = self._choose_owner(plan, service, site)
        return self._owners[service, site]

    def _choose_owner(self, plan: Plan, service: str, site: str) -> Member | None:
        zone = plan.sites[site].zone
        region = plan.find_region(zone)
        candidates = self.list_zone_entries(zone)
        if not candidates:
            zones = plan.regions.get(region or "", ())
            candidates = [member for name in zones for member in self.list_zone_entries(name)]
        ranked = rank_members(f"{service}|{site}", candidates)
        return ranked[0] if ranked else None

    def _render(self, wall_now: float) -> None:
        self._next_start = self.timeline.find_next_start(wall_now) or math.inf
        if self.timeline.generation == 0:
            return
        try:
            current = self._steering.plan if self._steering else None
            plan = self.timeline.find_documents(wall_now).render(current)
        except BriarforkError as error:
            self._events.record(Event.CONFIGURATION_UNUSABLE, fault=error.detail)
            return
        shifts = build_shifts(self.timeline, wall_now)
        self._owners.clear()
        self._directory = None
        self._steering = Steering(plan, shifts, time.monotonic(), self._steering)
        self._events.record(
            Event.CONFIGURATION_IN_FORCE, generation=self.timeline.generation, at=f"{wall_now:.3f}"
        )
