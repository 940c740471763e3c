"""Tests of requests that are cancelled while their connection is being opened."""

from __future__ import annotations

import asyncio
import gc
import os
from typing import Any

import aiohttp
import uvloop

from briarfork.border.connector import DirectConnector

HOST = "127.0.0.1"
REQUESTS = 20
# The event loop closes the descriptors of an abandoned transport in its next iterations.
CLOSE_DELAY_S = 0.005


class CancellingLoop(uvloop.Loop):
    """Cancels each request at the moment the event loop takes over its connection."""

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        task = asyncio.current_task()
        assert task is not None
        task.cancel()
        return await super().create_connection(*args, **kwargs)


async def count_closed_descriptors(connector: type[aiohttp.TCPConnector]) -> int:
    """Returns how many file descriptors opened after a cancelled request were closed by it."""
    server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    closed = 0
    async with aiohttp.ClientSession(connector=connector(limit=0)) as session:
        for _ in range(REQUESTS):
            request = asyncio.create_task(session.get(f"http://{HOST}:{port}/"))
            await asyncio.wait({request})
            assert request.cancelled()
            await asyncio.sleep(CLOSE_DELAY_S)
            descriptors = os.pipe()
            # Release everything held by the request while the new descriptors are open.
            del request
            gc.collect()
            closed += sum(not _close_descriptor(descriptor) for descriptor in descriptors)
    server.close()
    return closed


def _close_descriptor(descriptor: int) -> bool:
    """Closes a file descriptor and returns whether it was still open."""
    try:
        os.close(descriptor)
    except OSError:
        return False
    return True


class TestDirectConnector:
    def test_cancelled_request_does_not_close_other_descriptors(self) -> None:
        """Guards against a double close that sends data to the peer of another connection.

        If aiohttp and uvloop both close the descriptor of a cancelled request, the second close
        hits whatever was opened with the same number in between.
        """
        with asyncio.Runner(loop_factory=CancellingLoop) as runner:
            assert runner.run(count_closed_descriptors(DirectConnector)) == 0

    async def test_request_succeeds(self) -> None:
        """Guards against a connector that passes the cancellation test by never connecting."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(respond, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with (
            aiohttp.ClientSession(connector=DirectConnector()) as session,
            session.get(f"http://{HOST}:{port}/") as response,
        ):
            assert response.status == 204
        server.close()
