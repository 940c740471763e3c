"""Connections that are given up while they are opened."""

from __future__ import annotations

import asyncio
import gc
import os
from typing import Any

import aiohttp
import uvloop

from briarfork.border.connector import DirectConnector

HOST = "127.0.0.1"
REPEATS = 20
# The event loop closes the descriptors of a transport that was given up in its next turns.
CLOSE_S = 0.005


class CancellingLoop(uvloop.Loop):
    """Cancels each request in the moment in which the loop takes over its connection."""

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        task = asyncio.current_task()
        assert task is not None
        task.cancel()
        return await super().create_connection(*args, **kwargs)


async def count_foreign_closes(connector: type[aiohttp.TCPConnector]) -> int:
    """Returns how many descriptors are closed that were opened after a cancelled request."""
    server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    closed = 0
    async with aiohttp.ClientSession(connector=connector(limit=0)) as session:
        for _ in range(REPEATS):
            request = asyncio.create_task(session.get(f"http://{HOST}:{port}/"))
            await asyncio.wait({request})
            assert request.cancelled()
            await asyncio.sleep(CLOSE_S)
            opened = os.pipe()
            # Whatever the cancelled request holds is released while the new descriptors are open.
            del request
            gc.collect()
            closed += sum(not _close(number) for number in opened)
    server.close()
    return closed


def _close(number: int) -> bool:
    """Closes a descriptor and returns whether it was still open."""
    try:
        os.close(number)
    except OSError:
        return False
    return True


class TestDirectConnector:
    def test_cancelled_connection_closes_no_other_descriptor(self) -> None:
        """Guards against bytes of one connection that reach the peer of another."""
        with asyncio.Runner(loop_factory=CancellingLoop) as runner:
            assert runner.run(count_foreign_closes(DirectConnector)) == 0

    async def test_connection_is_opened(self) -> None:
        """Guards against a connector that cancels safely because it never connects."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

        server = await asyncio.start_server(answer, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with (
            aiohttp.ClientSession(connector=DirectConnector()) as session,
            session.get(f"http://{HOST}:{port}/") as response,
        ):
            assert response.status == 204
        server.close()
