"""HTTP client for backend servers: sends one attempt and validates its response."""

from __future__ import annotations

import asyncio
import math
import re
import time
from contextlib import ExitStack
from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING

from yarl import URL

from briarfork.border.settings import Limits
from briarfork.entry.connections import ConnectionKind
from briarfork.entry.connections import ServerResponse
from briarfork.entry.forward import HOP_BY_HOP_HEADERS
from briarfork.entry.forward import AttemptGuard
from briarfork.gateway.attempts import AttemptError
from briarfork.gateway.request import Response
from briarfork.gateway.response_bodies import ResponseCollector
from briarfork.platform import names
from briarfork.platform.server_bodies import HttpResponseBody
from briarfork.platform.server_bodies import close_unread
from briarfork.platform.server_bodies import drop_refusal_body
from briarfork.pools import NO_REPORT
from briarfork.pools import Release
from briarfork.pools import ServerReport
from briarfork.requests import Attempt
from briarfork.requests import AttemptResult
from briarfork.requests import Deadline
from briarfork.requests import DropReason
from briarfork.requests import ResponseDropped
from briarfork.requests import ResponseMemory
from briarfork.requests import SendForbidden

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from briarfork.entry.connections import ServerConnections
    from briarfork.gateway.request import BodyPart
    from briarfork.gateway.request import Request
    from briarfork.gateway.response_bodies import ResponseBody
    from briarfork.pools import ServerAddress

# The server responds by its deadline at the latest; this margin is for the network.
RESPONSE_MARGIN_S = 0.1
# A response with a longer body is given up.
MAX_BODY_BYTES = 32 * 1024 * 1024
# Required fields of a load report (running, waiting, slots); the fourth, the slowdown, is optional.
REQUIRED_LOAD_FIELDS = 3
PERCENT = 100.0
DECIMAL_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
LOAD_PATTERN = re.compile(r"\d{1,9}([ \t]*,[ \t]*\d{1,9})*")
# Servers must not send these characters, but the HTTP library reads them and refuses to write them.
CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# A longer pause would outlast the server in most cases.
MAX_PAUSE_S = 300.0
# Statuses that tell a caller that the request did not run.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class HttpUpstream:
    """Sends requests to backend servers and checks that responses are complete and authentic."""

    def __init__(
        self,
        connections: ServerConnections,
        memory_bytes: int = Limits().response_memory_bytes,
    ) -> None:
        self._connections = connections
        self._responses = ResponseCollector(ResponseMemory(memory_bytes, MAX_BODY_BYTES))

    @property
    def held_bytes(self) -> int:
        """Memory that responses hold or have reserved."""
        return self._responses.memory.used_bytes

    async def send(
        self,
        request: Request,
        server: ServerAddress,
        deadline: Deadline,
        *,
        service: str,
        idempotent: bool,
        repeated: bool,
    ) -> Response:
        """Sends a request and returns the complete response.

        Raises:
            AttemptError: If there is no complete and valid response.
        """
        attempt = Attempt(deadline)
        now = time.monotonic()
        timeout_s = min(deadline.remaining_s(now) + RESPONSE_MARGIN_S, request.respond_by - now)
        body = self._responses.open(service, server.name, request.turn)
        try:
            with (
                ExitStack() as stack,
                self._connections.borrow_session(
                    server, _choose_kind(idempotent, repeated)
                ) as session,
            ):
                stack.callback(body.release)
                async with asyncio.timeout(timeout_s):
                    response = await self._exchange(session, request, server, attempt, body)
                stack.pop_all()
                return response
        except ResponseDropped as error:
            raise AttemptError(
                attempt.result, Release.FAILED, str(error), dropped=error.reason
            ) from error
        except AttemptError:
            raise
        except Exception as error:
            # Whatever the bytes of a server cause, the request can be repeated as after a reset.
            if body.lacks_memory:
                raise AttemptError(
                    attempt.result,
                    Release.CANCELLED,
                    "no memory for the response became free",
                    dropped=DropReason.NO_MEMORY,
                ) from error
            if isinstance(error, TimeoutError) and attempt.result is not AttemptResult.NOT_SENT:
                # A connection can become permanently unresponsive while new ones still work.
                self._connections.retire_connections(server)
            release = Release.UNUSED if isinstance(error, SendForbidden) else Release.FAILED
            raise AttemptError(
                attempt.result, release, f"{type(error).__name__}: {error}"
            ) from error

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        request: Request,
        server: ServerAddress,
        attempt: Attempt,
        body: ResponseBody,
    ) -> Response:
        async with session.request(
            request.method,
            URL(f"http://{server.address}:{server.port}{request.target}", encoded=True),
            headers=_build_headers(request, server, attempt.deadline),
            data=_build_payload(request.body),
            allow_redirects=False,
            trace_request_ctx=AttemptGuard(attempt),
        ) as response:
            try:
                return await _receive(request, response, attempt, body)
            except BaseException:
                close_unread(response)
                raise


