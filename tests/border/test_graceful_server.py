"""Tests of connections whose peers send or read only in part."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import Any

import pytest_asyncio
from aiohttp import web

from briarfork.border import graceful_server
from briarfork.border.graceful_server import GracefulConnection
from briarfork.border.graceful_server import GracefulServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import pytest

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
BODY = bytes(60_000)
IDLE_S = 0.1
REQUESTS = 300
# The buffers of a loopback connection take about 4 MB.
MOST_SERVED = 150


class ServerHarness:
    """A server that answers each request with a short body."""

    def __init__(self) -> None:
        self.served = 0
        self.server = GracefulServer(self._handle)

    async def connect(self, **options: Any) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection of a client with small buffers."""
        listener = await self.server.listen(
            lambda: GracefulConnection(self.server, access_log=None, **options), HOST, 0
        )
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, listener.sockets[0].getsockname())
        return await asyncio.open_connection(sock=client, limit=1024)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.served += 1
        response = web.StreamResponse()
        response.content_length = len(BODY)
        await response.prepare(request)
        await response.write(BODY)
        return response


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[ServerHarness]:
    harness = ServerHarness()
    yield harness
    harness.server.drain()
    harness.server.abort()


class TestGracefulConnection:
    async def test_requests_wait_while_responses_are_not_read(self, harness: ServerHarness) -> None:
        """Guards against a peer that fills the memory with responses that it does not read."""
        _, writer = await harness.connect()
        writer.write(REQUESTS * GET)
        await asyncio.sleep(0.3)
        assert 0 < harness.served < MOST_SERVED
        writer.transport.abort()

    async def test_unfinished_head_is_not_kept_for_ever(
        self, harness: ServerHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against connections that stay open after a part of a head."""
        monkeypatch.setattr(graceful_server, "PARTIAL_HEAD_S", IDLE_S)
        reader, writer = await harness.connect(keepalive_timeout=IDLE_S)
        writer.write(GET[:10])
        async with asyncio.timeout(20 * IDLE_S):
            assert await reader.read() == b""
        writer.close()
