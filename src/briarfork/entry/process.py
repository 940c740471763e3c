"""The components of an entry process and their tasks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from briarfork.border.events import Event
from briarfork.border.graceful_server import GracefulServer
from briarfork.border.messages import LoadReport
from briarfork.border.metrics import Metrics
from briarfork.border.platform import Platform
from briarfork.border.store import Store
from briarfork.border.streams import serve
from briarfork.border.supervision import run_supervised
from briarfork.entry.claimed_requests import ClaimedRequests
from briarfork.entry.claims import ClaimRepository
from briarfork.entry.connections import ServerConnections
from briarfork.entry.control_link import ControlLink
from briarfork.entry.follower import Follower
from briarfork.entry.forward import Forwarder
from briarfork.entry.hedging import Hedger
from briarfork.entry.http import CallerConnection
from briarfork.entry.http import build_app
from briarfork.entry.permits import PermitClient
from briarfork.entry.routing import Router
from briarfork.entry.slots import SlotManager
from briarfork.entry.view import EntryView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.events import EventLog
    from briarfork.border.messages import Load
    from briarfork.border.settings import Settings

# Connections of callers that may wait to be accepted while the process is busy.
ACCEPT_BACKLOG = 1024


class EntryProcess:
    """Creates the components of an entry process and runs their tasks."""

    def __init__(
        self,
        settings: Settings,
        events: EventLog,
        platform_session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.events = events
        self.metrics = Metrics(settings)
        self.leaving = False
        self.view = EntryView(settings, events)
        self.slots = SlotManager(settings, events, self.view)
        self.permits = PermitClient(self.view, self.slots)
        self.router = Router(self.view, self.permits, self.metrics)
        self.control = ControlLink(self)
        store = Store(settings, platform_session)
        self.follower = Follower(self, store, Platform(settings, platform_session))
        self.claims = ClaimRepository(store, events)
        self.connections = ServerConnections(settings)
        self.forwarder = Forwarder(settings, self.connections)
        self.hedger = Hedger(self)
        self.claimed_requests = ClaimedRequests()

    def refresh_slots(self) -> None:
        """Applies a change of the view to the owned slots and the held permits."""
        if self.view.timeline.generation:
            self.slots.refresh()
            self.permits.refresh()

    def accept_load(self, loads: Iterable[Load]) -> None:
        """Updates the headroom of sites from the loads that owners of slots have reported."""
        self.router.accept_load(loads)

    async def _report_load(self) -> None:
        """Reports the load of owned slots.

        The report is also applied directly, because the control process may be unreachable.
        """
        while True:
            loads = self.slots.list_load()
            self.accept_load(loads)
            if loads:
                self.control.send(LoadReport(loads))
            await asyncio.sleep(self.settings.timeouts.heartbeat_s)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serves requests until a planned stop is complete."""
        settings = self.settings
        runner = web.AppRunner(build_app(self))
        await runner.setup()
        callers = GracefulServer.wrap(runner, handler_cancellation=True)
        await callers.listen(
            lambda: CallerConnection(self, callers),
            settings.address,
            settings.ports.entry,
            backlog=ACCEPT_BACKLOG,
        )
        permit_server = await serve(settings.address, settings.ports.permits, self.slots.serve)
        self.events.record(Event.STARTED, entry=settings.ports.entry)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(run_supervised(run, self.events))
                for run in (
                    self.control.run,
                    self.follower.follow_changes,
                    self.follower.follow_list,
                    self.slots.poll,
                    self._report_load,
                    self.permits.maintain_links,
                    self.connections.run,
                    self.claims.run,
                )
            ]
            tasks.append(group.create_task(self.claimed_requests.run()))
            await stopping.wait()
            await self._drain(callers)
            for task in tasks:
                task.cancel()
        await runner.cleanup()
        permit_server.close()

    async def _drain(self, callers: GracefulServer) -> None:
        """Stops accepting requests and completes those in progress.

        Callers cache lookups, so new requests arrive until the time-to-live of the last one ends.
        """
        timeouts = self.settings.timeouts
        self.leaving = True
        self.control.announce_stop()
        if self.view.timeline.generation:
            ttl_s = self.view.require_steering().plan.lookup_ttl_s
            await asyncio.sleep(ttl_s + timeouts.spread_s)
        if cut := await callers.stop(time.monotonic() + timeouts.stop_s):
            self.events.record(Event.REQUESTS_CUT, requests=cut)
        await self.claimed_requests.wait_until_done(timeouts.stop_s)
