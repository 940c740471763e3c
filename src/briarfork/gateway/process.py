"""The platform-independent parts of a gateway and their tasks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.memory import read_memory
from briarfork.border.process_age import read_process_age
from briarfork.border.stream_memory import StreamMemory
from briarfork.border.streams import serve
from briarfork.border.supervision import run_supervised
from briarfork.entry.connections import ServerConnections
from briarfork.entry.slots import SlotManager
from briarfork.gateway.permits import GatewayPermits
from briarfork.gateway.quotas import Quotas
from briarfork.workspaces import QuotaBounds

if TYPE_CHECKING:
    from briarfork.border.busy_times import BusyTimes
    from briarfork.border.events import EventLog
    from briarfork.gateway.view import GatewayView
    from briarfork.membership import Member
    from briarfork.routing import RouteTable

MS_PER_S = 1000
# Memory for incomplete and unsent messages of all peers; messages of a usual size need a small part
# of it, even if hundreds of peers connect at once.
PEER_MEMORY_BYTES = 12 * 1024 * 1024


class Gateway:
    """Holds the view, the slots that this VM owns and the permits and credit that it holds."""

    def __init__(
        self, view: GatewayView, events: EventLog, quota_bounds: QuotaBounds | None = None
    ) -> None:
        self.settings = view.settings
        self.events = events
        self.draining = False
        # Whether all keys of the store have been read once.
        self.is_synchronized = False
        # Time from the start of the process until this VM was first ready, None before that.
        self.ready_after_s: float | None = None
        self.view = view
        self.slots = SlotManager(view.settings, events, view, slow_start=False)
        self.permits = GatewayPermits(self.view, self.slots)
        self.quotas = Quotas(view, self.permits, events, quota_bounds or QuotaBounds())
        self.slots.credit_owner = self.quotas
        self.permits.on_owner_message = self.quotas.handle_answer
        self.connections = ServerConnections(view.settings)

    @property
    def busy_times(self) -> BusyTimes:
        """Time for which the event loop has been busy with each kind of work."""
        return self.slots.busy_times

    @property
    def is_ready(self) -> bool:
        """Whether this VM accepts new callers."""
        return self.is_synchronized and self.view.has_route_table and not self.draining

    def log_first_readiness(self) -> None:
        """Logs that this VM is ready, once; a VM that is killed before has no such line."""
        if self.ready_after_s is not None or not self.is_ready:
            return
        self.ready_after_s = read_process_age()
        memory = read_memory()
        self.events.record(
            Event.READY,
            since_start_ms=round(self.ready_after_s * MS_PER_S),
            configuration=self.view.require_route_table().version,
            resident_mb=round(memory.resident_mb),
            peak_mb=round(memory.peak_mb),
        )

    def apply_route_table(self, table: RouteTable) -> None:
        """Replaces the route table if the given one is newer."""
        if self.view.apply_route_table(table):
            self.refresh()

    def replace_members(self, members: dict[str, Member]) -> None:
        """Replaces the registered entry VMs."""
        self.view.replace_members(dict(members))

    def evacuate(self, zones: set[str]) -> None:
        """Sets the evacuated zones, whose servers receive no requests."""
        cold_s = 0.0
        if self.view.has_route_table:
            services = self.view.require_route_table().services.values()
            cold_s = max((service.cold_s for service in services), default=0.0)
        self.view.inventory.evacuate(zones, cold_s, time.monotonic())

    def refresh(self) -> None:
        """Applies a change of the view to the slots."""
        if not self.view.has_route_table:
            return
        self.slots.refresh()
        self.permits.refresh()
        self.quotas.refresh()
        self._update_cold_servers()

    async def run(self) -> None:
        """Runs the tasks for slots, permits and connections until cancelled."""
        permits = await serve(
            self.settings.address,
            self.settings.ports.permits,
            self.slots.serve,
            StreamMemory(PEER_MEMORY_BYTES, self._log_closed_stream),
        )
        try:
            async with asyncio.TaskGroup() as group:
                for run in (
                    self.slots.poll,
                    self.permits.maintain_links,
                    self.quotas.run,
                    self.connections.run,
                ):
                    group.create_task(run_supervised(run, self.events))
        finally:
            permits.close()

    def _log_closed_stream(self, peer: str, held_bytes: int) -> None:
        self.events.record(Event.PEER_MEMORY_EXCEEDED, peer=peer, held_bytes=held_bytes)

    def _update_cold_servers(self) -> None:
        now = time.monotonic()
        services = self.view.require_route_table().services
        for key, _, _ in self.view.list_capacities():
            queue = self.slots.find_queue(key)
            if queue is None:
                continue
            for instance in self.view.inventory.list_usable(*key):
                until = self.view.inventory.find_cold_until(instance)
                if until > now:
                    queue.set_cold_start_limit(instance.name, until, services[key[0]].cold_per_s)