async def _receive(
    request: Request, response: aiohttp.ClientResponse, attempt: Attempt, body: ResponseBody
) -> Response:
    """Reads the whole response.

    Raises:
        AttemptError: If it is not a valid response to the request, or a refusal.
        ResponseDropped: If its body is too long or given up.
    """
    report = _read_report(response)
    if _is_refusal(request, response):
        attempt.mark_refused()
        release = await drop_refusal_body(response)
        raise AttemptError(
            attempt.result, release, f"refused with status {response.status}", report
        )
    reason = _find_response_error(request, response)
    if reason is None:
        await body.collect(HttpResponseBody(response))
        if _was_truncated(response):
            reason = "the connection was reset before the end of the response"
    if reason is not None:
        raise AttemptError(attempt.result, Release.FAILED, reason, report)
    return Response(response.status, _list_headers(response), body.parts, report, body.release)


def _choose_kind(idempotent: bool, repeated: bool) -> ConnectionKind:
    """Returns the kind of connection for an attempt.

    All attempts at a request have the id that its caller chose, so only the connection tells a late
    copy of an earlier response from the response to this attempt.
    """
    if repeated:
        return ConnectionKind.OWN
    return ConnectionKind.KEPT if idempotent else ConnectionKind.RECENT


def _build_headers(
    request: Request, server: ServerAddress, deadline: Deadline
) -> list[tuple[str, str]]:
    remaining_ms = deadline.remaining_ms(time.monotonic())
    headers = [
        *request.headers,
        (names.ATTEMPT_ID, request.request_id),
        (names.DEADLINE_MS, str(max(1, remaining_ms))),
        (names.PINNED_INSTANCE, server.name),
    ]
    if request.workspace:
        headers.append((names.WORKSPACE, request.workspace))
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        headers.append(("Content-Length", str(sum(map(len, request.body)))))
    return headers


def _build_payload(parts: tuple[BodyPart, ...]) -> BodyPart | AsyncIterator[BodyPart] | None:
    """Returns a body for aiohttp, which copies what it writes at once."""
    if len(parts) > 1:
        return _iterate(parts)
    return parts[0] if parts else None


async def _iterate(parts: tuple[BodyPart, ...]) -> AsyncIterator[BodyPart]:
    for part in parts:
        yield part


def _is_refusal(request: Request, response: aiohttp.ClientResponse) -> bool:
    """Returns whether the server states that this request did not run.

    Status 421 comes from another server that has taken over the address. A refusal of an earlier
    request, repeated on a kept connection, says nothing about this one. No connection carries two
    attempts at one request, so a refusal with its id is about this attempt.
    """
    if response.headers.get(names.ATTEMPT_ID) != request.request_id:
        return False
    return (
        names.NOT_EXECUTED in response.headers or response.status == HTTPStatus.MISDIRECTED_REQUEST
    )


def _find_response_error(request: Request, response: aiohttp.ClientResponse) -> str | None:
    """Returns why a response cannot be passed on for this request, or None if it is valid."""
    echoed = response.headers.get(names.ATTEMPT_ID)
    if echoed != request.request_id:
        return f"the response belongs to request {echoed}"
    if "Content-Encoding" in response.headers:
        return "the body is encoded, although no encoding was requested"
    if response.status < HTTPStatus.OK:
        return f"status {response.status} is not a final response"
    if response.status in NOT_RUN_STATUSES:
        return f"status {response.status} without proof that the request did not run"
    seal = response.headers.get(names.RESPONSE_SEAL)
    if seal is None or CONTROL_PATTERN.search(seal):
        return f"status {response.status} without a valid response seal"
    return None


def _was_truncated(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a body without a length ended with a reset instead of an orderly close."""
    if "Content-Length" in response.headers or "Transfer-Encoding" in response.headers:
        return False
    return not isinstance(response, ServerResponse) or response.was_reset


def _list_headers(response: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    """Returns the headers to pass on; control characters become spaces (RFC 9110, section 5.5)."""
    dropped = HOP_BY_HOP_HEADERS | {"content-length", names.SERVER_LOAD.lower()}
    return tuple(
        (name, CONTROL_PATTERN.sub(" ", value))
        for name, value in response.headers.items()
        if name.lower() not in dropped
    )


def _read_report(response: aiohttp.ClientResponse) -> ServerReport:
    """Returns what the server says about itself; what is missing or malformed counts as unknown."""
    return replace(
        _read_load(response.headers.get(names.SERVER_LOAD, "")),
        limit_per_s=_read_limit(response.headers.get(names.SERVER_LIMIT)),
        is_leaving=response.headers.get(names.SERVER_LEAVING) == "1",
        pause_s=_read_pause(response),
    )


def _read_load(header: str) -> ServerReport:
    if not LOAD_PATTERN.fullmatch(header):
        return NO_REPORT
    numbers = [int(part) for part in header.split(",")]
    if len(numbers) < REQUIRED_LOAD_FIELDS or numbers[2] <= 0:
        return NO_REPORT
    slowness = numbers[3] / PERCENT if len(numbers) > REQUIRED_LOAD_FIELDS else 0.0
    return ServerReport(numbers[0] / numbers[2], numbers[1], slowness)


def _read_pause(response: aiohttp.ClientResponse) -> float:
    """Returns for how long a server that refuses a request wants no others, in seconds."""
    header = response.headers.get("Retry-After", "")
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE or not DECIMAL_PATTERN.fullmatch(header):
        return 0.0
    return min(MAX_PAUSE_S, float(header))


def _read_limit(header: str | None) -> float | None:
    """Returns the requests per second that the server accepts, infinite without a limit."""
    if header is None:
        return math.inf
    return float(header) if DECIMAL_PATTERN.fullmatch(header) else None
