"""Tests of request bodies at the border: refused, slow, malformed and too long ones."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from briarfork.border.events import EventLog
from briarfork.border.graceful_server import GracefulServer
from briarfork.gateway.dispatch import Dispatcher
from briarfork.platform import names
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.pipelines import CallerPipelines
from briarfork.routing import CallerLimits
from briarfork.routing import RequestKind
from tests.gateway.harness import RESPONSE
from tests.gateway.harness import ROUTE
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ADDRESS = "127.62.9.10"
LIMITS = CallerLimits(body_bytes=200_000, header_s=0.2, idle_s=0.5)
# A response that does not wait for the body arrives long before this.
ANSWER_S = 1.0
BODY = bytes(100_000)


class Caller:
    """A caller's connection to a gateway whose server answers every request.

    Attributes:
        connection: The gateway's side of the connection.
        server: The server of the connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream: ScriptedUpstream,
        connection: CallerConnection,
        server: GracefulServer,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.upstream = upstream
        self.connection = connection
        self.server = server

    def build_head(self, *headers: str) -> bytes:
        lines = ["POST /a/x HTTP/1.1", "Host: h", f"{names.ATTEMPT_ID}: r1", *headers, "", ""]
        return "\r\n".join(lines).encode()

    def send_head(self, *headers: str) -> None:
        self.writer.write(self.build_head(*headers))

    async def read_status(self) -> int:
        """Returns the status of the next response, 0 if the connection ends without one."""
        async with asyncio.timeout(ANSWER_S):
            line = await self.reader.readline()
        return int(line.split()[1]) if line else 0

    async def read_rest(self) -> bytes:
        """Returns everything up to the end of the connection."""
        async with asyncio.timeout(4.0):
            return await self.reader.read()


@asynccontextmanager
async def connect(slots: int = 1) -> AsyncIterator[Caller]:
    """Yields a caller of a gateway that grants a number of slots."""
    gateway = build_gateway(replace(ROUTE, kind=RequestKind.UPLOAD), limits=LIMITS)
    permits = ScriptedPermits(gateway, *(f"i-{number}" for number in range(slots)))
    upstream = ScriptedUpstream(*[RESPONSE] * slots)
    dispatcher = Dispatcher(gateway.view, permits, upstream, EventLog("test"))
    handler = CallerRequestHandler(gateway, dispatcher)
    server = GracefulServer(handler.handle, handler_cancellation=True)
    connection = CallerConnection(gateway, server, CallerPipelines(gateway, dispatcher))
    listener = await server.listen(lambda: connection, ADDRESS, 0)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname()[:2])
    yield Caller(reader, writer, upstream, connection, server)
    writer.close()
    with suppress(ConnectionError):
        await writer.wait_closed()
    listener.close()


