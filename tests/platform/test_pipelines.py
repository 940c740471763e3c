"""Tests of pipelined requests of callers: what runs ahead, the order of responses, and memory."""

from __future__ import annotations

import asyncio
import gc
import time
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import pytest

from briarfork.border.events import EventLog
from briarfork.border.graceful_server import GracefulServer
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.request import Response
from briarfork.platform import names
from briarfork.platform.callers import CallerConnection
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.pipelines import CallerPipelines
from briarfork.routing import RequestKind
from tests.gateway.harness import ROUTE
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway
from tests.gateway.harness import build_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.gateway.request import Request
    from briarfork.pools import ServerAddress
    from briarfork.requests import Deadline

ADDRESS = "127.62.9.14"
BOOKINGS = replace(ROUTE, name="b", prefix="/b/", kind=RequestKind.NON_IDEMPOTENT)
# No second attempt starts in parallel while a slow request runs.
LOOKUPS = replace(ROUTE, timeout_s=20.0, objective_s=10.0)
SLOW_S = 0.8
FAST_S = 0.05
CALLERS = 40
WARM_UP = 50
READ_S = 3.0
# Time after the first request of a caller in which the others reach a server.
REACH_S = 0.1


class TimedUpstream(ScriptedUpstream):
    """A server whose responses take the time in the path, as in `/a/50?1`, in milliseconds."""

    def __init__(self) -> None:
        super().__init__()
        self.started: dict[str, list[float]] = {}
        self.ended: dict[str, str] = {}
        self.released: list[str] = []
        self.running = 0
        self.most_running = 0
        self.answered = 0
        self.size_bytes = 5
        self.observe: Callable[[str], None] = lambda target: None

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
        target = request.target
        self.observe(target)
        self.started.setdefault(target, []).append(time.monotonic())
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.ended[target] = "cancelled"
        try:
            await asyncio.sleep(int(request.path.rpartition("/")[2]) / 1000.0)
            self.ended[target] = "answered"
            self.answered += 1
        finally:
            self.running -= 1
        body = target.encode().ljust(self.size_bytes)
        return Response(200, (), (body,), release=lambda: self.released.append(target))


def build_get(target: str, headers: str = "") -> bytes:
    head = f"GET {target} HTTP/1.1\r\nHost: h\r\n{names.ATTEMPT_ID}: {target}\r\n{headers}\r\n"
    return head.encode()


def build_post(target: str) -> bytes:
    head = f"POST {target} HTTP/1.1\r\nHost: h\r\n{names.ATTEMPT_ID}: {target}\r\n"
    return f"{head}Content-Length: 2\r\n\r\nok".encode()


