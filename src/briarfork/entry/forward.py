"""Sends one attempt of a request to a backend server and forwards the response to the caller."""

from __future__ import annotations

import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from briarfork.entry.connections import ConnectionKind
from briarfork.entry.connections import ServerResponse
from briarfork.entry.delivery import ProgressTimer
from briarfork.errors import OutcomeUnknown
from briarfork.pools import Release
from briarfork.requests import Attempt
from briarfork.requests import AttemptResult
from briarfork.requests import SendForbidden

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from aiohttp import web
    from multidict import CIMultiDictProxy

    from briarfork.border.settings import Settings
    from briarfork.entry.connections import ServerConnections
    from briarfork.entry.delivery import Call
    from briarfork.entry.delivery import Delivery
    from briarfork.entry.overflow import Permit

DEADLINE_HEADER = "Briarfork-Deadline-Ms"
OUTCOME_HEADER = "Briarfork-Outcome"
SERVER_HEADER = "Briarfork-Server"
GENERATION_HEADER = "Briarfork-Generation"
STATE_HEADER = "Backend-State"
# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "expect", DEADLINE_HEADER.lower()}
# Dropped when a response is resumed: its first part has already settled the caller's conditions.
CONDITIONAL_HEADERS = frozenset(
    {"if-match", "if-modified-since", "if-none-match", "if-range", "if-unmodified-since", "range"}
)
# Responses with these statuses never have a body (RFC 9112, section 6.3).
BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class AttemptFailed(Exception):
    """An attempt ended without a complete response.

    Attributes:
        result: How far the attempt got.
        release: Outcome that is reported to the owner of the slot.
    """

    def __init__(self, result: AttemptResult, release: Release, detail: str) -> None:
        super().__init__(detail)
        self.result = result
        self.release = release

    @property
    def response_started(self) -> bool:
        """Whether the caller got the beginning of a response."""
        return self.result is AttemptResult.ANSWER_STARTED


class UnusableResponse(aiohttp.ClientPayloadError):
    """A response that cannot be forwarded, such as one without a recognizable end."""


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response that was buffered instead of streamed to the caller."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptGuard:
    """Marks an attempt as sent when the client library is about to write its request."""

    attempt: Attempt

    def check_send(self) -> None:
        """Marks the attempt as sent.

        Raises:
            SendForbidden: If the request must not be written now.
        """
        self.attempt.mark_sent(time.monotonic())


