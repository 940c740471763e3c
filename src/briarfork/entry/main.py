"""The program `briarfork-entry`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from briarfork.border.connector import BoundedConnector
from briarfork.border.program import run_service
from briarfork.border.sending import build_send_trace
from briarfork.entry.process import EntryProcess

if TYPE_CHECKING:
    import asyncio

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings

PROGRAM = "briarfork-entry"
DESCRIPTION = "Answers lookups and forwards requests to backend servers."


async def run(settings: Settings, events: EventLog, stopping: asyncio.Event) -> None:
    """Runs the entry process until a planned stop."""
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=settings.timeouts.connect_s)
    async with aiohttp.ClientSession(
        connector=BoundedConnector(), timeout=timeout, trace_configs=[build_send_trace()]
    ) as session:
        await EntryProcess(settings, events, session).run(stopping)


def main() -> None:
    """Runs the program."""
    run_service(PROGRAM, DESCRIPTION, run)


if __name__ == "__main__":
    main()
