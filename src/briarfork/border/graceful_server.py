"""HTTP server that ends its connections without cutting a request or a response."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from briarfork.border.listening import listen_when_free

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader

# How long input is discarded after the last response of a connection. An earlier close would reset
# the connection if the peer goes on sending, and the peer could lose the response.
LINGER_S = 2.0
# Longest time in which the peer leaves a whole send buffer unread; until then no further request of
# its connection is served.
UNREAD_RESPONSE_S = 15.0
# Further time for a partly read head when its connection has been idle for too long.
PARTIAL_HEAD_S = 3.0
# Longest request line and headers together. The HTTP library bounds each line and their number,
# which allows 2 MB for each connection.
MAX_HEAD_BYTES = 65536


class GracefulConnection(web.RequestHandler):
    """Server side of a connection; each request of which a byte was read is served.

    The HTTP library itself closes a connection as idle while a request is partly read, or while its
    handler has not started yet.
    """

    __slots__ = (
        "_answered_count",
        "_has_partial_head",
        "_head_bytes",
        "_is_draining",
        "_is_ending",
        "_last_body",
        "_lost",
        "_max_head_bytes",
        "_noted_count",
    )

    def __init__(
        self, manager: web.Server, *, max_head_bytes: int = MAX_HEAD_BYTES, **options: Any
    ) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        # The HTTP library discards the messages that it parsed in the same call before an error.
        # With a limit of one message, requests ahead of a malformed one are answered.
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=1,
        )
        self._max_head_bytes = max_head_bytes
        self._head_bytes = 0
        self._answered_count = 0
        # Requests that have been read and passed to `note_read`.
        self._noted_count = 0
        self._has_partial_head = False
        self._is_draining = False
        self._is_ending = False
        self._last_body: StreamReader | None = None
        self._lost = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether responses tell the peer that the connection ends."""
        return self._is_draining

    @property
    def has_unanswered_request(self) -> bool:
        """Whether a request has been read whose response is not in the send buffer."""
        return self._request_count > self._answered_count

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has been read since the last response."""
        return not (self.has_unanswered_request or self._has_partial_head or self._is_in_body)

    def drain(self) -> None:
        """Ends the connection once it is idle."""
        self._is_draining = True
        if self.is_idle:
            self._close_idle()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; discards them after the last response."""
        if self._is_ending:
            return
        count = self._request_count
        was_in_body = self._is_in_body
        super().data_received(data)
        self._note_parsed()
        self._parse_rest(count, was_in_body=was_in_body)
        if data and self._request_count == count and not was_in_body:
            self._has_partial_head = True
            self._head_bytes += len(data)
            if self._head_bytes > self._max_head_bytes:
                self._reject_head()

    def _parse_rest(self, count: int, *, was_in_body: bool) -> None:
        """Parses the messages behind the first one of the bytes that were received.

        Args:
            count: Number of requests before that message.
            was_in_body: Whether its head had been received before.
        """
        while (self._request_count > count or was_in_body) and not self._is_in_body:
            if self._parser is None or len(self._messages) >= self._max_msg_queue_size:
                return
            if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
                self._is_ending = True
                return
            count, was_in_body = self._request_count, False
            self._parser.message_consumed()
            super().data_received(b"")
            self._note_parsed()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Sends a response, and ends the connection after the last one."""
        is_last = self._request_count == self._answered_count + 1 and not self._has_partial_head
        if self.is_stopping and is_last and not resp.prepared:
            resp.force_close()
        if not (request.keep_alive if resp.keep_alive is None else resp.keep_alive):
            self.cancel_following()
        count, was_upgraded = self._request_count, self._upgraded
        resp, is_lost = await super().finish_response(request, resp, start_time)
        self._note_parsed()
        if was_upgraded:
            # The HTTP library has parsed one message of the bytes behind a declined upgrade.
            self._parse_rest(count, was_in_body=False)
        self._answered_count += 1
        await self._wait_until_read()
        if not is_lost and not resp.keep_alive and not self._is_in_body:
            self._end()
            # The HTTP library closes the connection on return.
            await self._lost.wait()
        elif self._is_draining and self.is_idle:
            self._close_idle()
        return resp, is_lost

    def note_read(self, count: int) -> None:
        """Is called when requests have been read.

        Args:
            count: Number of the newest requests in the queue that were not there before.
        """

    def cancel_following(self) -> None:
        """Is called when no further response will be written than the one in progress."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the request in progress."""
        self._lost.set()
        self.cancel_following()
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        """Closes the connection if it has been idle for too long."""
        if self._has_partial_head:
            self._keepalive_handle = self._loop.call_later(
                PARTIAL_HEAD_S, super()._process_keepalive
            )
            return
        super()._process_keepalive()

    @property
    def _is_in_body(self) -> bool:
        """Whether the body of the last request is still arriving."""
        return self._last_body is not None and not self._last_body.is_eof()

    def _note_parsed(self) -> None:
        """Records the requests that have been parsed since the last call."""
        count = self._request_count - self._noted_count
        if count:
            self._noted_count = self._request_count
            self._last_body = self._messages[-1][1]
            self._has_partial_head = False
            self._head_bytes = 0
            self.note_read(count)

    async def _wait_until_read(self) -> None:
        """Waits while the send buffer is full; the peer could fill the memory with requests."""
        try:
            async with asyncio.timeout(UNREAD_RESPONSE_S):
                await self._drain_helper()
        except ConnectionError:
            return
        except TimeoutError:
            if self.transport is not None:
                self.transport.abort()

    def _reject_head(self) -> None:
        """Answers a head that is too long, as the HTTP library answers one it cannot parse."""
        error = LineTooLong(b"head", self._max_head_bytes)
        self._request_count += 1
        self._messages.append((_ErrInfo(status=400, exc=error, message=""), EMPTY_PAYLOAD))
        self._note_parsed()
        self._is_ending = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _close_idle(self) -> None:
        """Closes the connection; a peer that has not received the last response gets it first."""
        if self._is_ending or self.transport is None:
            return
        if self.transport.get_write_buffer_size():
            self._end()
        else:
            self.force_close()

    def _end(self) -> None:
        """Ends the write side and discards input until the peer closes the connection."""
        self._is_ending = True
        if self.transport is None:
            return
        with suppress(OSError, RuntimeError):
            self.transport.write_eof()
        self._resume_transport_reading()
        self._loop.call_later(LINGER_S, self.force_close)


