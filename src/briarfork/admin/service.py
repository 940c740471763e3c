"""The administration process, from its start to its planned stop."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from briarfork.admin.changes import ChangeManager
from briarfork.admin.http import build_app
from briarfork.border.connector import BoundedConnector
from briarfork.border.events import Event
from briarfork.border.graceful_server import GracefulConnection
from briarfork.border.graceful_server import GracefulServer
from briarfork.border.sending import build_send_trace
from briarfork.border.store import Store
from briarfork.border.supervision import run_supervised

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings


async def run(settings: Settings, events: EventLog, stopping: asyncio.Event) -> None:
    """Serves the administration API until a planned stop."""
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=settings.timeouts.connect_s)
    traces = [build_send_trace()]
    async with (
        aiohttp.ClientSession(
            connector=BoundedConnector(), timeout=timeout, trace_configs=traces
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        manager = ChangeManager(Store(settings, session), events)
        runner = web.AppRunner(build_app(manager, events))
        await runner.setup()
        server = GracefulServer.wrap(runner)
        await server.listen(
            lambda: GracefulConnection(server, access_log=None),
            settings.address,
            settings.ports.admin,
        )
        snapshots = group.create_task(run_supervised(manager.snapshot_writer.run, events))
        events.record(Event.STARTED, admin=settings.ports.admin)
        await stopping.wait()
        if cut := await server.stop(time.monotonic() + settings.timeouts.stop_s):
            events.record(Event.REQUESTS_CUT, requests=cut)
        await runner.cleanup()
        snapshots.cancel()
