"""Tests of planned stops: every order of a request's parts, the stop and the end of the handler."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from briarfork.border.events import EventLog
from briarfork.border.graceful_server import GracefulServer
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.request import Response
from briarfork.platform import names
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.pipelines import CallerPipelines
from tests.gateway.harness import RESPONSE
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.gateway.request import Request
    from briarfork.pools import ServerAddress
    from briarfork.requests import Deadline

ADDRESS = "127.62.9.11"
GET = f"GET /a/x HTTP/1.1\r\nHost: h\r\n{names.ATTEMPT_ID}: r1\r\n\r\n".encode()
BODY = b"hello"
HEAD = (
    f"POST /a/x HTTP/1.1\r\nHost: h\r\n{names.ATTEMPT_ID}: r1\r\nContent-Length: 5\r\n\r\n".encode()
)
STOP_S = 1.5
# A stop that has nothing to wait for takes much less.
CLOSE_S = 2.0


class End(Enum):
    """When the server responds."""

    INSTANT = "instant"
    LATE = "late"
    NEVER = "never"


# Requests whose handlers never end are broken off early in the stop.
BREAK_OFF_S = {End.INSTANT: 1.0, End.LATE: 1.0, End.NEVER: 0.02}


class Step(Enum):
    """One event of a plan; the value is what the caller sends."""

    HEAD_START = HEAD[:20]
    HEAD_END = HEAD[20:]
    HEAD = HEAD
    BODY = BODY
    HEAD_AND_BODY = HEAD + BODY
    BODY_AND_NEXT = BODY + GET
    STOP = b"stop"
    CLOSE = b"close"


SENDINGS = st.sampled_from(
    [
        [Step.HEAD, Step.BODY],
        [Step.HEAD_START, Step.HEAD_END, Step.BODY],
        [Step.HEAD_AND_BODY],
        [Step.HEAD, Step.BODY_AND_NEXT],
    ]
)


@dataclass(frozen=True)
class Plan:
    """The order of events and the turns of the event loop after each.

    Attributes:
        is_kept: Whether the connection has served a request before.
    """

    steps: tuple[Step, ...]
    turns: tuple[int, ...]
    end: End
    is_kept: bool


@st.composite
def build_plans(draw: st.DrawFn) -> Plan:
    steps = list(draw(SENDINGS))
    steps.insert(draw(st.integers(0, len(steps))), Step.STOP)
    if draw(st.booleans()):
        steps.insert(draw(st.integers(0, len(steps))), Step.CLOSE)
    turns = draw(st.lists(st.integers(0, 6), min_size=len(steps), max_size=len(steps)))
    return Plan(tuple(steps), tuple(turns), draw(st.sampled_from(End)), draw(st.booleans()))


class HeldUpstream(ScriptedUpstream):
    """A server that responds when the plan says so."""

    def __init__(self, end: End, response: Response = RESPONSE) -> None:
        super().__init__()
        self.end = end
        self.response = response

    async def send(
        self,
        request: Request,
        server: ServerAddress,
        deadline: Deadline,
        *,
        service: str,
        idempotent: bool,
        repeated: bool,
    ) -> Response:
        self.sent.append(server.name)
        if self.end is not End.INSTANT:
            await asyncio.sleep(0.01 if self.end is End.LATE else 60.0)
        return self.response


class ReadingConnection(CallerConnection):
    """Counts the bytes that are read and not discarded."""

    read_bytes = 0

    def data_received(self, data: bytes) -> None:
        if not (self._is_ending or self._force_close):
            self.read_bytes += len(data)
        super().data_received(data)


class StopHarness:
    """A gateway with a caller's connection, and its planned stop."""

    def __init__(self, end: End, response: Response = RESPONSE) -> None:
        self.gateway = build_gateway()
        permits = ScriptedPermits(self.gateway, *(f"i-{number}" for number in range(9)))
        self.upstream = HeldUpstream(End.INSTANT, response)
        self.dispatcher = Dispatcher(self.gateway.view, permits, self.upstream, EventLog("test"))
        handler = CallerRequestHandler(self.gateway, self.dispatcher)
        self.server = GracefulServer(handler.handle, handler_cancellation=True)
        pipelines = CallerPipelines(self.gateway, self.dispatcher)
        self.connection = ReadingConnection(self.gateway, self.server, pipelines)
        self.end = end
        self.read_at_stop = 0

    async def connect(self, *, is_kept: bool = False) -> None:
        listener = await self.server.listen(lambda: self.connection, ADDRESS, 0)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, listener.sockets[0].getsockname())
        self.reader, self.writer = await asyncio.open_connection(sock=client, limit=4096)
        if is_kept:
            self.writer.write(GET)
            await self.reader.readuntil(b"".join(RESPONSE.body))
        self.connection.read_bytes = 0
        self.upstream.sent.clear()
        self.upstream.end = self.end

    async def stop(self) -> int:
        """Stops the server as the program does and returns how many requests were cut."""
        started = time.monotonic()
        self.gateway.draining = True
        self.read_at_stop = self.connection.read_bytes
        self.server.drain()
        await self.server.wait_until_closed(started + BREAK_OFF_S[self.end])
        self.dispatcher.break_off()
        await self.server.wait_until_closed(started + STOP_S)
        return self.server.abort()

    async def read_responses(self) -> list[tuple[int, bytes]]:
        """Returns the status and the body of each response up to the end of the connection."""
        responses = []
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                length = int(head.lower().partition("content-length: ")[2].partition("\r")[0])
                body = await self.reader.readexactly(length)
                responses.append((int(head.split(" ")[1]), body))
        return responses