class Forwarder:
    """Sends requests to backend servers."""

    def __init__(self, settings: Settings, connections: ServerConnections) -> None:
        self._settings = settings
        self._connections = connections

    async def attempt(
        self, delivery: Delivery, permit: Permit, on_response: Callable[[], None] | None = None
    ) -> web.StreamResponse | BufferedResponse:
        """Sends a request under a permit and streams the response to the caller.

        Args:
            delivery: The call, and the part of the response that its caller has.
            permit: The permit, which names the server.
            on_response: Called when the server has begun to respond, before the caller gets a part
                of the response.

        Raises:
            AttemptFailed: If the caller did not get a complete response.
        """
        call = delivery.call
        attempt = Attempt(call.deadline)
        timer = ProgressTimer(call.deadline, self._settings.timeouts.progress_s)
        try:
            kind = ConnectionKind.KEPT if call.idempotent else ConnectionKind.RECENT
            with self._connections.borrow_session(permit.server, kind) as session:
                async with timer:
                    callback = on_response or _ignore_response
                    return await self._exchange(session, delivery, permit, attempt, timer, callback)
        except (aiohttp.ClientError, TimeoutError, OSError, SendForbidden) as error:
            release = Release.FAILED
            if timer.awaits_caller or isinstance(error, SendForbidden):
                release = Release.UNUSED
            elif isinstance(error, TimeoutError) and attempt.result is not AttemptResult.NOT_SENT:
                # Kept connections can become unresponsive for good while new ones work.
                self._connections.retire_connections(permit.server)
                release = Release.UNUSED
            detail = str(error) or type(error).__name__
            raise AttemptFailed(attempt.result, release, detail) from error

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        delivery: Delivery,
        permit: Permit,
        attempt: Attempt,
        timer: ProgressTimer,
        on_response: Callable[[], None],
    ) -> web.StreamResponse | BufferedResponse:
        call, server = delivery.call, permit.server
        async with session.request(
            call.request.method,
            URL(f"http://{server.address}:{server.port}{call.path}", encoded=True),
            headers=_build_request_headers(delivery),
            data=_stream_body(call, timer) if call.body is None else call.body or None,
            allow_redirects=False,
            trace_request_ctx=AttemptGuard(attempt),
        ) as response:
            if _is_refusal(response):
                attempt.mark_refused()
                # Responses have no id. A second copy of the refusal, if the connection were used
                # again, would be taken for a refusal of the next request.
                assert isinstance(response, ServerResponse)
                response.close_connection()
                draining = response.headers.get(STATE_HEADER) == "draining"
                release = Release.DRAINING if draining else Release.NOT_RUN
                raise AttemptFailed(attempt.result, release, "the server refused the request")
            _check_framing(call, response)
            on_response()
            headers = _build_response_headers(response.headers)
            headers[SERVER_HEADER] = server.name
            headers[GENERATION_HEADER] = str(call.generation)
            if call.buffer_response:
                return await self._buffer(response, headers, timer)
            if not delivery.accepts(response):
                raise UnusableResponse(
                    "the response does not continue the part that the caller has"
                )
            attempt.mark_response_started()
            return await delivery.stream_response(response, headers, timer)

    async def _buffer(
        self, response: aiohttp.ClientResponse, headers: CIMultiDict[str], timer: ProgressTimer
    ) -> BufferedResponse:
        limit = self._settings.limits.keyed_body_bytes
        parts: list[bytes] = []
        size = 0
        while True:
            timer.record_progress()
            chunk = await response.content.readany()
            if not chunk:
                return BufferedResponse(response.status, headers, b"".join(parts))
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                raise OutcomeUnknown(
                    f"the request ran with status {response.status}; "
                    f"its response exceeds {limit} bytes"
                )


def _ignore_response() -> None:
    """Default callback, for attempts that are not hedged."""


async def _stream_body(call: Call, timer: ProgressTimer) -> AsyncIterator[bytes]:
    while True:
        timer.awaits_caller = True
        chunk = await call.request.content.readany()
        timer.awaits_caller = False
        if not chunk:
            return
        timer.record_progress()
        yield chunk


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    refused = response.status == HTTPStatus.SERVICE_UNAVAILABLE
    return refused and response.headers.get(OUTCOME_HEADER) == "not-run"


def _check_framing(call: Call, response: aiohttp.ClientResponse) -> None:
    """Checks that a lost connection cannot be mistaken for the end of the response.

    Raises:
        UnusableResponse: If only the close of the connection delimits the body, or if the response
            is not a final one.
    """
    if response.status < HTTPStatus.OK:
        raise UnusableResponse(f"the server sent status {response.status}")
    if call.request.method == "HEAD" or response.status in BODILESS_STATUSES:
        return
    codings = response.headers.get("Transfer-Encoding", "").lower()
    if not codings.endswith("chunked") and (codings or "Content-Length" not in response.headers):
        raise UnusableResponse("the response has neither a Content-Length nor chunked encoding")


def _build_request_headers(delivery: Delivery) -> CIMultiDict[str]:
    call = delivery.call
    dropped = (
        DROPPED_REQUEST_HEADERS | CONDITIONAL_HEADERS
        if delivery.started
        else DROPPED_REQUEST_HEADERS
    )
    headers = CIMultiDict(
        (name, value) for name, value in call.request.headers.items() if name.lower() not in dropped
    )
    headers.update(delivery.build_range_headers())
    if call.body is None and call.request.content_length is not None:
        headers["Content-Length"] = str(call.request.content_length)
    headers[DEADLINE_HEADER] = str(call.deadline.remaining_ms(time.monotonic()))
    return headers


def _build_response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP_HEADERS
    )
