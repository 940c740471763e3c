"""Passes the answer to one call on to its caller, from one backend server or from several."""

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

# struct linger: on, 0 seconds. The connection ends with RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, ready to be sent.

    Attributes:
        request: The request as the caller sent it.
        path: Path and query at the backend server.
        body: The whole body, or None if it is streamed from the request.
        deadline: When the caller stops waiting.
        generation: Generation of the configuration that routes the call.
        idempotent: Whether running the request again does no harm.
        keep_answer: Whether the answer is held back until it is complete, to be stored.
    """

    request: web.Request
    path: str
    body: bytes | None
    deadline: Deadline
    generation: int
    idempotent: bool
    keep_answer: bool = False

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent again."""
        return self.body is not None


class ProgressTimer:
    """Ends an attempt at its deadline, or earlier when no byte has moved for the progress time.

    Attributes:
        blames_caller: Whether the caller is the one who is waited for.
    """

    __slots__ = ("_deadline", "_limit", "_progress_s", "blames_caller")

    def __init__(self, deadline: Deadline, progress_s: float) -> None:
        self._deadline = deadline
        self._progress_s = progress_s
        self._limit = asyncio.timeout(self._wait_s())
        self.blames_caller = False

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

    def touch(self) -> None:
        """Records that a byte has moved."""
        self._limit.reschedule(asyncio.get_running_loop().time() + self._wait_s())

    def _wait_s(self) -> float:
        return min(self._progress_s, self._deadline.remaining_s(time.monotonic()))


class Delivery:
    """The answer to one call as far as the caller has it."""

    def __init__(self, call: Call, leaving: bool) -> None:
        self.call = call
        self._leaving = leaving
        self._response: web.StreamResponse | None = None
        self._download: Download | None = None
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the caller may hold part of the answer."""
        return self._response is not None

    @property
    def may_resume(self) -> bool:
        """Whether another server may send the missing bytes."""
        transport = self.call.request.transport
        connected = transport is not None and not transport.is_closing()
        return connected and self._download is not None and self._download.is_incomplete

    def build_range_headers(self) -> dict[str, str]:
        """Returns the headers that ask for the missing bytes only."""
        if self._download is None:
            return {}
        return {"Range": self._download.range_header, "If-Range": self._download.entity_tag}

    def accepts(self, answer: aiohttp.ClientResponse) -> bool:
        """Returns whether an answer continues what the caller has."""
        if not self.started:
            return True
        return self._download is not None and self._download.can_resume_from(_read_head(answer))

    async def pass_on(
        self, answer: aiohttp.ClientResponse, headers: CIMultiDict[str], timer: ProgressTimer
    ) -> web.StreamResponse:
        """Hands the body of an answer to the caller as it arrives."""
        response = self._response
        if response is None:
            response = await self._start(answer, headers)
        while True:
            timer.touch()
            chunk = await answer.content.readany()
            if not chunk:
                break
            timer.touch()
            timer.blames_caller = True
            await response.write(chunk)
            timer.blames_caller = False
            if self._download is not None:
                self._download.advance(len(chunk))
        timer.blames_caller = True
        await response.write_eof()
        self._finished = True
        return response

    def cut(self) -> bool:
        """Resets the caller's stream if its answer has begun and is not whole.

        A closed connection in the middle of the body is the only sign that the caller cannot
        take for the end of the answer.
        """
        if not self.started or self._finished:
            return False
        transport = self.call.request.transport
        if transport is not None:
            # abort() alone sends FIN, which ends an HTTP/1.0 answer without a length as if whole.
            connection = transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport.abort()
        return True

    async def _start(
        self, answer: aiohttp.ClientResponse, headers: CIMultiDict[str]
    ) -> web.StreamResponse:
        self._response = response = web.StreamResponse(status=answer.status, headers=headers)
        if self._leaving:
            response.force_close()
        if self.call.request.method == "GET" and self.call.idempotent:
            self._download = Download.start(_read_head(answer))
        await response.prepare(self.call.request)
        return response


def _read_head(answer: aiohttp.ClientResponse) -> ResponseHead:
    return ResponseHead(
        status=answer.status,
        entity_tag=answer.headers.get("ETag"),
        content_length=answer.content_length,
        content_range=answer.headers.get("Content-Range"),
    )