class GracefulServer(web.Server):
    """Accepts connections, and at a planned stop waits until all of them have ended."""

    def __init__(self, handler: Any, **options: Any) -> None:
        super().__init__(handler, **options)
        self._listener: asyncio.Server | None = None
        self._transports: dict[GracefulConnection, asyncio.Transport] = {}
        self._is_draining = False
        self._all_lost = asyncio.Event()
        self._all_lost.set()

    @classmethod
    def wrap(cls, runner: web.AppRunner, **options: Any) -> GracefulServer:
        """Returns a server for an application that has been set up."""
        server = runner.server
        assert server is not None
        return cls(server.request_handler, request_factory=server.request_factory, **options)

    async def listen(
        self,
        build_connection: Callable[[], GracefulConnection],
        address: str,
        port: int,
        backlog: int = 128,
    ) -> asyncio.Server:
        """Opens the listening socket."""
        loop = asyncio.get_running_loop()
        self._listener = await listen_when_free(
            lambda: loop.create_server(build_connection, address, port, backlog=backlog)
        )
        return self._listener

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Adds a connection."""
        super().connection_made(handler, transport)
        assert isinstance(handler, GracefulConnection)
        self._transports[handler] = transport
        self._all_lost.clear()
        if self._is_draining:
            handler.drain()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Removes a connection, whose send buffer is empty or dropped."""
        super().connection_lost(handler, exc)
        assert isinstance(handler, GracefulConnection)
        self._transports.pop(handler, None)
        if not self._transports:
            self._all_lost.set()

    async def stop(self, until: float) -> int:
        """Serves the requests that have been read and ends all connections.

        Args:
            until: Monotonic time at which the remaining connections are aborted.

        Returns:
            The number of requests that were cut.
        """
        self.drain()
        await self.wait_until_closed(until)
        return self.abort()

    def drain(self) -> None:
        """Accepts no more connections and closes the idle ones; the others end when they are."""
        self._is_draining = True
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._transports):
            connection.drain()

    async def wait_until_closed(self, until: float) -> None:
        """Waits until all connections have ended and their send buffers are empty.

        Args:
            until: Monotonic time at which the wait ends in any case.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                await self._all_lost.wait()

    def abort(self) -> int:
        """Aborts the connections that are left and returns how many requests that cuts."""
        cut = 0
        for connection, transport in list(self._transports.items()):
            cut += connection.has_unanswered_request or transport.get_write_buffer_size() > 0
            transport.abort()
        return cut
