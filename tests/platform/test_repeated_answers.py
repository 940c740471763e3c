"""Tests of servers that send a second copy of a refusal while a repetition of the request runs."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.border.events import EventLog
from briarfork.configuration import RequestClass
from briarfork.entry.connections import ServerConnections
from briarfork.entry.overflow import Permit
from briarfork.errors import BriarforkError
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.request import Request
from briarfork.platform.upstream import HttpUpstream
from briarfork.pools import ServerAddress
from briarfork.routing import RequestKind
from tests.gateway.harness import ROUTE
from tests.gateway.harness import SETTINGS
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import build_gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.gateway.permits import SlotRequirements

HOST = "127.0.0.1"
REQUEST_ID = "r1"
COPY_DELAY_S = 0.02
RUN_S = 0.1


class RepeatingServer:
    """Refuses the first request, and refuses it again on a connection that is used once more.

    It takes over its address from another server at once, so it refuses requests that are pinned
    to the name of the former server.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.refusals = 0
        self.runs = 0
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        refusal = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not self.refusals:
                    self.refusals += 1
                    refusal = self._build_refusal(head)
                    writer.write(refusal)
                    continue
                self.runs += 1
                await asyncio.sleep(COPY_DELAY_S)
                writer.write(refusal)
                await asyncio.sleep(RUN_S)
                writer.write(self._build_response())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _build_refusal(self, head: bytes) -> bytes:
        is_pinned = f"Pin-Instance: {self.name}\r\n".encode() in head
        status = 503 if is_pinned else 421
        return (
            f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\nX-Briarfork-Not-Executed: 1\r\n"
            f"X-Briarfork-Attempt-Id: {REQUEST_ID}\r\n\r\n"
        ).encode()

    def _build_response(self) -> bytes:
        return (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Briarfork-Response-Seal: s\r\n"
            f"X-Briarfork-Attempt-Id: {REQUEST_ID}\r\n\r\nwhole"
        ).encode()


class PermitsForOnePort(ScriptedPermits):
    """Grants permits for servers at one address."""

    port = 0

    async def acquire(self, request: SlotRequirements) -> Permit:
        permit = await super().acquire(request)
        address = ServerAddress(permit.server.name, HOST, self.port)
        return Permit("p", request.service, "a", RequestClass.SHORT, address, "vm")


@asynccontextmanager
async def open_dispatcher(
    server: RepeatingServer, *names: str, max_attempts: int = 3
) -> AsyncIterator[Dispatcher]:
    """Yields a dispatcher that is granted slots of servers with these names in turn."""
    listener = await asyncio.start_server(server.serve, HOST, 0)
    route = replace(ROUTE, kind=RequestKind.NON_IDEMPOTENT, max_attempts=max_attempts)
    gateway = build_gateway(route)
    permits = PermitsForOnePort(gateway, *names)
    permits.port = listener.sockets[0].getsockname()[1]
    connections = ServerConnections(SETTINGS)
    try:
        yield Dispatcher(gateway.view, permits, HttpUpstream(connections), EventLog("test"))
    finally:
        await connections.close()
        listener.close()


async def send(dispatcher: Dispatcher) -> int | str:
    """Returns the status of the response, or the kind of the error that the caller gets."""
    request = Request(REQUEST_ID, "h", "POST", "/a/x", (), (), "", 3.0)
    try:
        return (await dispatcher.handle(request)).status
    except BriarforkError as error:
        return error.kind.value


class TestRepeatedRefusal:
    async def test_retry_at_the_same_server_runs_once(self) -> None:
        """Guards against a copy of a refusal that makes a running request be sent once more."""
        server = RepeatingServer("i-1")
        async with open_dispatcher(server, "i-1", "i-1", "i-1") as dispatcher:
            assert await send(dispatcher) == 200
        assert server.runs == 1

    async def test_last_attempt_is_not_reported_as_not_run(self) -> None:
        """Guards against refusing a request that runs, when its last attempt meets the copy."""
        server = RepeatingServer("i-1")
        async with open_dispatcher(server, "i-1", "i-1", max_attempts=2) as dispatcher:
            assert await send(dispatcher) == 200
        assert server.runs == 1

    async def test_server_that_took_over_the_address_runs_once(self) -> None:
        """Guards against a copy of status 421 from the server that has the address now."""
        server = RepeatingServer("i-2")
        async with open_dispatcher(server, "i-1", "i-2", "i-2") as dispatcher:
            assert await send(dispatcher) == 200
        assert server.runs == 1
