"""The entry process, from its start to its planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from briarfork.border.connector import BoundedConnector
from briarfork.border.sending import build_send_trace
from briarfork.entry.process import EntryProcess

if TYPE_CHECKING:
    import asyncio

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings


async def run(settings: Settings, events: EventLog, stopping: asyncio.Event) -> None:
    """Runs the entry process until a planned stop."""
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=settings.timeouts.connect_s)
    async with aiohttp.ClientSession(
        connector=BoundedConnector(), timeout=timeout, trace_configs=[build_send_trace()]
    ) as session:
        await EntryProcess(settings, events, session).run(stopping)
