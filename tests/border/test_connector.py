"""Connections that are given up while they are opened."""

from __future__ import annotations

import asyncio
import os

import aiohttp
import uvloop

from briarfork.border.connector import DirectConnector

HOST = "127.0.0.1"
# Steps of the event loop after which a request is cancelled; a connection opens within these.
STEPS = range(1, 40)
REPEATS = 8


async def count_foreign_closes(connector: type[aiohttp.TCPConnector]) -> int:
    """Returns how many descriptors are closed that were opened after a cancelled request."""
    server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    closed = 0
    async with aiohttp.ClientSession(connector=connector(limit=0)) as session:
        for steps in [step for step in STEPS for _ in range(REPEATS)]:
            request = asyncio.create_task(session.get(f"http://{HOST}:{port}/"))
            for _ in range(steps):
                await asyncio.sleep(0)
            request.cancel()
            closed += await _end(request)
            del request
            opened = os.pipe()
            await asyncio.sleep(0.002)
            closed += sum(not _is_open(number) for number in opened)
    server.close()
    return closed


async def _end(request: asyncio.Task[aiohttp.ClientResponse]) -> bool:
    """Waits for a cancelled request; returns whether its own descriptor was closed before."""
    try:
        (await request).close()
    except aiohttp.ClientConnectorError:
        return True
    except asyncio.CancelledError:
        return False
    return False


def _is_open(number: int) -> bool:
    """Closes a descriptor and returns whether it was still open."""
    try:
        os.close(number)
    except OSError:
        return False
    return True


class TestDirectConnector:
    def test_cancelled_connection_closes_no_other_descriptor(self) -> None:
        """Guards against bytes of one connection that reach the peer of another."""
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
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
