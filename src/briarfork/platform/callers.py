"""HTTP server for callers: converts HTTP requests to gateway requests and responses back."""

from __future__ import annotations

import math
import random
import re
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.events import Event
from briarfork.border.graceful_server import LINGER_S
from briarfork.border.pipelining import TURN
from briarfork.border.pipelining import PipelinedConnection
from briarfork.entry.forward import HOP_BY_HOP_HEADERS
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.request import Request
from briarfork.hashing import shorten_text
from briarfork.platform import names
from briarfork.platform.bodies import HttpBody
from briarfork.platform.delivery import CallerResponse
from briarfork.platform.pipelines import read_host

if TYPE_CHECKING:
    import asyncio

    from briarfork.border.events import EventLog
    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway
    from briarfork.platform.pipelines import CallerPipelines

MS_PER_S = 1000.0
MAX_HEADER_LINE_BYTES = 16384
# Unread bytes of a connection above which the caller is stopped; the event loop may add as many.
READ_BUFFER_BYTES = 32768
# Errors of requests that are not dispatched, so the dispatcher does not log them.
PRE_DISPATCH_ERRORS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNKNOWN_PATH,
        ErrorKind.HEADER_TOO_LARGE,
        ErrorKind.NO_CONFIGURATION,
    }
)
# Headers that the gateway sets on requests to backend servers, and the key, which it keeps.
GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (
        names.ATTEMPT_ID,
        names.DEADLINE_MS,
        names.PINNED_INSTANCE,
        names.CREDENTIAL,
        names.WORKSPACE,
    )
)
# Error statuses that say that the request did not run, and when it may be sent again.
RETRY_LATER_STATUSES = frozenset({HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS})
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | GATEWAY_HEADERS | {"content-length", "expect"}
# Characters that no key has; configurations with such keys are rejected, too.
CONTROL_PATTERN = re.compile(r"[\x00-\x1f\x7f-\x9f]")
# Retry-After if the wait for a slot is unknown, and the jitter that spreads the callers' retries.
DEFAULT_RETRY_AFTER_S = 0.25
RETRY_AFTER_JITTER = 0.5
# Longer deadlines of callers, up to any number of digits, count as this one.
MAX_CALLER_TIMEOUT_S = 86_400.0
MAX_DEADLINE_DIGITS = 12
# What has been read of a request, which is read once even if it runs again in its turn.
READ_REQUEST = web.RequestKey("read_request", Request)
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
        source = HttpBody(http_request) if http_request.body_exists else None
        try:
            request = http_request.get(READ_REQUEST) or self._read_head(http_request, request_id)
            http_request[READ_REQUEST] = request
            response: web.StreamResponse = CallerResponse(
                request,
                await self._dispatcher.handle(request, source),
                self._gateway.view.caller_limits.idle_s,
                self._gateway.events,
            )
        except BriarforkError as error:
            response = self._build_error(request_id, http_request, error)
        # The next bytes on the connection may be the rest of the body, or a new request if the
        # caller was never told to send the body.
        if not (source is None or source.has_arrived):
            response.force_close()
        return response

    def _read_head(self, http_request: web.BaseRequest, request_id: str) -> Request:
        """Returns the request without its body.

        Raises:
            NotRun: If the request is malformed or exceeds a limit.
        """
        turn = http_request.get(TURN)
        received = time.monotonic() if turn is None else turn.read_at
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
            host=read_host(http_request.headers.get("Host", "")),
            method=http_request.method,
            target=target,
            headers=tuple(
                (name, value)
                for name, value in http_request.headers.items()
                if name.lower() not in DROPPED_HEADERS
            ),
            object_key=_read_object_key(http_request.headers.get(names.AFFINITY_KEY, "")),
            caller_timeout_s=caller_timeout_s,
            respond_by=(
                received + caller_timeout_s - CALLER_MARGIN_S if caller_timeout_s else math.inf
            ),
            credential=_read_credential(http_request),
            turn=turn,
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
        if answer.status in RETRY_LATER_STATUSES:
            response.headers["Retry-After"] = f"{_compute_retry_after(error):.2f}"
        return response


class CallerConnection(PipelinedConnection):
    """A caller's connection to a gateway.

    It is closed if it stays idle for too long, or if the headers of a request do not arrive in
    time after their first byte.
    """

    __slots__ = ("_gateway", "_header_s", "_header_timer")

    def __init__(self, gateway: Gateway, manager: web.Server, pipelines: CallerPipelines) -> None:
        limits = gateway.view.caller_limits
        super().__init__(
            manager,
            pipelining=pipelines,
            keepalive_timeout=limits.idle_s,
            lingering_time=LINGER_S,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_head_bytes=limits.header_bytes + MAX_HEADER_LINE_BYTES,
        )
        self._gateway = gateway
        self._header_s = limits.header_s
        self._header_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and limits the time for incomplete headers."""
        super().data_received(data)
        if not self._has_partial_head:
            self._stop_header_timer()
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(self._header_s, self._close_slow_caller)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the request and the timer."""
        self._stop_header_timer()
        super().connection_lost(exc)

    @property
    def is_stopping(self) -> bool:
        """Whether this VM stops, so that responses tell callers to use another one."""
        return self._gateway.draining or super().is_stopping

    def _close_slow_caller(self) -> None:
        self._header_timer = None
        if not self._has_partial_head:
            return
        if self.has_unanswered_request:
            self._header_timer = self._loop.call_later(self._header_s, self._close_slow_caller)
            return
        self.force_close()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

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
    digits = header.lstrip("0")
    if len(digits) > MAX_DEADLINE_DIGITS:
        return MAX_CALLER_TIMEOUT_S
    return min(int(digits or "0") / MS_PER_S, MAX_CALLER_TIMEOUT_S)


def _read_object_key(header: str) -> str:
    """Returns the key of the object; bytes that are not UTF-8 are escaped, long keys shortened."""
    text = header.encode(errors="surrogateescape").decode(errors="backslashreplace")
    return shorten_text(text)


def _read_credential(http_request: web.BaseRequest) -> str:
    """Returns the caller's key, empty if there is none, more than one, or a malformed one."""
    keys = http_request.headers.getall(names.CREDENTIAL, [])
    return keys[0] if len(keys) == 1 and not CONTROL_PATTERN.search(keys[0]) else ""


def _compute_retry_after(error: BriarforkError) -> float:
    """Returns the expected wait for a slot in seconds, with jitter to spread retries."""
    wait_s = float(getattr(error, "wait_s", 0.0)) or DEFAULT_RETRY_AFTER_S
    return wait_s * (1.0 + RETRY_AFTER_JITTER * random.random())
