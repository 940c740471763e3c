"""HTTP server for callers: converts HTTP requests to gateway requests and responses back."""

from __future__ import annotations

import asyncio
import math
import random
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.events import Event
from briarfork.border.http_server import HttpConnectionHandler
from briarfork.entry.forward import HOP_BY_HOP_HEADERS
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.request import Request
from briarfork.platform import names

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway
    from briarfork.gateway.request import Response

MS_PER_S = 1000.0
# Longer than any idle timeout of the configuration; callers enforce those themselves.
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_HEADER_LINE_BYTES = 16384
# Errors of requests that are not dispatched, so the dispatcher does not log them.
PRE_DISPATCH_ERRORS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNKNOWN_PATH,
        ErrorKind.HEADER_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.NO_CONFIGURATION,
    }
)
# Headers that the gateway sets on requests to backend servers.
GATEWAY_HEADERS = frozenset(
    name.lower() for name in (names.ATTEMPT_ID, names.DEADLINE_MS, names.PINNED_INSTANCE)
)
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | GATEWAY_HEADERS | {"content-length", "expect"}
# Retry-After if the wait for a slot is unknown, and the jitter that spreads the callers' retries.
DEFAULT_RETRY_AFTER_S = 0.25
RETRY_AFTER_JITTER = 0.5
# A request without a response gets an error response this long before its caller gives up.
CALLER_MARGIN_S = 0.03


class CallerRequestHandler:
    """Handles the HTTP requests of callers."""

    def __init__(self, gateway: Gateway, dispatcher: Dispatcher) -> None:
        self._gateway = gateway
        self._dispatcher = dispatcher

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Returns the HTTP response to one request."""
        request_id = http_request.headers.get(names.ATTEMPT_ID, "")
        try:
            request = await self._read_request(http_request, request_id)
            response = _build_response(await self._dispatcher.handle(request))
        except BriarforkError as error:
            response = self._build_error(request_id, http_request, error)
        if self._gateway.draining:
            response.force_close()
        return response

    async def _read_request(self, http_request: web.BaseRequest, request_id: str) -> Request:
        """Returns the complete request.

        Raises:
            NotRun: If the request is malformed or exceeds a limit.
        """
        received = time.monotonic()
        limits = self._gateway.view.require_route_table().limits
        size = sum(len(name) + len(value) for name, value in http_request.raw_headers)
        if size > limits.header_bytes:
            raise NotRun(
                ErrorKind.HEADER_TOO_LARGE,
                f"headers: expected at most {limits.header_bytes} bytes, found {size}",
            )
        caller_timeout_s = _parse_timeout(http_request.headers.get(names.DEADLINE_MS))
        target = http_request.raw_path
        if not target.startswith("/"):
            raise NotRun(ErrorKind.BAD_REQUEST, "request target: expected an absolute path")
        return Request(
            request_id=request_id,
            host=http_request.headers.get("Host", "").rpartition(":")[0]
            or http_request.headers.get("Host", ""),
            method=http_request.method,
            target=target,
            headers=tuple(
                (name, value)
                for name, value in http_request.headers.items()
                if name.lower() not in DROPPED_HEADERS
            ),
            body=await _read_body(http_request, limits.body_bytes),
            object_key=http_request.headers.get(names.AFFINITY_KEY, ""),
            caller_timeout_s=caller_timeout_s,
            respond_by=(
                received + caller_timeout_s - CALLER_MARGIN_S if caller_timeout_s else math.inf
            ),
        )

    def _build_error(
        self, request_id: str, http_request: web.BaseRequest, error: BriarforkError
    ) -> web.Response:
        answer = ERROR_RESPONSES[error.kind]
        if error.kind in PRE_DISPATCH_ERRORS:
            self._gateway.events.record(
                Event.REQUEST_FAILED,
                request=request_id,
                outcome=error.kind.value,
                path=http_request.raw_path,
                detail=error.detail,
            )
        body = {"error": error.kind.value, "detail": error.detail, "outcome": answer.outcome.value}
        response = web.json_response(body, status=answer.status)
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            response.headers["Retry-After"] = f"{_compute_retry_after(error):.2f}"
        return response


class CallerConnection(HttpConnectionHandler):
    """A caller's connection to a gateway."""

    __slots__ = ("_gateway",)

    def __init__(self, gateway: Gateway, manager: web.Server) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            auto_decompress=False,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        self._gateway = gateway

    @property
    def events(self) -> EventLog:
        """Log for internal errors."""
        return self._gateway.events

    def identify(self, request: web.BaseRequest) -> dict[str, str]:
        """Returns the id of a request."""
        return {"request": request.headers.get(names.ATTEMPT_ID, "")}

    def build_error_response(self, request: web.BaseRequest, error: BriarforkError) -> web.Response:
        """Returns the response to an error outside the request handler, where no id is known."""
        return web.Response(status=ERROR_RESPONSES[error.kind].status)


async def _read_body(http_request: web.BaseRequest, limit: int) -> bytes:
    """Returns the complete body.

    Raises:
        NotRun: If the body is larger than the limit.
    """
    if not http_request.body_exists:
        return b""
    parts: list[bytes] = []
    size = http_request.content_length or 0
    while size <= limit:
        chunk = await http_request.content.readany()
        if not chunk:
            return b"".join(parts)
        parts.append(chunk)
        size = max(size, sum(map(len, parts)) if http_request.content_length is None else size)
    raise NotRun(ErrorKind.BODY_TOO_LARGE, f"body: expected at most {limit} bytes")


def _parse_timeout(header: str | None) -> float | None:
    """Returns how long the caller waits in seconds, or None without the header.

    Raises:
        NotRun: If the header is not a whole number of milliseconds.
    """
    if header is None:
        return None
    if not (header.isascii() and header.isdigit()):
        raise NotRun(
            ErrorKind.BAD_REQUEST, f"{names.DEADLINE_MS}: expected a whole number of milliseconds"
        )
    return int(header) / MS_PER_S


def _build_response(response: Response) -> web.Response:
    http_response = web.Response(status=response.status, body=response.body)
    for name, value in response.headers:
        http_response.headers.add(name, value)
    return http_response


def _compute_retry_after(error: BriarforkError) -> float:
    """Returns the expected wait for a slot in seconds, with jitter to spread retries."""
    wait_s = float(getattr(error, "wait_s", 0.0)) or DEFAULT_RETRY_AFTER_S
    return wait_s * (1.0 + RETRY_AFTER_JITTER * random.random())