async def play(plan: Plan) -> None:
    harness = StopHarness(plan.end)
    await harness.connect(is_kept=plan.is_kept)
    stop = None
    for step, turns in zip(plan.steps, plan.turns, strict=True):
        if step is Step.STOP:
            stop = asyncio.create_task(harness.stop())
        elif step is Step.CLOSE:
            harness.writer.close()
        elif not harness.writer.is_closing():
            harness.writer.write(step.value)
        for _ in range(turns):
            await asyncio.sleep(0)
    assert stop is not None
    async with asyncio.timeout(CLOSE_S):
        responses = await harness.read_responses()
        harness.writer.close()
        assert await stop == 0
    if Step.CLOSE in plan.steps:
        return
    expected = 2 if Step.BODY_AND_NEXT in plan.steps else 1
    if harness.read_at_stop or responses:
        # Only a request that reached no server is reported as not run.
        sent_status = 504 if plan.end is End.NEVER else 200
        statuses = [sent_status] * len(harness.upstream.sent)
        assert [status for status, _ in responses] == statuses + [503] * (expected - len(statuses))
    else:
        assert harness.connection.read_bytes == 0


class TestPlannedStop:
    @pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
    def test_request_is_answered_or_its_connection_closed_before_it_is_read(
        self, new_loop: Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        """Guards against requests that a stop cuts after a byte of them has been read."""

        @given(build_plans())
        def check(plan: Plan) -> None:
            with asyncio.Runner(loop_factory=new_loop) as runner:
                runner.run(play(plan))

        check()

    @pytest.mark.parametrize("header", [b"", b"Connection: close\r\n"], ids=["kept", "closed"])
    @pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
    def test_process_waits_until_a_slow_caller_has_its_whole_response(
        self, new_loop: Callable[[], asyncio.AbstractEventLoop], header: bytes
    ) -> None:
        """Guards against a process that ends while its send buffers hold the end of a response."""
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(self._read_slowly(header))

    async def _read_slowly(self, header: bytes) -> None:
        body = bytes(8_000_000)
        harness = StopHarness(End.INSTANT, Response(200, (), (body,)))
        await harness.connect()
        assert harness.connection.transport is not None
        # The send buffer takes the response as a whole, so that the handler ends at once.
        harness.connection.transport.set_write_buffer_limits(high=2 * len(body))
        harness.writer.write(GET[:-2] + header + GET[-2:])
        while not harness.upstream.sent or harness.connection.has_unanswered_request:
            await asyncio.sleep(0)
        stop = asyncio.create_task(harness.server.stop(time.monotonic() + CLOSE_S))
        await asyncio.sleep(0.1)
        assert not stop.done()
        # Input that is left unread at a close would reset the connection.
        harness.writer.write(b"\r\n")
        assert await harness.read_responses() == [(200, body)]
        harness.writer.close()
        assert await stop == 0
