"""The program `briarfork-entry`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from briarfork.border.program import run_service
from briarfork.entry.process import EntryProcess

if TYPE_CHECKING:
    import asyncio

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings

PROGRAM = "briarfork-entry"
DESCRIPTION = "Answers lookups and passes requests to backend servers."


async def run(settings: Settings, events: EventLog, stopping: asyncio.Event) -> None:
    """Runs the entry process until a planned stop."""
    timeouts = settings.timeouts
    connect = aiohttp.ClientTimeout(total=None, sock_connect=timeouts.connect_s)
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=timeouts.connection_age_s)
    async with (
        aiohttp.ClientSession(timeout=connect) as platform_session,
        aiohttp.ClientSession(
            connector=connector,
            timeout=connect,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type", "Accept"),
            read_bufsize=settings.limits.chunk_bytes,
        ) as server_session,
    ):
        process = EntryProcess(settings, events, platform_session, server_session)
        await process.run(stopping)


def main() -> None:
    """Entry point."""
    run_service(PROGRAM, DESCRIPTION, run)


if __name__ == "__main__":
    main()
