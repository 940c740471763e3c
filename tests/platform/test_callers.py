"""Tests of callers' connections: a late event loop, unread responses, and planned stops."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from briarfork.border.events import EventLog
from briarfork.border.graceful_server import GracefulServer
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.request import Response
from briarfork.hashing import hash_text
from briarfork.platform import names
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.delivery import LATE_PART_S
from briarfork.platform.pipelines import CallerPipelines
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.entry.overflow import Permit
    from briarfork.gateway.permits import SlotRequirements

ADDRESS = "127.62.9.9"
REQUEST = f"GET /a/x HTTP/1.1\r\nHost: h\r\n{names.ATTEMPT_ID}: r1\r\n\r\n".encode()
BLOCKED_S = 0.1
# More than the buffers of a connection hold.
LARGE_BYTES = 16_000_000


class LatePermits(ScriptedPermits):
    """Grants a permit when the test says so."""

    requested: asyncio.Event
    granted: asyncio.Event
    object_key: str

    async def acquire(self, request: SlotRequirements) -> Permit:
        self.object_key = request.object_key
        self.requested.set()
        await self.granted.wait()
        return await super().acquire(request)


class CallerHarness:
    """A gateway with one server, and a caller with a connection to it."""

    async def start(self) -> None:
        gateway = build_gateway()
        self.permits = LatePermits(gateway, "i-0")
        self.permits.requested = asyncio.Event()
        self.permits.granted = asyncio.Event()
        self.upstream = ScriptedUpstream()
        self.released = asyncio.Event()
        self.upstream.outcomes = [
            Response(200, (), (bytes(LARGE_BYTES),), release=self.released.set)
        ]
        dispatcher = Dispatcher(gateway.view, self.permits, self.upstream, EventLog("test"))
        handler = CallerRequestHandler(gateway, dispatcher)
        pipelines = CallerPipelines(gateway, dispatcher)
        self.server = GracefulServer(handler.handle, handler_cancellation=True)
        self._listener = await self.server.listen(
            lambda: CallerConnection(gateway, self.server, pipelines), ADDRESS, 0
        )
        port = self._listener.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(ADDRESS, port)

    def close(self) -> None:
        self.writer.close()
        self._listener.close()


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[CallerHarness]:
    harness = CallerHarness()
    await harness.start()
    yield harness
    harness.close()


class TestLateEventLoop:
    async def test_request_whose_caller_has_left_is_not_sent(self, harness: CallerHarness) -> None:
        """Guards against work for a caller whose close is not read before a permit is used."""
        harness.writer.write(REQUEST)
        await harness.permits.requested.wait()
        harness.writer.close()
        harness.permits.granted.set()
        # The close arrives while the event loop is busy, after the permit.
        time.sleep(BLOCKED_S)  # noqa: ASYNC251
        await asyncio.sleep(BLOCKED_S)
        assert harness.upstream.sent == []

    async def test_request_of_a_waiting_caller_is_sent(self, harness: CallerHarness) -> None:
        """Guards against a check that takes callers that still wait for ones that have left."""
        harness.writer.write(REQUEST)
        await harness.permits.requested.wait()
        harness.permits.granted.set()
        assert (await harness.reader.readline()).startswith(b"HTTP/1.1 200")
        assert harness.upstream.sent == ["i-0"]


class TestObjectKey:
    @pytest.mark.parametrize(
        ("key", "kept_chars"), [(b"k" * 15_000, 64), (b"object-1", 8), (b"\xc3\xa9", 1)]
    )
    async def test_long_key_is_kept_as_a_digest(
        self, harness: CallerHarness, key: bytes, kept_chars: int
    ) -> None:
        """Guards against tables of objects that are as large as the headers of callers."""
        header = f"\r\n{names.AFFINITY_KEY}: ".encode() + key
        harness.writer.write(REQUEST.replace(b"\r\n\r\n", header + b"\r\n\r\n"))
        await harness.permits.requested.wait()
        assert len(harness.permits.object_key) == kept_chars

    async def test_key_that_is_not_utf_8_can_be_sent(self, harness: CallerHarness) -> None:
        """Guards against an answer 500 because a key cannot be hashed or sent to another VM."""
        header = f"\r\n{names.AFFINITY_KEY}: ".encode() + b"\xff"
        harness.writer.write(REQUEST.replace(b"\r\n\r\n", header + b"\r\n\r\n"))
        await harness.permits.requested.wait()
        assert hash_text(harness.permits.object_key)


class TestMemoryOfResponse:
    @pytest.mark.parametrize("caller", ["reads", "leaves", "stalls"])
    async def test_is_held_until_the_caller_has_it_leaves_or_stalls(
        self, harness: CallerHarness, caller: str
    ) -> None:
        """Guards against memory that is freed while a slow caller reads, or never."""
        deadline = f"\r\n{names.DEADLINE_MS}: 300\r\n\r\n".encode()
        harness.writer.write(REQUEST.replace(b"\r\n\r\n", deadline))
        harness.permits.granted.set()
        await harness.reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(BLOCKED_S)
        assert not harness.released.is_set()
        if caller == "leaves":
            harness.writer.transport.abort()
        elif caller == "reads":
            await harness.reader.readexactly(LARGE_BYTES)
        async with asyncio.timeout(2 * LATE_PART_S):
            await harness.released.wait()
