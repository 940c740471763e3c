"""Uploads to servers that answer, refuse or break off at any moment of a long body."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarfork.border.events import EventLog
from briarfork.configuration import RequestClass
from briarfork.entry.connections import ServerConnections
from briarfork.entry.overflow import Permit
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import BriarforkError
from briarfork.errors import Outcome
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.request import Request
from briarfork.platform import names
from briarfork.platform.upstream import HttpUpstream
from briarfork.pools import ServerAddress
from briarfork.routing import CallerLimits
from briarfork.routing import RequestKind
from tests.gateway.harness import ROUTE
from tests.gateway.harness import SETTINGS
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import build_gateway

if TYPE_CHECKING:
    from briarfork.gateway.permits import SlotRequirements

HOST = "127.62.9.11"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# More than the buffers of a connection hold, so that the rest waits in the gateway.
BODY_BYTES = 6_000_000
PART_BYTES = 60_000
RECEIVE_BUFFER_BYTES = 4096
TIMEOUT_S = 0.3
# Enough for the whole body, 4 KB at a time, beside other load.
LONG_TIMEOUT_S = 2.0
# A second copy arrives this long before the response to the request that it meets.
COPY_LEAD_S = 0.01


@dataclass(frozen=True)
class Step:
    """What a server does with one request.

    Attributes:
        read: Part of the body that it reads first.
        runs: Whether it runs the request then.
        answer: "complete", "refusal", "repeated refusal", "truncated", "none" or "silence". The
            second copy of a repeated refusal meets the next request on the connection.
        end: What it does with the connection: "keep" reads the rest, "close" or "reset" it.
    """

    read: float
    runs: bool
    answer: str
    end: str


@dataclass
class ScriptedServer:
    """Handles each request by the next step; afterwards it answers all of them completely."""

    steps: list[Step]
    runs: list[str] = field(default_factory=list)
    foreign_bytes: list[bytes] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late_copies: list[bytes] = []
        try:
            while await self._serve_one(reader, writer, late_copies):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        late_copies: list[bytes],
    ) -> bool:
        """Handles one request; returns whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        if not head.startswith("POST /a/x HTTP/1.1\r\n"):
            self.foreign_bytes.append(head.encode())
            return False
        headers = dict(line.split(": ", 1) for line in head.splitlines()[1:] if line)
        request_id, length = headers[names.ATTEMPT_ID], int(headers["Content-Length"])
        step = self.steps.pop(0) if self.steps else Step(1.0, True, "complete", "keep")
        size = int(step.read * length)
        await self._read_body(reader, request_id, size)
        if step.runs:
            self.runs.append(request_id)
        if late_copies:
            writer.write(late_copies.pop())
            await asyncio.sleep(COPY_LEAD_S)
        if step.answer == "repeated refusal":
            late_copies.append(build_answer(step.answer, request_id))
        writer.write(build_answer(step.answer, request_id))
        await writer.drain()
        if step.answer == "silence":
            await reader.read()
            return False
        if step.end == "keep" and step.answer in ("complete", "refusal", "repeated refusal"):
            await self._read_body(reader, request_id, length - size)
            return True
        if step.end == "reset":
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False

    async def _read_body(self, reader: asyncio.StreamReader, request_id: str, size: int) -> None:
        body = await reader.readexactly(size)
        if body.strip(request_id[-1].encode()):
            self.foreign_bytes.append(body[:100])


def build_answer(answer: str, request_id: str) -> bytes:
    echo = f"{names.ATTEMPT_ID}: {request_id}\r\n"
    sealed = f"{echo}{names.RESPONSE_SEAL}: s\r\n"
    answers = {
        "complete": f"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{sealed}\r\nwhole",
        "truncated": f"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{sealed}\r\nwh",
        "refusal": (
            f"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n{echo}{names.NOT_EXECUTED}: 1\r\n\r\n"
        ),
    }
    return answers.get(answer.removeprefix("repeated "), "").encode()


class AddressedPermits(ScriptedPermits):
    """Grants slots of servers in their order, of those that were tried if there are no others."""

    ports: list[int]

    async def acquire(self, request: SlotRequirements) -> Permit:
        untried = [port for port in self.ports if f"i-{port}" not in request.avoid]
        port = (untried or self.ports)[0]
        address = ServerAddress(f"i-{port}", HOST, port)
        return Permit("p", request.service, "a", RequestClass.SHORT, address, "vm")


