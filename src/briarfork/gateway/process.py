"""The parts of a gateway that know no platform, and their tasks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from briarfork.border.streams import serve
from briarfork.entry.connections import ServerConnections
from briarfork.entry.slots import SlotManager
from briarfork.gateway.permits import GatewayPermits

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.gateway.view import GatewayView
    from briarfork.membership import Member
    from briarfork.routing import RouteTable


class Gateway:
    """Holds the view, the slots that this VM owns and the permits that it uses."""

    def __init__(self, view: GatewayView, events: EventLog) -> None:
        self.settings = view.settings
        self.events = events
        self.leaving = False
        self.view = view
        self.slots = SlotManager(view.settings, events, view, slow_start=False)
        self.permits = GatewayPermits(self.view, self.slots)
        self.connections = ServerConnections(view.settings)

    @property
    def is_ready(self) -> bool:
        """Whether this VM takes new callers."""
        return self.view.has_table and not self.leaving

    def accept_table(self, table: RouteTable) -> None:
        """Puts a configuration in force unless it is older than the present one."""
        if self.view.accept_table(table):
            self.refresh()

    def accept_members(self, members: dict[str, Member]) -> None:
        """Replaces the entry VMs that are registered."""
        self.view.accept_members(dict(members))

    def evacuate(self, zones: set[str]) -> None:
        """Sets the zones whose servers get nothing."""
        cold_s = 0.0
        if self.view.has_table:
            services = self.view.require_table().services.values()
            cold_s = max((service.cold_s for service in services), default=0.0)
        self.view.inventory.evacuate(zones, cold_s, time.monotonic())

    def refresh(self) -> None:
        """Applies a change of the view to the slots."""
        if not self.view.has_table:
            return
        self.slots.refresh()
        self.permits.refresh()
        self._refresh_cold()

    async def run(self) -> None:
        """Runs the tasks of slots, permits and connections until cancelled."""
        permits = await serve(self.settings.address, self.settings.ports.permits, self.slots.serve)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.slots.poll())
                group.create_task(self.permits.maintain_links())
                group.create_task(self.connections.run())
        finally:
            permits.close()

    def _refresh_cold(self) -> None:
        now = time.monotonic()
        services = self.view.require_table().services
        for key, _, _ in self.view.list_capacities():
            queue = self.slots.find_queue(key)
            if queue is None:
                continue
            for instance in self.view.inventory.list_usable(*key):
                until = self.view.inventory.find_cold_until(instance)
                if until > now:
                    queue.set_cold(instance.name, until, services[key[0]].cold_per_s)
