"""Client side of HTTP connections that limits what faulty servers can send."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EMPTY_PAYLOAD

from briarfork.border.framing import FramingPhase
from briarfork.border.framing import InvalidFraming
from briarfork.border.framing import ResponseFraming

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

# A server sends one or two of them before a response, such as 100 and 103.
MAX_INTERIM_RESPONSES = 8
# Parts that one connection parses in an iteration of the event loop.
PARTS_PER_ITERATION = 16
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200


class ResponseFault(Enum):
    """What is wrong with the bytes that a server sent."""

    EXTRA_BYTES = "extra_bytes"
    INTERIM_RESPONSES = "interim_responses"
    FRAMING = "framing"
    MALFORMED = "malformed"


class FaultyResponse(aiohttp.ClientPayloadError):
    """A response that was given up because of its bytes; the request may have run."""

    def __init__(self, fault: ResponseFault) -> None:
        super().__init__(f"the server sent a faulty response: {fault.value}")
        self.fault = fault


class ResponseTooLong(aiohttp.ClientPayloadError):
    """A body that is longer than its reader accepts."""


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int, on_part: Callable[[], None] | None = None
) -> bytes:
    """Returns the complete body.

    Args:
        response: The response.
        max_bytes: Longest body to accept.
        on_part: Called after each part of the body.

    Raises:
        ResponseTooLong: If the body is longer than the limit; its connection is closed.
        aiohttp.ClientPayloadError: If the body is incomplete.
    """
    parts: list[bytes] = []
    size = response.content_length or 0
    if size > max_bytes:
        response.close()
        raise ResponseTooLong(f"the body has {size} bytes, more than {max_bytes}")
    size = 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            response.close()
            raise ResponseTooLong(f"the body is longer than {max_bytes} bytes")
        if on_part is not None:
            on_part()
    return b"".join(parts)


class BoundedResponseHandler(ResponseHandler):
    """Parses responses in parts and closes the connection at the first fault.

    aiohttp parses all that a read returns in one call, also when no request is in progress. A read
    of 64 KB holds up to 11,000 chunks or 3,000 messages, during which the event loop stands still.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_fault: Callable[[ResponseFault], None] | None = None,
    ) -> None:
        """Creates a handler.

        Args:
            loop: The event loop.
            on_fault: Called once with the fault that closes the connection.
        """
        super().__init__(loop)
        self._on_fault = on_fault
        self._framing = ResponseFraming()
        self._framing.end()
        self._interim_responses = 0
        # Whether the latest informational response declares a body, which it must not have.
        self._declares_interim_body = False
        # Body of the latest response, empty for statuses that have none.
        self._body: StreamReader = EMPTY_PAYLOAD
        # Bytes that were received, those before the position have been parsed.
        self._received = b""
        self._position = 0
        self._is_parsing_scheduled = False

    @property
    def should_close(self) -> bool:
        """Whether the connection must not carry another request."""
        return super().should_close or self._has_unparsed_bytes

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the response to the next request."""
        self._framing = ResponseFraming()
        self._interim_responses = 0
        self._declares_interim_body = False
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, or more of the earlier ones if there are no new ones."""
        if not data:
            # The parser keeps what it had when the reader of the body fell behind. The rest waits
            # for the next iteration, or a reader that resumes would never let go of the event loop.
            super().data_received(data)
            self._schedule_parsing()
            return
        if self._received:
            data = self._received[self._position :] + data
        self._received, self._position = data, 0
        self._parse_received()

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Passes a parsed head on and finds out what follows it."""
        message, self._body = data
        super().feed_data(data, size)
        is_interim = message.code < FIRST_FINAL_STATUS and message.code != SWITCHING_PROTOCOLS
        if is_interim:
            self._interim_responses += 1
            self._declares_interim_body = "Content-Length" in message.headers or message.chunked
        elif self._body is EMPTY_PAYLOAD:
            self._framing.end()
        else:
            length = message.headers.get("Content-Length")
            self._framing.begin_body(None if length is None else int(length), message.chunked)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parses what is left and ends the response."""
        while self._can_parse():
            self._parse_part()
        self._discard_received()
        super().connection_lost(exc)

    def _parse_received(self) -> None:
        """Parses parts until a limit on the work for one iteration of the event loop."""
        parts = 0
        while self._can_parse():
            if parts >= PARTS_PER_ITERATION:
                self._schedule_parsing()
                break
            parts += PARTS_PER_ITERATION if self._framing.is_chunked else 1
            self._parse_part()
        if self._has_unparsed_bytes:
            self._pause_reading_for_buffer()
            return
        self._discard_received()
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    @property
    def _has_unparsed_bytes(self) -> bool:
        return self._position < len(self._received)

    def _can_parse(self) -> bool:
        if not self._has_unparsed_bytes or self._reading_paused:
            return False
        # After a pause the parser may hold the end of the body until the body is read.
        return not self._framing.ended or self._body.is_eof()

    def _schedule_parsing(self) -> None:
        if not self._is_parsing_scheduled:
            self._is_parsing_scheduled = True
            self._loop.call_soon(self._resume_parsing)

    def _resume_parsing(self) -> None:
        self._is_parsing_scheduled = False
        if self.transport is None:
            self._discard_received()
        else:
            self._parse_received()

    def _parse_part(self) -> None:
        if self._framing.ended:
            self._fail(ResponseFault.EXTRA_BYTES)
            return
        start = self._position
        try:
            self._position = self._framing.find_part_end(self._received, start)
        except InvalidFraming:
            is_interim_body = self._declares_interim_body
            self._fail(ResponseFault.FRAMING if is_interim_body else ResponseFault.MALFORMED)
            return
        if self._framing.is_too_long:
            self._fail(ResponseFault.FRAMING)
            return
        super().data_received(self._received[start : self._position])
        if self._exception is not None:
            self._fail(ResponseFault.MALFORMED)
        elif self._has_interim_fault():
            self._fail(ResponseFault.INTERIM_RESPONSES)

    def _has_interim_fault(self) -> bool:
        """Returns whether there are too many informational responses, or one has a body."""
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return True
        return self._framing.phase is FramingPhase.HEAD and not (
            self._payload is None or self._payload.is_eof()
        )

    def _fail(self, fault: ResponseFault) -> None:
        """Closes the connection; a response that is complete stays readable."""
        payload, error = self._payload, FaultyResponse(fault)
        error.__cause__ = self._exception
        self._framing.end()
        self._discard_received()
        self.abort()
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if self._on_fault is not None:
            self._on_fault(fault)

    def _discard_received(self) -> None:
        self._received, self._position = b"", 0
