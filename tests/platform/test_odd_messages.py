"""Tests of requests and responses whose heads are odd: each request ends with an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from aiohttp import web

from briarfork.border.events import EventLog
from briarfork.entry.connections import ServerConnections
from briarfork.gateway.dispatch import Dispatcher
from briarfork.platform import upstream
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.pipelines import CallerPipelines
from briarfork.platform.upstream import HttpUpstream
from briarfork.pools import NO_REPORT
from briarfork.pools import ServerReport
from tests.gateway.harness import SETTINGS
from tests.gateway.harness import build_gateway
from tests.platform.test_repeated_answers import PermitsForOnePort
from tests.platform.test_upstream import SEALED
from tests.platform.test_upstream import RawServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = "127.0.0.1"
TARGET = b"/a/x"
ID = b"X-Briarfork-Attempt-Id: r1\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + SEALED + b"\r\nwhole"
ANSWER_TIMEOUT_S = 1.0
# Attempts that a request can take, each with a permit.
MAX_PERMITS = 9


def build_deadline(digits: int) -> bytes:
    return b"X-Briarfork-Deadline-Ms: " + b"9" * digits + b"\r\n"


class OddMessageHarness:
    """A gateway with one raw server."""

    async def start(self) -> None:
        self.server = RawServer()
        self.server.answer = ANSWER
        self._listener = await asyncio.start_server(self.server.serve, HOST, 0)
        gateway = build_gateway()
        self.permits = PermitsForOnePort(gateway, *["i-1"] * MAX_PERMITS)
        self.permits.port = self._listener.sockets[0].getsockname()[1]
        self._connections = ServerConnections(SETTINGS)
        dispatcher = Dispatcher(
            gateway.view, self.permits, HttpUpstream(self._connections), EventLog("test")
        )
        handler = CallerRequestHandler(gateway, dispatcher)
        pipelines = CallerPipelines(gateway, dispatcher)
        manager = web.Server(handler.handle, handler_cancellation=True)
        self._callers = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(gateway, manager, pipelines), HOST, 0
        )

    async def send(self, target: bytes = TARGET, headers: bytes = b"") -> tuple[int, bytes]:
        """Sends a request and returns the status and the body, 0 if there is no answer."""
        port = self._callers.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET " + target + b" HTTP/1.1\r\nHost: h\r\n" + ID + headers + b"\r\n")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2].split(b"\r")[0]
                return int(head.split(b" ")[1]), await reader.readexactly(int(length or b"0"))
        except asyncio.IncompleteReadError:
            return 0, b""
        finally:
            writer.close()

    async def close(self) -> None:
        self._callers.close()
        await self._connections.close()
        self._listener.close()
        await self.server.wait_closed()


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[OddMessageHarness]:
    harness = OddMessageHarness()
    await harness.start()
    yield harness
    await harness.close()


class TestOddMessages:
    @pytest.mark.parametrize(
        ("header", "status"),
        [
            (b"X-Odd: \xff\xfe", 200),
            (b"X-Odd: \x01\x7f", 200),
            (b"X-Odd: a\x1fb\tc", 200),
            (b"Set-Cookie: \x02=;;", 200),
            (b"X-Briarfork-Response-Seal: s", 200),
            (b"X-Odd: \x00", 504),
            (b"X-Odd: a\r\n  folded", 200),
            (b"X-Odd: a\nX-Even: b", 200),
            (b"X Odd: a", 504),
            (b"X-\xff: a", 504),
            (b"Content-Type: ;;charset=\xff", 200),
            (b"Content-Length: 5", 504),
            (b"Upgrade: h2c\r\nConnection: upgrade", 200),
            (b"Connection: X-Briarfork-Response-Seal", 200),
            (b"Server-Limit: " + b"9" * 400, 200),
            (b"Location: http://[", 200),
        ],
    )
    async def test_answer_with_an_odd_header_reaches_the_caller(
        self, harness: OddMessageHarness, header: bytes, status: int
    ) -> None:
        """Guards against a request that ran and ends without an answer because of a header."""
        harness.server.answer = ANSWER.replace(b"\r\n\r\n", b"\r\n" + header + b"\r\n\r\n", 1)
        assert (await harness.send())[0] == status
        assert len(harness.permits.released) == MAX_PERMITS - len(harness.permits.servers)

    @pytest.mark.parametrize("line", [b"599 No", b"205 No", b"200 \xff", b"200"])
    async def test_answer_with_an_odd_status_reaches_the_caller(
        self, harness: OddMessageHarness, line: bytes
    ) -> None:
        """Guards against a request that ran and ends without an answer because of its status."""
        harness.server.answer = ANSWER.replace(b"200 OK", line, 1)
        assert (await harness.send()) == (int(line[:3]), b"whole")

    @pytest.mark.parametrize(
        "line",
        [b"101 No", b"099 No", b"000 No", b"1000 No", b"-20 No", b"999 No", b"600 No"],
    )
    async def test_answer_without_a_final_status_is_a_failure(
        self, harness: OddMessageHarness, line: bytes
    ) -> None:
        """Guards against a request that ran and ends without an answer because of its status."""
        harness.server.answer = ANSWER.replace(b"200 OK", line, 1)
        assert (await harness.send())[0] == 504

    async def test_failure_to_read_an_answer_ends_only_the_attempt(
        self, harness: OddMessageHarness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a request that ends with its first attempt after an unforeseen fault."""
        outcomes: list[Exception | ServerReport] = [RecursionError("odd"), NO_REPORT]

        def read_report(response: object) -> ServerReport:
            outcome = outcomes.pop(0)
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        monkeypatch.setattr(upstream, "_read_report", read_report)
        assert (await harness.send())[0] == 200
        assert len(harness.permits.released) == 2

    async def test_seal_with_control_characters_is_no_seal(
        self, harness: OddMessageHarness
    ) -> None:
        """Guards against a success with another seal than that of its server."""
        harness.server.answer = ANSWER.replace(b"Seal: s", b"Seal: s\x01", 1)
        assert (await harness.send())[0] == 504

    @pytest.mark.parametrize(
        ("target", "headers", "status"),
        [
            (TARGET, b"X-Odd: \xff\r\n", 200),
            (TARGET, b"X-Odd: \x01\r\n", 400),
            (TARGET, b"Cookie: \xff=\xff; ;;\r\n", 200),
            (TARGET, b"X-Briarfork-Affinity-Key: \xff\r\n", 200),
            pytest.param(TARGET, build_deadline(400), 200, id="deadline of 400 digits"),
            pytest.param(TARGET, build_deadline(5000), 200, id="deadline of 5000 digits"),
            (b"/a/[", b"", 200),
            (b"/a/\xff", b"", 400),
            (b"/a/%zz%", b"", 200),
            (b"/a/?\x7f", b"", 400),
            (b"/a/x:1@y//..//", b"", 200),
            (b"//a/x", b"", 404),
        ],
    )
    async def test_odd_request_is_answered(
        self, harness: OddMessageHarness, target: bytes, headers: bytes, status: int
    ) -> None:
        """Guards against a request that was read and ends with a failure of the gateway."""
        assert (await harness.send(target, headers))[0] == status
        assert len(harness.permits.released) == MAX_PERMITS - len(harness.permits.servers)