class TestUpload:
    async def test_refused_upload_is_answered_before_its_body(self) -> None:
        """Guards against collecting a body whose request is sure to be refused."""
        async with connect(slots=0) as caller:
            caller.send_head(f"Content-Length: {len(BODY)}")
            assert await caller.read_status() == 503
            assert b"Connection: close" in await caller.read_rest()

    async def test_caller_gets_the_refusal_although_it_goes_on_sending(self) -> None:
        """Guards against a reset that destroys the promise that the request has not run."""
        async with connect(slots=0) as caller:
            caller.send_head(f"Content-Length: {len(BODY)}")
            caller.writer.write(BODY)
            await caller.writer.drain()
            assert await caller.read_status() == 503

    async def test_body_is_asked_for_only_if_the_request_is_not_refused(self) -> None:
        """Guards against a caller that waits for 100 (Continue), or sends a body in vain."""
        async with connect() as caller:
            caller.send_head(f"Content-Length: {len(BODY)}", "Expect: 100-continue")
            assert await caller.read_status() == 100
            await caller.reader.readline()
            caller.writer.write(BODY)
            assert await caller.read_status() == 200
            assert caller.upstream.bodies == [BODY]
        async with connect(slots=0) as caller:
            caller.send_head(f"Content-Length: {len(BODY)}", "Expect: 100-continue")
            assert await caller.read_status() == 503
            # What follows on the connection could be a body or a request.
            assert b"Connection: close" in await caller.read_rest()

    async def test_stalled_caller_is_told_that_its_request_did_not_run(self) -> None:
        """Guards against a caller that holds memory or a slot while it sends nothing."""
        async with connect() as caller:
            caller.send_head(f"Content-Length: {len(BODY)}", f"{names.DEADLINE_MS}: 3000")
            caller.writer.write(BODY[:1000])
            assert await caller.read_status() == 408
            assert caller.upstream.sent == []

    async def test_deadline_holds_while_the_body_arrives(self) -> None:
        """Guards against a caller that sends slowly until long after its deadline."""
        async with connect() as caller:
            caller.send_head(f"Content-Length: {len(BODY)}", f"{names.DEADLINE_MS}: 200")
            for _ in range(3):
                caller.writer.write(BODY[:1000])
                await asyncio.sleep(0.1)
            assert await caller.read_status() == 408
            assert caller.upstream.sent == []

    async def test_caller_gets_its_answer_before_its_deadline(self) -> None:
        """Guards against an answer that arrives when its caller has just given up."""
        async with connect() as caller:
            caller.send_head(f"Content-Length: {len(BODY)}", f"{names.DEADLINE_MS}: 300")
            started = time.monotonic()
            assert await caller.read_status() == 408
            assert time.monotonic() - started < 0.3

    async def test_caller_that_leaves_within_its_body_is_not_served(self) -> None:
        """Guards against an upload that runs without its whole body."""
        async with connect() as caller:
            caller.send_head("Transfer-Encoding: chunked")
            caller.writer.write(b"400\r\n" + bytes(100))
            await caller.writer.drain()
            caller.writer.close()
            await asyncio.sleep(0.1)
            assert caller.upstream.sent == []


class TestPlannedStop:
    async def test_body_that_is_arriving_when_the_vm_stops_is_read(self) -> None:
        """Guards against requests that are cut off because the HTTP library stops reading."""
        async with connect() as caller:
            caller.send_head(f"Content-Length: {len(BODY)}", f"{names.DEADLINE_MS}: 2000")
            caller.writer.write(BODY[:1000])
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(caller.server.stop(time.monotonic() + ANSWER_S))
            await asyncio.sleep(0.05)
            caller.writer.write(BODY[1000:])
            assert await caller.read_status() == 200
            caller.writer.close()
            assert await stop == 0
            assert caller.upstream.bodies == [BODY]

    async def test_stop_does_not_wait_for_idle_and_stalled_callers(self) -> None:
        """Guards against a stop that takes longer than it may because of its callers."""
        for headers, timeout_s in (((), 9.0), ((f"Content-Length: {len(BODY)}",), 0.2)):
            async with connect() as caller:
                if headers:
                    caller.send_head(*headers, f"{names.DEADLINE_MS}: 9000")
                await asyncio.sleep(0.05)
                async with asyncio.timeout(ANSWER_S):
                    cut = await caller.server.stop(time.monotonic() + timeout_s)
                assert cut == len(headers)


