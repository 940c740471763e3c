"""Entry point of `briarfork-admin`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from briarfork.admin.changes import ChangeManager
from briarfork.admin.http import build_app
from briarfork.border.connector import BoundedConnector
from briarfork.border.events import Event
from briarfork.border.program import run_service
from briarfork.border.sending import build_send_trace
from briarfork.border.store import Store

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings

PROGRAM = "briarfork-admin"
DESCRIPTION = "Serves the administration API, through which operators submit changes."


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
        runner = web.AppRunner(
            build_app(manager, events), access_log=None, shutdown_timeout=settings.timeouts.stop_s
        )
        await runner.setup()
        await web.TCPSite(runner, settings.address, settings.ports.admin).start()
        snapshots = group.create_task(manager.snapshot_writer.run())
        events.record(Event.STARTED, admin=settings.ports.admin)
        await stopping.wait()
        await runner.cleanup()
        snapshots.cancel()


def main() -> None:
    """Runs `briarfork-admin`."""
    run_service(PROGRAM, DESCRIPTION, run)


if __name__ == "__main__":
    main()