class PipelineHarness:
    """A gateway with unlimited slots, and connections of callers to it."""

    def __init__(self) -> None:
        self.gateway = build_gateway()
        self.gateway.apply_route_table(build_table(LOOKUPS, BOOKINGS, version=2))
        self.upstream = TimedUpstream()
        permits = ScriptedPermits(self.gateway, *(f"i-{number}" for number in range(2000)))
        self.dispatcher = Dispatcher(self.gateway.view, permits, self.upstream, EventLog("test"))
        self.pipelines = CallerPipelines(self.gateway, self.dispatcher)
        handler = CallerRequestHandler(self.gateway, self.dispatcher)
        self.server = GracefulServer(handler.handle, handler_cancellation=True)
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> PipelineHarness:
        self.listener = await self.server.listen(
            lambda: CallerConnection(self.gateway, self.server, self.pipelines), ADDRESS, 0
        )
        return self

    async def __aexit__(self, *details: object) -> None:
        for writer in self.writers:
            writer.close()
        self.server.drain()
        self.server.abort()
        self.listener.close()
        await asyncio.sleep(0)

    async def warm_up(self) -> None:
        """Lets the gateway learn that responses are small."""
        reader, _ = await self.connect(b"".join(build_get(f"/a/0?{n}") for n in range(WARM_UP)))
        assert len(await read_responses(reader, WARM_UP)) == WARM_UP

    async def connect(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection and sends bytes."""
        address = self.listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address[:2])
        self.writers.append(writer)
        writer.write(data)
        return reader, writer


async def read_responses(reader: asyncio.StreamReader, count: int) -> list[tuple[int, str]]:
    """Returns the status and the body of up to so many responses."""
    responses: list[tuple[int, str]] = []
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        async with asyncio.timeout(READ_S):
            while len(responses) < count:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(head.lower().partition("content-length: ")[2].partition("\r")[0])
                body = (await reader.readexactly(length)).decode()
                responses.append((int(head.split(" ")[1]), body.strip()))
    return responses


class TestRunningAhead:
    async def test_fast_requests_reach_a_server_while_a_slow_one_runs(self) -> None:
        """Guards against requests that wait for the response of the one ahead of them."""
        targets = [f"/a/{1000 * SLOW_S:.0f}?s", *(f"/a/{1000 * FAST_S:.0f}?{i}" for i in range(5))]
        async with PipelineHarness() as harness:
            await harness.warm_up()
            readers = []
            for number in range(CALLERS):
                requests = b"".join(build_get(f"{target}&{number}") for target in targets)
                readers.append((await harness.connect(requests))[0])
            for number, reader in enumerate(readers):
                expected = [(200, f"{target}&{number}") for target in targets]
                assert await read_responses(reader, 6) == expected
            started = harness.upstream.started
            assert {len(starts) for starts in started.values()} == {1}
            for number in range(CALLERS):
                first, *others = (started[f"{target}&{number}"][0] for target in targets)
                assert max(others) - first < REACH_S

    async def test_booking_and_what_is_behind_it_wait_for_their_turn(self) -> None:
        """Guards against a request that must run once and runs before its turn is certain."""
        targets = ["/a/100", "/a/10", "/b/50", "/a/20"]
        async with PipelineHarness() as harness:
            requests = [build_get("/a/100"), build_get("/a/10"), build_post("/b/50")]
            reader, _ = await harness.connect(b"".join([*requests, build_get("/a/20")]))
            assert await read_responses(reader, 4) == [(200, target) for target in targets]
            started = [harness.upstream.started[target][0] for target in targets]
            assert started[1] - started[0] < 0.05
            assert started[2] - started[0] >= 0.1
            assert started[3] - started[2] >= 0.05

    async def test_requests_behind_an_upgrade_are_answered(self) -> None:
        """Guards against requests that are parsed only when the caller sends more bytes."""
        async with PipelineHarness() as harness:
            upgrade = build_get("/a/10", "Connection: Upgrade\r\nUpgrade: websocket\r\n")
            targets = [f"/a/10?{number}" for number in range(4)]
            reader, _ = await harness.connect(upgrade + b"".join(map(build_get, targets)))
            expected = [(200, target) for target in ("/a/10", *targets)]
            assert await read_responses(reader, 5) == expected

    async def test_number_of_concurrent_requests_is_bounded(self) -> None:
        """Guards against one caller that takes all slots."""
        async with PipelineHarness() as harness:
            requests = b"".join(build_get(f"/a/20?{number}") for number in range(60))
            reader, _ = await harness.connect(requests)
            assert len(await read_responses(reader, 60)) == 60
            assert harness.upstream.most_running == 16

    async def test_deadline_counts_from_the_head(self) -> None:
        """Guards against a request whose time begins when the ones ahead of it are answered."""
        async with PipelineHarness() as harness:
            late = build_post("/b/10").replace(
                b"\r\n\r\n", f"\r\n{names.DEADLINE_MS}: 200\r\n\r\n".encode()
            )
            reader, _ = await harness.connect(build_get("/a/300") + late)
            assert [status for status, _ in await read_responses(reader, 2)] == [200, 503]
            assert "/b/10" not in harness.upstream.started


class TestEndOfConnection:
    async def test_requests_end_with_their_caller(self) -> None:
        """Guards against work for a caller that has left."""
        async with PipelineHarness() as harness:
            requests = b"".join(build_get(f"/a/2000?{number}") for number in range(16))
            _, writer = await harness.connect(requests)
            while harness.upstream.running < 16:
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(0.5):
                while harness.upstream.running:
                    await asyncio.sleep(0.01)
            assert harness.pipelines.budget.requests == 0

    async def test_request_behind_a_closing_response_is_cancelled(self) -> None:
        """Guards against a response after the last one, and against work that nobody reads."""
        async with PipelineHarness() as harness:
            reader, _ = await harness.connect(build_get("/a/100") + build_get("/a/2000"))
            while harness.upstream.running < 2:
                await asyncio.sleep(0.01)
            (connection,) = harness.server._transports
            connection.cancel_following()
            await asyncio.sleep(0.01)
            assert harness.upstream.running == 1
            assert harness.upstream.ended["/a/2000"] == "cancelled"
            assert await read_responses(reader, 1) == [(200, "/a/100")]

    @pytest.mark.parametrize("behind", ["/a/10", "/a/2000"])
    @pytest.mark.parametrize("is_handler_started", [False, True])
    async def test_caller_leaves_when_the_turn_of_a_run_comes(
        self, behind: str, is_handler_started: bool
    ) -> None:
        """Guards against a run ahead that ends with neither its connection nor its handler."""
        async with PipelineHarness() as harness:
            await harness.warm_up()
            await harness.connect(build_get("/a/100") + build_get(behind))
            while harness.upstream.running < 2:
                await asyncio.sleep(0.01)
            connection = next(
                connection
                for connection in harness.server._transports
                if connection.has_unanswered_request
            )
            transport, take = connection.transport, connection._request_factory
            assert transport is not None
            assert take is not None

            def take_and_lose(*arguments: Any) -> Any:
                request = take(*arguments)
                if is_handler_started:
                    asyncio.get_running_loop().call_soon(transport.abort)
                else:
                    transport.abort()
                return request

            connection._request_factory = take_and_lose
            async with asyncio.timeout(0.5):
                while connection.connected:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)
            assert harness.upstream.running == 0
            if harness.upstream.ended[behind] == "answered":
                assert behind in harness.upstream.released

    @pytest.mark.parametrize("behind", [[], ["/a/10"]])
    async def test_connection_is_freed_when_its_caller_leaves(self, behind: list[str]) -> None:
        """Guards against memory of ended connections that waits for the garbage collector."""
        async with PipelineHarness() as harness:
            targets = ["/a/0", *behind]
            gc.collect()
            gc.disable()
            try:
                reader, writer = await harness.connect(b"".join(map(build_get, targets)))
                assert (await read_responses(reader, 1))[0] == (200, "/a/0")
                await asyncio.sleep(0.05)
                writer.close()
                async with asyncio.timeout(0.5):
                    while harness.server._transports or harness.upstream.running:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                assert not [item for item in gc.get_objects() if type(item) is CallerConnection]
            finally:
                gc.enable()
