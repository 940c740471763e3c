"""Pools of kept connections to backend servers, and their retirement."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING
from typing import Protocol

import aiohttp
from aiohttp.helpers import _EXC_SENTINEL

from briarfork.border.connector import DirectConnector
from briarfork.border.responses import BoundedResponseHandler
from briarfork.border.sending import build_send_trace

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from aiohttp.connector import Connection

    from briarfork.border.responses import ResponseFault
    from briarfork.border.settings import Settings
    from briarfork.pools import ServerAddress

SWEEP_INTERVAL_S = 1.0
# Longest idle time of a connection before a non-idempotent request. Servers close kept connections
# after 5 s or more, and a request sent during the close ends with an unknown outcome. A new
# connection for each request avoids this too, but cost 1% and 11% of the goodput of requests of
# 40 ms under overload.
NON_IDEMPOTENT_IDLE_S = 1.0


class ConnectionKind(Enum):
    """Which connections a request may use."""

    KEPT = "kept"
    # A kept connection that the server is not about to close.
    RECENT = "recent"
    # A new connection that is closed after the request.
    OWN = "own"


PoolKey = tuple[str, int, ConnectionKind]


class ServerProtocol(BoundedResponseHandler):
    """Reports each end of a connection to the reader of a response.

    If data and a reset arrive together, libuv reports the end of the stream instead of the reset;
    only the error of the socket shows the reset.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_fault: Callable[[ResponseFault], None] | None = None,
    ) -> None:
        super().__init__(loop, on_fault)
        self.was_reset = False

    def eof_received(self) -> None:
        """Records whether the stream ended because the connection was reset."""
        connection = self.transport.get_extra_info("socket") if self.transport else None
        if connection is not None:
            self.was_reset = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def set_exception(self, exc: BaseException, exc_cause: BaseException = _EXC_SENTINEL) -> None:
        """Ends the response, also if its body is being read.

        aiohttp does not pass an error in the encoding of a body on to its reader, who would wait.
        """
        payload = self._payload
        super().set_exception(exc, exc_cause)
        if payload is not None and payload.exception() is None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"malformed body: {exc_cause}"))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records a reset that the event loop reports."""
        self.was_reset = self.was_reset or exc is not None
        super().connection_lost(exc)


class ServerConnector(DirectConnector):
    """Opens connections to backend servers."""

    handler_class = ServerProtocol


class ServerResponse(aiohttp.ClientResponse):
    """A response that knows how its connection ended, even after the connection was released.

    aiohttp takes a reset for the end of a body that has no length.
    """

    _server_protocol: ServerProtocol | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Reads the status line and headers."""
        protocol = connection.protocol
        assert isinstance(protocol, ServerProtocol)
        self._server_protocol = protocol
        return await super().start(connection)

    def close_connection(self) -> None:
        """Closes the connection, also if the end of the response has returned it to the pool."""
        if self._server_protocol is not None:
            self._server_protocol.close()
        self.close()

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended without an orderly close."""
        return self._server_protocol is None or self._server_protocol.was_reset


@dataclass(slots=True)
class ConnectionPool:
    """Kept connections to one server that were opened in the same period.

    A pool is retired as a whole: no new request uses it, and it is closed after its last request.
    This way no connection gets a request once it has reached its maximum age.
    """

    session: aiohttp.ClientSession
    opened_at: float
    in_use: int = 0


class ResponseObserver(Protocol):
    """Is told of faulty responses."""

    def record_fault(self, address: str, port: int, fault: ResponseFault) -> None:
        """Records that a connection to a server was closed because of what the server sent."""


class ServerConnections:
    """Connection pools of all backend servers, separate ones for each kind of connection.

    Attributes:
        observer: Is told of each fault that closes a connection.
    """

    def __init__(self, settings: Settings) -> None:
        self.observer: ResponseObserver | None = None
        self._settings = settings
        self._pools: dict[PoolKey, ConnectionPool] = {}
        self._retired: list[ConnectionPool] = []
        self._sweep_needed = asyncio.Event()

    @contextmanager
    def borrow_session(
        self, server: ServerAddress, kind: ConnectionKind
    ) -> Iterator[aiohttp.ClientSession]:
        """Yields the session for one request."""
        pool = self._find((server.address, server.port, kind))
        pool.in_use += 1
        try:
            yield pool.session
        finally:
            pool.in_use -= 1
            if not pool.in_use and pool in self._retired:
                self._sweep_needed.set()

    def retire_connections(self, server: ServerAddress) -> None:
        """Retires all kept connections to a server after one of them became unresponsive."""
        for kind in ConnectionKind:
            self._retire((server.address, server.port, kind))

    async def run(self) -> None:
        """Retires pools that have reached their maximum age and closes retired ones."""
        try:
            while True:
                limit = time.monotonic() - self._settings.timeouts.connection_age_s
                for key, pool in list(self._pools.items()):
                    if pool.opened_at <= limit:
                        self._retire(key)
                await self._close_retired()
                self._sweep_needed.clear()
                try:
                    async with asyncio.timeout(SWEEP_INTERVAL_S):
                        await self._sweep_needed.wait()
                except TimeoutError:
                    continue
        except asyncio.CancelledError:
            await self.close()
            raise

    def _find(self, key: PoolKey) -> ConnectionPool:
        now = time.monotonic()
        pool = self._pools.get(key)
        if pool is not None:
            if now - pool.opened_at < self._settings.timeouts.connection_age_s:
                return pool
            self._retire(key)
        pool = ConnectionPool(self._create_session(key), now)
        self._pools[key] = pool
        return pool

    def _retire(self, key: PoolKey) -> None:
        pool = self._pools.pop(key, None)
        if pool is not None:
            self._retired.append(pool)
            self._sweep_needed.set()

    async def _close_retired(self) -> None:
        for pool in [item for item in self._retired if not item.in_use]:
            self._retired.remove(pool)
            await pool.session.close()

    async def close(self) -> None:
        """Closes all connections; later requests open new ones."""
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        for pool in pools:
            await pool.session.close()

    def _choose_idle_s(self, kind: ConnectionKind) -> float | None:
        """Returns the longest idle time of connections, None if they are not kept."""
        age_s = self._settings.timeouts.connection_age_s
        if kind is ConnectionKind.OWN:
            return None
        return min(NON_IDEMPOTENT_IDLE_S, age_s) if kind is ConnectionKind.RECENT else age_s

    def _report_fault(self, address: str, port: int, fault: ResponseFault) -> None:
        if self.observer is not None:
            self.observer.record_fault(address, port, fault)

    def _create_session(self, key: PoolKey) -> aiohttp.ClientSession:
        address, port, kind = key
        timeouts = self._settings.timeouts
        idle_s = self._choose_idle_s(kind)
        on_fault = partial(self._report_fault, address, port)
        if idle_s is None:
            connector = ServerConnector(on_fault, limit=0, force_close=True)
        else:
            connector = ServerConnector(on_fault, limit=0, keepalive_timeout=idle_s)
        return aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=timeouts.connect_s),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type", "Accept"),
            read_bufsize=self._settings.limits.chunk_bytes,
            trace_configs=[build_send_trace()],
            response_class=ServerResponse,
        )
