"""Streams the response to one call to its caller, from one or several backend servers."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.requests import Download
from briarfork.requests import ResponseHead

if TYPE_CHECKING:
    from types import TracebackType

    import aiohttp
    from multidict import CIMultiDict

    from briarfork.requests import Deadline

# struct linger: enabled, 0 seconds, so that closing the socket sends RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, ready to be sent to a backend server.

    Attributes:
        request: The request as the caller sent it.
        path: Path and query at the backend server.
        body: The complete body, or None if it is streamed from the request.
        deadline: When the caller stops waiting.
        generation: Generation of the configuration that was in force at the start of the call.
        idempotent: Whether the request is safe to run more than once.
        buffer_response: Whether the complete response is buffered, to be stored with a claim.
    """

    request: web.Request
    path: str
    body: bytes | None
    deadline: Deadline
    generation: int
    idempotent: bool
    buffer_response: bool = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent more than once."""
        return self.body is not None


class ProgressTimer:
    """Times an attempt out at its deadline, or after the progress time without any transfer.

    Attributes:
        awaits_caller: Whether the attempt waits for the caller, not for the server.
    """

    __slots__ = ("_deadline", "_limit", "_progress_s", "awaits_caller")

    def __init__(self, deadline: Deadline, progress_s: float) -> None:
        self._deadline = deadline
        self._progress_s = progress_s
        self._limit = asyncio.timeout(self._wait_s())
        self.awaits_caller = False

    async def __aenter__(self) -> ProgressTimer:
        await self._limit.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._limit.__aexit__(kind, error, trace)

    def record_progress(self) -> None:
        """Restarts the progress time after a transfer of data."""
        self._limit.reschedule(asyncio.get_running_loop().time() + self._wait_s())

    def _wait_s(self) -> float:
        return min(self._progress_s, self._deadline.remaining_s(time.monotonic()))


class Delivery:
    """The response to one call, as far as it was sent to the caller."""

    def __init__(self, call: Call, leaving: bool) -> None:
        self.call = call
        self._leaving = leaving
        self._response: web.StreamResponse | None = None
        self._download: Download | None = None
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the caller may have part of the response."""
        return self._response is not None

    @property
    def may_resume(self) -> bool:
        """Whether another server may send the rest of the response."""
        transport = self.call.request.transport
        connected = transport is not None and not transport.is_closing()
        return connected and self._download is not None and self._download.is_incomplete

    def build_range_headers(self) -> dict[str, str]:
        """Returns the headers that request only the missing bytes."""
        if self._download is None:
            return {}
        return {"Range": self._download.range_header, "If-Range": self._download.entity_tag}

    def accepts(self, server_response: aiohttp.ClientResponse) -> bool:
        """Returns whether a response continues the part that the caller has."""
        if not self.started:
            return True
        return self._download is not None and self._download.can_resume_from(
            _read_head(server_response)
        )

    async def stream_response(
        self,
        server_response: aiohttp.ClientResponse,
        headers: CIMultiDict[str],
        timer: ProgressTimer,
    ) -> web.StreamResponse:
        """Streams the body of a server's response to the caller."""
        response = self._response
        if response is None:
            response = await self._start(server_response, headers)
        while True:
            timer.record_progress()
            chunk = await server_response.content.readany()
            if not chunk:
                break
            timer.record_progress()
            timer.awaits_caller = True
            await response.write(chunk)
            timer.awaits_caller = False
            if self._download is not None:
                self._download.advance(len(chunk))
        timer.awaits_caller = True
        await response.write_eof()
        self._finished = True
        return response

    def abort_if_incomplete(self) -> bool:
        """Resets the caller's connection if the response has begun and is incomplete.

        A reset in the middle of the body is the only signal that the caller cannot mistake for the
        end of the response.

        Returns:
            Whether the response was incomplete.
        """
        if not self.started or self._finished:
            return False
        transport = self.call.request.transport
        if transport is not None:
            # abort() alone sends FIN, which is the normal end of an HTTP/1.0 response without a
            # Content-Length.
            connection = transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport.abort()
        return True

    async def _start(
        self, server_response: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        self._response = response = web.StreamResponse(
            status=server_response.status, headers=headers
        )
        if self._leaving:
            response.force_close()
        if self.call.request.method == "GET" and self.call.idempotent:
            self._download = Download.start(_read_head(server_response))
        await response.prepare(self.call.request)
        return response


def _read_head(server_response: aiohttp.ClientResponse) -> ResponseHead:
    return ResponseHead(
        status=server_response.status,
        entity_tag=server_response.headers.get("ETag"),
        content_length=server_response.content_length,
        content_range=server_response.headers.get("Content-Range"),
    )