class TestMalformedBody:
    @pytest.mark.parametrize(
        ("headers", "body", "status"),
        [
            (["Content-Length: 200001"], b"", 413),
            (["Content-Length: many"], b"", 400),
            (["Content-Length: -5"], b"", 400),
            (["Content-Length: 5", "Content-Length: 6"], b"hello!", 400),
            (["Content-Length: 5", "Transfer-Encoding: chunked"], b"0\r\n\r\n", 400),
            (["Transfer-Encoding: chunked"], b"zz\r\nhello\r\n0\r\n\r\n", 400),
            (["Transfer-Encoding: chunked"], b"3\r\nhello\r\n0\r\n\r\n", 400),
        ],
        ids=[
            "too long",
            "length not a number",
            "negative length",
            "two lengths",
            "length and chunks",
            "chunk size not a number",
            "chunk longer than its size",
        ],
    )
    async def test_body_is_rejected_and_the_connection_closed(
        self, headers: list[str], body: bytes, status: int
    ) -> None:
        """Guards against a second request that is smuggled in behind a malformed body."""
        async with connect(slots=2) as caller:
            caller.send_head(*headers)
            caller.writer.write(body)
            caller.writer.write(b"GET /a/smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
            assert await caller.read_status() == status
            assert b"HTTP/1.1" not in await caller.read_rest()
            assert caller.upstream.sent == []

    async def test_body_in_chunks_is_rejected_once_it_is_too_long(self) -> None:
        """Guards against a body without a length that exceeds the limit."""
        async with connect() as caller:
            caller.send_head("Transfer-Encoding: chunked")
            caller.writer.write(b"40000\r\n" + bytes(0x40000))
            assert await caller.read_status() == 413
            assert caller.upstream.sent == []

    async def test_chunk_that_is_cut_short_closes_the_connection(self) -> None:
        """Guards against an upload that runs with a part of its body."""
        async with connect() as caller:
            caller.send_head("Transfer-Encoding: chunked")
            caller.writer.write(b"400\r\nhello")
            caller.writer.write_eof()
            assert b"HTTP/1.1 200" not in await caller.read_rest()
            assert caller.upstream.sent == []


class TestCallerTimeouts:
    async def test_incomplete_headers_end_the_connection(self) -> None:
        """Guards against connections that are held by callers who never finish their headers."""
        async with connect() as caller:
            started = time.monotonic()
            caller.writer.write(b"GET /a/x HTTP/1.1\r\nHost")
            assert await caller.read_rest() == b""
            assert time.monotonic() - started >= LIMITS.header_s

    async def test_slow_headers_within_the_time_are_served(self) -> None:
        """Guards against a timer that outlives the headers for which it was started."""
        async with connect() as caller:
            caller.writer.write(b"POST /a/x HTTP/1.1\r\nHost")
            await asyncio.sleep(LIMITS.header_s / 2)
            caller.writer.write(b": h\r\nContent-Length: 5\r\n\r\nhe")
            await asyncio.sleep(LIMITS.header_s)
            caller.writer.write(b"llo")
            assert await caller.read_status() == 200

    async def test_body_right_behind_its_headers_is_not_taken_for_headers(self) -> None:
        """Guards against closing an idle connection because its last body arrived at once."""
        async with connect(slots=3) as caller:
            for _ in range(3):
                # The body arrives between the end of its headers and the start of the handler.
                caller.connection.data_received(caller.build_head("Content-Length: 5"))
                await asyncio.sleep(0)
                caller.connection.data_received(b"hello")
                assert await caller.read_status() == 200
                await caller.reader.readuntil(RESPONSE.body[0])
                await asyncio.sleep(1.5 * LIMITS.header_s)

    async def test_head_that_crosses_the_idle_timeout_is_served(self) -> None:
        """Guards against a connection that is closed as idle within the head of a request."""
        async with connect() as caller:
            await asyncio.sleep(0.9 * LIMITS.idle_s)
            caller.writer.write(b"GET /a/x HTTP/1.1\r\nHost")
            await asyncio.sleep(0.2 * LIMITS.idle_s)
            caller.writer.write(b": h\r\n\r\n")
            assert await caller.read_status() == 200

    async def test_idle_connection_is_kept_for_the_idle_timeout(self) -> None:
        """Guards against a close that crosses the next request of a caller."""
        async with connect(slots=2) as caller:
            caller.send_head("Content-Length: 0")
            assert await caller.read_status() == 200
            await caller.reader.readuntil(RESPONSE.body[0])
            await asyncio.sleep(0.8 * LIMITS.idle_s)
            caller.send_head("Content-Length: 0")
            assert await caller.read_status() == 200
            await caller.reader.readuntil(RESPONSE.body[0])
            assert await caller.read_rest() == b""
