"""Writes responses to callers and frees their memory afterwards."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.events import Event
from briarfork.gateway.bodies import PART_BYTES

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

    from briarfork.border.events import EventLog
    from briarfork.gateway.request import BodyPart
    from briarfork.gateway.request import Request
    from briarfork.gateway.request import Response

# A caller that still reads when its deadline has passed must take each part of 64 KB in this time.
LATE_PART_S = 1.0


class CallerResponse(web.StreamResponse):
    """The response to a caller, whose connection is closed if it does not read.

    Each part of the body has to be read within the idle time, and by the caller's deadline or
    `LATE_PART_S`, whichever is later.
    """

    def __init__(
        self, request: Request, response: Response, idle_s: float, events: EventLog
    ) -> None:
        super().__init__(status=response.status)
        self._request = request
        self._release = response.release
        self._parts = response.body
        self._idle_s = idle_s
        self._events = events
        for name, value in response.headers:
            self.headers.add(name, value)

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Writes the head.

        Without a body, the length of the response to HEAD or of status 304 is not known.
        """
        size = self.held_bytes
        if size or not (request.method == "HEAD" or self.status == HTTPStatus.NOT_MODIFIED):
            self.content_length = size
        try:
            return await super().prepare(request)
        except BaseException:
            self.drop_body()
            raise

    async def write_eof(self, data: bytes = b"") -> None:
        """Writes the body."""
        try:
            if not self._must_be_empty_body:
                await self._write_body()
            await super().write_eof(data)
        finally:
            self.drop_body()

    async def _write_body(self) -> None:
        if self.held_bytes <= PART_BYTES:
            # A short body fits the buffer of the connection, so writing it does not wait.
            for part in self._parts:
                await self.write(part)
            return
        for part in self._parts:
            await self._write_part(part)

    async def _write_part(self, part: BodyPart) -> None:
        late_s = max(LATE_PART_S, self._request.respond_by - time.monotonic())
        try:
            async with asyncio.timeout(min(self._idle_s, late_s)):
                await self.write(part)
        except TimeoutError as error:
            self._events.record(Event.RESPONSE_UNREAD, request=self._request.request_id)
            # Closing in order would wait until the caller reads.
            if self._req is not None and self._req.transport is not None:
                self._req.transport.abort()
            raise ConnectionResetError("the caller does not read") from error

    @property
    def held_bytes(self) -> int:
        """Length of the body that has not been freed."""
        return sum(map(len, self._parts))

    def drop_body(self) -> None:
        """Frees the memory of the body; aiohttp keeps a response until the next request."""
        self._parts = ()
        self._release()
