"""Tests of sending requests to backend servers and validating their responses."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
import time
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import pytest
import pytest_asyncio
import uvloop

from briarfork.border.settings import Settings
from briarfork.entry.connections import ServerConnections
from briarfork.gateway.attempts import AttemptError
from briarfork.gateway.request import Request
from briarfork.gateway.request import Response
from briarfork.platform.upstream import MAX_BODY_BYTES
from briarfork.platform.upstream import HttpUpstream
from briarfork.pools import NO_REPORT
from briarfork.pools import Release
from briarfork.pools import ServerAddress
from briarfork.pools import ServerReport
from briarfork.requests import AttemptResult
from briarfork.requests import Deadline
from briarfork.requests import DropReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


HOST = "127.0.0.1"
SEALED = b"X-Briarfork-Attempt-Id: r1\r\nX-Briarfork-Response-Seal: s\r\n"
# Room for one response of the largest size.
MEMORY_BYTES = MAX_BODY_BYTES
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawServer:
    """Answers each request with the given bytes, then keeps, closes or resets the connection.

    A `late_part` follows the answer in a segment of its own. After "endless" it repeats
    `endless_part` until the caller closes the connection.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.after = "keep"
        self.late_part = b""
        self.endless_part = b""
        self.sent_bytes = 0
        self.caller_closed = asyncio.Event()
        self.heads: list[bytes] = []
        self._handlers: set[asyncio.Task[Any]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        handler = asyncio.current_task()
        assert handler is not None
        self._handlers.add(handler)
        while head := await self._read_head(reader):
            self.heads.append(head)
            writer.write(self.answer)
            with suppress(ConnectionError):
                await writer.drain()
            if self.late_part:
                await asyncio.sleep(0.02)
                writer.write(self.late_part)
            if self.after == "keep":
                continue
            if self.after == "endless":
                await self._send_endlessly(writer)
            if self.after == "reset":
                # The bytes must arrive before the reset discards them.
                await asyncio.sleep(0.05)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            break
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()

    async def wait_closed(self) -> None:
        """Waits until all callers have closed their connections and these are closed here too."""
        if self._handlers:
            await asyncio.wait(self._handlers)

    async def _send_endlessly(self, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(self.endless_part)
                self.sent_bytes += len(self.endless_part)
                await writer.drain()
        self.caller_closed.set()

    async def _read_head(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""


class UpstreamHarness:
    """An upstream and one raw server."""

    def __init__(self, server: RawServer, port: int, connections: ServerConnections) -> None:
        self.server = server
        self.connections = connections
        self._address = ServerAddress("i-1", HOST, port)
        self._upstream = HttpUpstream(connections, MEMORY_BYTES)
        self._responses: list[Response] = []

    async def send(self, idempotent: bool = True, remaining_s: float = 10.0) -> Response:
        now = time.monotonic()
        request = Request(
            "r1", "h", "GET", "/a//b?c=%2f", (("Host", "h"),), (), respond_by=now + remaining_s
        )
        deadline = Deadline(now + 2.0)
        response = await self._upstream.send(
            request, self._address, deadline, service="s", idempotent=idempotent, repeated=False
        )
        self._responses.append(response)
        return response

    @property
    def held_bytes(self) -> int:
        return self._upstream.held_bytes

    def release_all(self) -> None:
        for response in self._responses:
            response.release()

    async def send_expecting_error(self, answer: bytes, after: str = "keep") -> AttemptError:
        self.server.answer, self.server.after = answer, after
        with pytest.raises(AttemptError) as caught:
            await self.send()
        return caught.value


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[UpstreamHarness]:
    raw = RawServer()
    listener = await asyncio.start_server(raw.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    settings = Settings("vm", "a", HOST, "http://127.0.0.1:1", "http://127.0.0.1:1")
    connections = ServerConnections(settings)
    connections_task = asyncio.create_task(connections.run())
    harness = UpstreamHarness(raw, port, connections)
    yield harness
    # However the attempts ended, only responses that were not released hold memory.
    harness.release_all()
    assert harness.held_bytes == 0
    # A stream that is collected after its event loop has closed raises in its finalizer, which
    # makes CPython 3.11 fail if it happens while a test parses source code.
    connections_task.cancel()
    await asyncio.wait({connections_task})
    listener.close()
    await raw.wait_closed()


def build_refusal(request_id: str) -> bytes:
    """Returns a response that refuses a request, without an id if it is empty."""
    echo = f"X-Briarfork-Attempt-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 503 x\r\nContent-Length: 0\r\n{echo}X-Briarfork-Not-Executed: 1\r\n\r\n"
    return head.encode()


def _respond_and_close(accepted: socket.socket, reset: bool) -> None:
    """Sends a response and closes or resets the connection, blocking until both have arrived."""
    accepted.sendall(b"HTTP/1.1 200 OK\r\n" + SEALED + b"\r\npart")
    if reset:
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    accepted.close()
    time.sleep(0.05)


def _accept(listener: socket.socket) -> socket.socket:
    """Waits for the client and its request."""
    accepted, _ = listener.accept()
    accepted.recv(4096)
    return accepted


async def _fetch_from_blocking_server(reset: bool) -> Response | AttemptError:
    """Sends a request and stops the event loop until body and end have both arrived."""
    listener = socket.create_server((HOST, 0))
    listener.settimeout(5.0)
    settings = Settings("vm", "a", HOST, "http://127.0.0.1:1", "http://127.0.0.1:1")
    connections = ServerConnections(settings)
    upstream = HttpUpstream(connections)
    address = ServerAddress("i-1", HOST, listener.getsockname()[1])
    request = Request("r1", "h", "GET", "/", ())
    deadline = Deadline(time.monotonic() + 5.0)
    attempt = asyncio.create_task(
        upstream.send(request, address, deadline, service="s", idempotent=True, repeated=False)
    )
    # The client connects on this loop, so only another thread may block.
    _respond_and_close(await asyncio.to_thread(_accept, listener), reset)
    listener.close()
    try:
        return await attempt
    except AttemptError as failure:
        return failure
    finally:
        await connections.close()


class TestHttpUpstream:
    async def test_body_without_length_may_end_with_an_orderly_close(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against rejecting complete responses that end with their connection."""
        harness.server.answer = b"HTTP/1.1 200 OK\r\n" + SEALED + b"\r\nwhole"
        harness.server.after = "close"
        assert (await harness.send()).body == (b"whole",)

    async def test_body_without_length_that_is_reset_is_incomplete(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against passing a truncated response to the caller as if it were complete."""
        failure = await harness.send_expecting_error(
            b"HTTP/1.1 200 OK\r\n" + SEALED + b"\r\npart", "reset"
        )
        assert failure.result is AttemptResult.SENT_WITHOUT_ANSWER

    def test_reset_that_arrives_with_the_body_is_detected(self) -> None:
        """Guards against an event loop that reports data and a reset together as an orderly end."""
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            failure = runner.run(_fetch_from_blocking_server(reset=True))
        assert isinstance(failure, AttemptError)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            response = runner.run(_fetch_from_blocking_server(reset=False))
        assert isinstance(response, Response)

    @pytest.mark.parametrize("late_part", [b"zz\r\n", b"-1\r\n", b"1\r\nxyz", b"0\r\n:\0\r\n\r\n"])
    async def test_malformed_body_ends_the_attempt_at_once(
        self, harness: UpstreamHarness, late_part: bytes
    ) -> None:
        """Guards against an attempt that waits for its deadline after its connection has ended."""
        harness.server.late_part = late_part
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + SEALED
        started = time.monotonic()
        failure = await harness.send_expecting_error(head + b"\r\n1\r\nx\r\n")
        assert failure.result is AttemptResult.SENT_WITHOUT_ANSWER
        assert time.monotonic() - started < 0.5

    async def test_body_shorter_than_its_length_is_incomplete(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against a response that is shorter than its Content-Length."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
        failure = await harness.send_expecting_error(head + SEALED + b"\r\npart", "close")
        assert failure.result is AttemptResult.SENT_WITHOUT_ANSWER

    @pytest.mark.parametrize(
        ("header", "limit_per_s"),
        [
            (b"", math.inf),
            (b"Server-Limit: 2.5\r\n", 2.5),
            (b"Server-Limit: many\r\n", None),
            (b"Server-Limit: -1\r\n", None),
            (b"Server-Limit: nan\r\n", None),
        ],
    )
    async def test_limit_of_the_server_is_read(
        self, harness: UpstreamHarness, header: bytes, limit_per_s: float | None
    ) -> None:
        """Guards against a limit that is missed, or one that a faulty server cannot mean."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + header
        harness.server.answer = head + SEALED + b"\r\nx"
        assert (await harness.send()).report.limit_per_s == limit_per_s

    @pytest.mark.parametrize(
        ("header", "report"),
        [
            (b"1,2,4", ServerReport(0.25, 2)),
            (b"1, 2, 4, 150", ServerReport(0.25, 2, 1.5)),
            (b"1,2", NO_REPORT),
            (b"1,2,0", NO_REPORT),
            (b"1,2,many", NO_REPORT),
            (b"-5,-1,3", NO_REPORT),
            (b"9" * 400 + b",0,3", NO_REPORT),
            (b"1,0,3," + b"9" * 400, NO_REPORT),
        ],
        ids=lambda value: value.decode()[:20] if isinstance(value, bytes) else "",
    )
    async def test_load_of_the_server_is_read(
        self, harness: UpstreamHarness, header: bytes, report: ServerReport
    ) -> None:
        """Guards against an answer that is lost because of a load that no server can have."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Briarfork-Server-Load: " + header
        harness.server.answer = head + b"\r\n" + SEALED + b"\r\nx"
        answered = (await harness.send()).report
        assert replace(answered, limit_per_s=None) == report

    async def test_leaving_server_is_noticed_in_answers_and_refusals(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against a leaving server that only refuses requests."""
        leaving = b"Server-Leaving: 1\r\n"
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
        harness.server.answer = head + leaving + SEALED + b"\r\nx"
        assert (await harness.send()).report.is_leaving
        harness.server.answer = head + SEALED + b"\r\nx"
        assert not (await harness.send()).report.is_leaving
        head = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Briarfork-Not-Executed: 1\r\n"
        failure = await harness.send_expecting_error(head + leaving + SEALED + b"\r\n")
        assert failure.report.is_leaving

    @pytest.mark.parametrize(
        ("status", "header", "pause_s"),
        [
            (b"503", b"Retry-After: 1.5\r\n", 1.5),
            (b"503", b"Retry-After: soon\r\n", 0.0),
            (b"503", b"", 0.0),
            (b"429", b"Retry-After: 1.5\r\n", 0.0),
        ],
    )
    async def test_pause_of_a_refusal_is_read(
        self, harness: UpstreamHarness, status: bytes, header: bytes, pause_s: float
    ) -> None:
        """Guards against requests to a server that has asked for a pause."""
        head = b"HTTP/1.1 " + status + b" No\r\nContent-Length: 0\r\n" + header
        failure = await harness.send_expecting_error(
            head + b"X-Briarfork-Not-Executed: 1\r\n" + SEALED + b"\r\n"
        )
        assert failure.report.pause_s == pause_s

    async def test_response_to_another_request_is_rejected(self, harness: UpstreamHarness) -> None:
        """Guards against taking a late extra response for the next one."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Briarfork-Attempt-Id: r0\r\n"
        failure = await harness.send_expecting_error(
            head + b"X-Briarfork-Response-Seal: s\r\n\r\nx"
        )
        assert failure.result is AttemptResult.SENT_WITHOUT_ANSWER

    async def test_extra_bytes_are_not_read_as_a_response(self, harness: UpstreamHarness) -> None:
        """Guards against reading bytes after a response as the next response."""
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + SEALED + b"\r\nx"
        harness.server.answer = whole + b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny"
        assert [(await harness.send()).body for _ in range(2)] == [(b"x",), (b"x",)]

    async def test_response_without_seal_or_with_encoding_is_rejected(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against responses that the server did not compute for this request."""
        bare = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Briarfork-Attempt-Id: r1\r\n\r\nx"
        assert "seal" in str(await harness.send_expecting_error(bare))
        coded = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Encoding: gzip\r\n"
        assert "encoded" in str(await harness.send_expecting_error(coded + SEALED + b"\r\nx"))

    async def test_refusal_proves_that_the_request_did_not_run(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against reporting a refused request as unknown or the reverse."""
        failure = await harness.send_expecting_error(build_refusal("r1"))
        assert (failure.result, failure.release) == (AttemptResult.REFUSED, Release.NOT_RUN)
        moved = b"HTTP/1.1 421 x\r\nContent-Length: 0\r\nX-Briarfork-Attempt-Id: r1\r\n\r\n"
        assert (await harness.send_expecting_error(moved)).result is AttemptResult.REFUSED

    @pytest.mark.parametrize("request_id", ["r0", ""], ids=["another request", "no request"])
    async def test_refusal_of_another_request_proves_nothing(
        self, harness: UpstreamHarness, request_id: str
    ) -> None:
        """Guards against taking a repeated earlier refusal for one of a request that runs."""
        failure = await harness.send_expecting_error(build_refusal(request_id))
        assert failure.result is AttemptResult.SENT_WITHOUT_ANSWER

    async def test_response_whose_headers_are_cut_off_is_incomplete(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against a success without a body when a server stops within the headers."""
        head = b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Length: 5\r\n\r\n"
        for end in range(len(head)):
            failure = await harness.send_expecting_error(head[:end], "close")
            assert failure.result is AttemptResult.SENT_WITHOUT_ANSWER, head[:end]

    @pytest.mark.parametrize(
        ("length", "after", "release"),
        [
            (b"", "endless", Release.FAILED),
            (b"", "keep", Release.NOT_RUN),
            (b"Content-Length: 99999\r\n", "endless", Release.NOT_RUN),
        ],
    )
    async def test_refused_request_does_not_wait_for_the_body(
        self, harness: UpstreamHarness, length: bytes, after: str, release: Release
    ) -> None:
        """Guards against a refusal whose body takes the memory and the time of its request."""
        harness.server.endless_part = bytes(65536)
        refusal = build_refusal("r1").replace(b"Content-Length: 0\r\n", length)
        started = time.monotonic()
        failure = await harness.send_expecting_error(refusal, after)
        assert time.monotonic() - started < 0.5
        assert (failure.result, failure.release) == (AttemptResult.REFUSED, release)
        assert harness.server.sent_bytes < MAX_BODY_BYTES // 8

    async def test_refusal_without_proof_is_rejected(self, harness: UpstreamHarness) -> None:
        """Guards against telling a caller that a request did not run although it may have."""
        busy = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n" + SEALED + b"\r\n"
        assert (
            await harness.send_expecting_error(busy)
        ).result is AttemptResult.SENT_WITHOUT_ANSWER

    @pytest.mark.parametrize(
        ("start", "endless_part"),
        [
            (b"HTTP/1.1 200 OK\r\n" + SEALED + b"\r\n", bytes(65536)),
            (
                b"HTTP/1.1 200 OK\r\n" + SEALED + b"Transfer-Encoding: chunked\r\n\r\n",
                b"10000\r\n" + bytes(65536) + b"\r\n",
            ),
            (b"HTTP/1.1 200 OK\r\n" + SEALED, b"X-More: y\r\n" * 4096),
            (b"HTTP/1.1 200 OK\r\nX-Long: ", b"y" * 65536),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + SEALED + b"\r\nx", bytes(65536)),
        ],
        ids=["body", "chunked body", "headers", "header", "interim responses", "after response"],
    )
    async def test_endless_bytes_are_cut_off(
        self, harness: UpstreamHarness, start: bytes, endless_part: bytes
    ) -> None:
        """Guards against a server whose endless bytes fill the memory of the VM."""
        harness.server.answer, harness.server.after = start, "endless"
        harness.server.endless_part = endless_part
        with suppress(AttemptError):
            await harness.send()
        async with asyncio.timeout(1.0):
            await harness.server.caller_closed.wait()
        assert harness.server.sent_bytes < 2 * MAX_BODY_BYTES

    async def test_responses_wait_for_the_memory_of_others(self, harness: UpstreamHarness) -> None:
        """Guards against sound responses that fill the memory, and against losing some of them."""
        size = MAX_BODY_BYTES // 4
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n".encode()
        harness.server.answer = head + SEALED + b"\r\n" + bytes(size)
        attempts = [asyncio.create_task(harness.send()) for _ in range(6)]
        cancelled = attempts.pop()
        while attempts:
            done, pending = await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0.1)
            assert harness.held_bytes <= MEMORY_BYTES // 2
            cancelled.cancel()
            for attempt in done:
                assert sum(map(len, (await attempt).body)) == size
            harness.release_all()
            attempts = list(pending)

    async def test_response_without_memory_fails_as_unknown(self, harness: UpstreamHarness) -> None:
        """Guards against blaming a server, or promising anything, for memory that others hold."""
        size = MAX_BODY_BYTES // 2
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n".encode()
        harness.server.answer = head + SEALED + b"\r\n" + bytes(size)
        await harness.send()
        with pytest.raises(AttemptError) as caught:
            await harness.send(remaining_s=0.3)
        assert caught.value.result is AttemptResult.SENT_WITHOUT_ANSWER
        assert caught.value.release is Release.CANCELLED
        assert caught.value.dropped is DropReason.NO_MEMORY
        head = head.replace(str(size).encode(), str(MAX_BODY_BYTES + 1).encode())
        failure = await harness.send_expecting_error(head + SEALED + b"\r\n")
        assert failure.dropped is DropReason.TOO_LONG

    async def test_requests_are_sent_after_all_connections_were_closed(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against requests on closed sessions after the task of the connections failed."""
        harness.server.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + SEALED + b"\r\nx"
        await harness.send()
        await harness.connections.close()
        assert b"".join((await harness.send()).body) == b"x"

    async def test_silent_server_times_out_before_the_caller(
        self, harness: UpstreamHarness
    ) -> None:
        """Guards against a caller that gets no response because its own deadline comes first."""
        started = time.monotonic()
        with pytest.raises(AttemptError):
            await harness.send(remaining_s=0.2)
        assert time.monotonic() - started < 1.0

    async def test_request_reaches_the_server_unchanged(self, harness: UpstreamHarness) -> None:
        """Guards against a normalised path and a request that is not pinned to its server."""
        harness.server.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + SEALED + b"\r\n"
        await harness.send()
        assert harness.server.heads[0].startswith(b"GET /a//b?c=%2f HTTP/1.1\r\n")
        assert b"X-Briarfork-Pin-Instance: i-1\r\n" in harness.server.heads[0]
        assert b"accept-encoding" not in harness.server.heads[0].lower()