async def upload(dispatcher: Dispatcher, request_id: str, body_bytes: int, timeout_s: float) -> int:
    """Sends an upload whose body consists of the last letter of its id; returns the status."""
    body = (request_id[-1].encode() * PART_BYTES,) * (body_bytes // PART_BYTES)
    request = Request(request_id, "h", "POST", "/a/x", (("Host", "h"),), body, "", timeout_s)
    try:
        return (await dispatcher.handle(request)).status
    except BriarforkError as error:
        response = ERROR_RESPONSES[error.kind]
        assert response.status in (502, 503, 504)
        assert (response.status == 503) == (response.outcome is Outcome.NOT_RUN)
        return response.status


async def play(
    steps: list[list[Step]], body_bytes: int = BODY_BYTES, timeout_s: float = TIMEOUT_S
) -> tuple[dict[str, int], list[ScriptedServer]]:
    """Sends two uploads, one after the other, through servers that follow the steps."""
    gateway = build_gateway(
        replace(ROUTE, kind=RequestKind.UPLOAD), limits=CallerLimits(body_bytes=2 * BODY_BYTES)
    )
    servers = [ScriptedServer(list(item)) for item in steps]
    listeners = []
    for server in servers:
        listener = socket.create_server((HOST, 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listeners.append(await asyncio.start_server(server.serve, sock=listener))
    permits = AddressedPermits(gateway)
    permits.ports = [item.sockets[0].getsockname()[1] for item in listeners]
    connections = ServerConnections(SETTINGS)
    dispatcher = Dispatcher(gateway.view, permits, HttpUpstream(connections), EventLog("test"))
    statuses = {
        name: await upload(dispatcher, name, body_bytes, timeout_s) for name in ("r-a", "r-b")
    }
    await connections.close()
    for listening in listeners:
        listening.close()
    return statuses, servers


STEPS = st.one_of(
    st.builds(
        Step,
        read=st.sampled_from([0.0, 0.3, 1.0]),
        runs=st.booleans(),
        answer=st.sampled_from(["complete", "truncated", "none", "silence"]),
        end=st.sampled_from(["keep", "close", "reset"]),
    ).map(lambda step: replace(step, runs=step.runs or step.answer == "complete")),
    # Only a server that did not run the request refuses it.
    st.builds(
        Step,
        read=st.sampled_from([0.0, 0.3, 1.0]),
        runs=st.just(False),
        answer=st.sampled_from(["refusal", "repeated refusal"]),
        end=st.sampled_from(["keep", "close", "reset"]),
    ),
)


class TestUploads:
    @settings(max_examples=40)
    @given(steps=st.lists(st.lists(STEPS, min_size=1, max_size=2), min_size=2, max_size=2))
    def test_upload_runs_at_most_once_and_refusals_are_true(self, steps: list[list[Step]]) -> None:
        """Guards against an upload that runs twice, or that ran although it was refused."""
        statuses, servers = asyncio.run(play(steps))
        runs = [name for server in servers for name in server.runs]
        for name, status in statuses.items():
            assert runs.count(name) <= 1
            assert status != 503 or name not in runs
            assert status != 200 or name in runs
        assert [server.foreign_bytes for server in servers] == [[], []]

    @settings(max_examples=100)
    @given(steps=st.lists(st.lists(STEPS, min_size=1, max_size=3), min_size=1, max_size=2))
    def test_refusals_are_true_whatever_a_server_sends_twice(self, steps: list[list[Step]]) -> None:
        """Guards against a request that was answered as not run and has run, or runs later.

        With one server, each retry goes to the server that has just refused the request.
        """
        statuses, servers = asyncio.run(play(steps, body_bytes=PART_BYTES))
        runs = [name for server in servers for name in server.runs]
        for name, status in statuses.items():
            assert runs.count(name) <= 1
            assert status != 503 or name not in runs
            assert status != 200 or name in runs

    async def test_answer_before_the_end_of_the_body_is_passed_on(self) -> None:
        """Guards against the next request in place of the rest of a long body."""
        early = Step(0.3, True, "complete", "keep")
        statuses, servers = await play([[early], []], timeout_s=LONG_TIMEOUT_S)
        assert statuses == {"r-a": 200, "r-b": 200}
        assert servers[0].foreign_bytes == []

    async def test_upload_that_is_refused_within_its_body_is_sent_elsewhere(self) -> None:
        """Guards against failing an upload whose body is still whole in memory."""
        refusal = Step(0.3, False, "refusal", "keep")
        statuses, servers = await play([[refusal], []], timeout_s=LONG_TIMEOUT_S)
        assert statuses["r-a"] == 200
        assert "r-a" in servers[1].runs
