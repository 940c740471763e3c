"""Tests of the product's own clients against servers that send without end."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from briarfork.border.connector import BoundedConnector
from briarfork.border.events import EventLog
from briarfork.border.platform import Platform
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.border.store import Store
from briarfork.commands.client import AdminClient
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.platform.store import StoreClient
from tests.platform.test_upstream import HOST
from tests.platform.test_upstream import SOCKET_BYTES
from tests.platform.test_upstream import RawServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.platform.listing import Page

# Longer than the test takes, so that only a bound on bytes ends a call.
TIMEOUT_S = 60.0
MAX_BODY_BYTES = 64 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
# Deeper than decoders of JSON descend.
NESTED = b'{"a":' + b"[" * 100_000


@contextlib.asynccontextmanager
async def serve(raw: RawServer) -> AsyncIterator[Settings]:
    """Runs a raw server; yields settings whose store and VM list are this server."""
    listener = await asyncio.start_server(raw.serve, HOST, 0)
    url = f"http://{HOST}:{listener.sockets[0].getsockname()[1]}"
    yield Settings("vm", "a", HOST, url, url, timeouts=Timeouts(store_s=TIMEOUT_S))
    listener.close()
    await raw.wait_closed()


async def read_pages(client: StoreClient) -> list[Page]:
    """Returns all pages of the store."""
    return [page async for page in client.list_pages("")]


async def list_keys(settings: Settings) -> None:
    async with StoreClient(settings, EventLog("test")) as client:
        await read_pages(client)


async def list_range(settings: Settings) -> None:
    async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
        await Store(settings, session).list_range("")


async def list_vms(settings: Settings) -> None:
    async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
        await Platform(settings, session).list_vms()


async def read_status(settings: Settings) -> None:
    client = AdminClient(argparse.Namespace(admin=settings.store_url, token=None))
    await asyncio.to_thread(client.get, "/v1/status")


class TestReaders:
    @pytest.mark.parametrize("read", [list_keys, list_range, list_vms, read_status])
    @pytest.mark.parametrize(
        ("start", "part"),
        [
            (HEAD + b"\r\n", b" " * 65536),
            (b"", b"HTTP/1.1 103 Hints\r\n\r\n" * 2048),
            (HEAD + b"Content-Length: %d\r\n\r\n" % len(NESTED) + NESTED, b""),
        ],
        ids=["body", "interim responses", "nested body"],
    )
    async def test_call_fails_after_a_bounded_number_of_bytes(
        self, read: Callable[[Settings], Awaitable[Any]], start: bytes, part: bytes
    ) -> None:
        """Guards against bytes of a store or a VM list that fill the memory or end a task."""
        raw = RawServer()
        raw.answer, raw.after, raw.endless_part = start, "endless" if part else "keep", part
        async with serve(raw) as settings:
            with pytest.raises(BriarforkError) as caught:
                await read(settings)
        assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE
        assert raw.sent_bytes < SOCKET_BYTES + MAX_BODY_BYTES

    async def test_listing_ends_if_pages_repeat(self) -> None:
        """Guards against a listing without end, which holds ever more items."""
        body = b'{"items":[{"key":"a","revision":1}],"store_revision":1,"has_more":true}'
        raw = RawServer()
        raw.answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        async with serve(raw) as settings:
            with pytest.raises(BriarforkError, match="repeat"):
                await list_keys(settings)
