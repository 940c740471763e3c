"""Kept connections to backend servers, and when they are given up."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import aiohttp
from aiohttp.client_proto import ResponseHandler

from briarfork.border.connector import DirectConnector
from briarfork.border.sending import build_send_trace

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from briarfork.border.settings import Settings
    from briarfork.pools import ServerAddress

SWEEP_S = 1.0
# Longest idle time before a non-idempotent request. Servers close kept connections after 5 s or
# more; a request that meets the close ends as unknown without need. A fresh connection for each
# request avoids this too, but cost 1% and 11% of the goodput of requests of 40 ms under overload.
CAUTIOUS_IDLE_S = 1.0

# Address, port and whether the requests are non-idempotent.
Key = tuple[str, int, bool]


class ServerProtocol(ResponseHandler):
    """Tells a reset from an orderly close.

    Where bytes and a reset arrive together, libuv reports the end of the stream and not the
    reset; the error of the socket still shows it.
    """

    __slots__ = ("was_reset",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.was_reset = False

    def eof_received(self) -> None:
        """Notes whether the stream ended because the connection was reset."""
        connection = self.transport.get_extra_info("socket") if self.transport else None
        if connection is not None:
            self.was_reset = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes a reset that the event loop reports."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class CleanConnector(DirectConnector):
    """Never hands out a kept connection on which bytes arrived that nobody asked for.

    The library would take them as the response to the next request.
    """

    def __init__(self, idle_s: float) -> None:
        super().__init__(limit=0, keepalive_timeout=idle_s)
        # The library has no public way to choose the protocol of its connections.
        loop = asyncio.get_running_loop()
        self._factory = partial(ServerProtocol, loop=loop)  # type: ignore[assignment]

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Returns a connection without unread bytes."""
        while True:
            connection = await super().connect(req, traces, timeout)
            if connection.protocol is None or not connection.protocol.should_close:
                return connection
            connection.close()


class TracedResponse(aiohttp.ClientResponse):
    """An answer that can tell how its connection ended, also after the connection was given back.

    The library takes a reset for the end of a body that has no length.
    """

    _ended_by: ServerProtocol | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        protocol = connection.protocol
        assert isinstance(protocol, ServerProtocol)
        self._ended_by = protocol
        return await super().start(connection)

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended without an orderly close."""
        return self._ended_by is None or self._ended_by.was_reset


@dataclass(slots=True)
class Generation:
    """Kept connections to one server that were opened in the same period.

    A generation is given up as a whole: no new request uses it, and it is closed when its last
    request has ended. So no connection takes a request after its age.
    """

    session: aiohttp.ClientSession
    opened_at: float
    in_use: int = 0


class ServerConnections:
    """Sessions to backend servers, with generations of kept connections for each server.

    Non-idempotent requests have generations of their own, whose connections stay idle for a short
    time only.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._current: dict[Key, Generation] = {}
        self._retired: list[Generation] = []
        self._swept = asyncio.Event()

    @contextmanager
    def use(self, server: ServerAddress, cautious: bool) -> Iterator[aiohttp.ClientSession]:
        """Gives the session for one request.

        Args:
            server: The backend server.
            cautious: Whether the request must not meet a connection that the server may be closing.
        """
        generation = self._find((server.address, server.port, cautious))
        generation.in_use += 1
        try:
            yield generation.session
        finally:
            generation.in_use -= 1
            if not generation.in_use and generation in self._retired:
                self._swept.set()

    def give_up(self, server: ServerAddress) -> None:
        """Stops the use of all kept connections to a server after one of them went silent."""
        self._retire((server.address, server.port, True))
        self._retire((server.address, server.port, False))

    async def run(self) -> None:
        """Closes connections that are given up or have reached their age."""
        try:
            while True:
                limit = time.monotonic() - self._settings.timeouts.connection_age_s
                for key, generation in list(self._current.items()):
                    if generation.opened_at <= limit:
                        self._retire(key)
                await self._close_unused()
                self._swept.clear()
                try:
                    async with asyncio.timeout(SWEEP_S):
                        await self._swept.wait()
                except TimeoutError:
                    continue
        finally:
            await self.close()

    def _find(self, key: Key) -> Generation:
        now = time.monotonic()
        generation = self._current.get(key)
        if generation is not None:
            if now - generation.opened_at < self._settings.timeouts.connection_age_s:
                return generation
            self._retire(key)
        age_s = self._settings.timeouts.connection_age_s
        idle_s = min(CAUTIOUS_IDLE_S, age_s) if key[2] else age_s
        generation = Generation(self._open_session(idle_s), now)
        self._current[key] = generation
        return generation

    def _retire(self, key: Key) -> None:
        generation = self._current.pop(key, None)
        if generation is not None:
            self._retired.append(generation)
            self._swept.set()

    async def _close_unused(self) -> None:
        for generation in [item for item in self._retired if not item.in_use]:
            self._retired.remove(generation)
            await generation.session.close()

    async def close(self) -> None:
        """Closes all connections."""
        for generation in [*self._current.values(), *self._retired]:
            await generation.session.close()

    def _open_session(self, idle_s: float) -> aiohttp.ClientSession:
        timeouts = self._settings.timeouts
        return aiohttp.ClientSession(
            connector=CleanConnector(idle_s),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=timeouts.connect_s),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type", "Accept"),
            read_bufsize=self._settings.limits.chunk_bytes,
            trace_configs=[build_send_trace()],
            response_class=TracedResponse,
        )
