"""Reads the bodies of callers' HTTP requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpBody:
    """The body of an HTTP request, which its caller may still be sending.

    A caller that asks for it is told to send the body when the body is read, not before.
    """

    def __init__(self, http_request: web.BaseRequest) -> None:
        self._content = http_request.content
        self._writer: AbstractStreamWriter = http_request.writer
        self._must_continue = http_request.headers.get("Expect", "").lower() == "100-continue"
        self._declared_bytes = http_request.content_length

    @property
    def declared_bytes(self) -> int | None:
        """The Content-Length, None for a body in chunks."""
        return self._declared_bytes

    @property
    def has_arrived(self) -> bool:
        """Whether the end of the body has been received."""
        return self._content.is_eof()

    async def read_chunk(self) -> bytes:
        """Returns the next bytes, empty at the end of the body.

        Raises:
            NotRun: If the body is malformed.
        """
        if self._must_continue:
            self._must_continue = False
            await self._writer.write(CONTINUE_RESPONSE)
            # aiohttp takes a writer with output for one whose response has started.
            self._writer.output_size = 0
        try:
            return await self._content.readany()
        except web.RequestPayloadError as error:
            raise NotRun(ErrorKind.MALFORMED_BODY, f"body: {error}") from error
