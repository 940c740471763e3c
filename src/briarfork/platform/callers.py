"""HTTP towards callers: requests become the product's, answers become HTTP again."""

from __future__ import annotations

import asyncio
import math
import random
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.callers import CallerProtocol
from briarfork.border.events import Event
from briarfork.entry.forward import HOP_BY_HOP_HEADERS
from briarfork.errors import ANSWERS
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.request import Request
from briarfork.platform import names

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.gateway.dispatch import Dispatcher
    from briarfork.gateway.process import Gateway
    from briarfork.gateway.request import Reply

MILLISECONDS = 1000.0
# Longer than any idle limit of the configuration, which callers keep by themselves.
KEEP_ALIVE_S = 75.0
HEADER_BYTES = 16384
# Errors of requests that get no route, whose end the dispatcher does not log.
BEFORE_DISPATCH = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNKNOWN_PATH,
        ErrorKind.HEADER_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.NO_CONFIGURATION,
    }
)
# Headers that this VM sets itself.
OWN_HEADERS = frozenset(
    name.lower() for name in (names.ATTEMPT_ID, names.DEADLINE_MS, names.EXPECTED_INSTANCE)
)
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | OWN_HEADERS | {"content-length", "expect"}
# When to come back if the wait for a slot is not known, and the spread that keeps callers apart.
RETRY_AFTER_S = 0.25
RETRY_SPREAD = 0.5
# A request without an answer is answered this much before its caller gives up.
CALLER_MARGIN_S = 0.03


class CallerFront:
    """Answers the requests of callers."""

    def __init__(self, gateway: Gateway, dispatcher: Dispatcher) -> None:
        self._gateway = gateway
        self._dispatcher = dispatcher

    async def handle(self, message: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        request_id = message.headers.get(names.ATTEMPT_ID, "")
        try:
            request = await self._read(message, request_id)
            response = _build_response(await self._dispatcher.handle(request))
        except BriarforkError as error:
            response = self._build_error(request_id, message, error)
        if self._gateway.leaving:
            response.force_close()
        return response

    async def _read(self, message: web.BaseRequest, request_id: str) -> Request:
        """Returns the whole request.

        Raises:
            NotRun: If it breaks a limit or is malformed.
        """
        arrived = time.monotonic()
        limits = self._gateway.view.require_table().limits
        size = sum(len(name) + len(value) for name, value in message.raw_headers)
        if size > limits.header_bytes:
            raise NotRun(
                ErrorKind.HEADER_TOO_LARGE,
                f"headers: expected at most {limits.header_bytes} bytes, found {size}",
            )
        wait_s = _read_wait(message.headers.get(names.DEADLINE_MS))
        target = message.raw_path
        if not target.startswith("/"):
            raise NotRun(ErrorKind.BAD_REQUEST, "expected a path")
        return Request(
            request_id=request_id,
            host=message.headers.get("Host", "").rpartition(":")[0]
            or message.headers.get("Host", ""),
            method=message.method,
            target=target,
            headers=tuple(
                (name, value)
                for name, value in message.headers.items()
                if name.lower() not in DROPPED_HEADERS
            ),
            body=await _read_body(message, limits.body_bytes),
            object_key=message.headers.get(names.OBJECT_KEY, ""),
            wait_s=wait_s,
            answer_by=arrived + wait_s - CALLER_MARGIN_S if wait_s else math.inf,
        )

    def _build_error(
        self, request_id: str, message: web.BaseRequest, error: BriarforkError
    ) -> web.Response:
        answer = ANSWERS[error.kind]
        if error.kind in BEFORE_DISPATCH:
            self._gateway.events.record(
                Event.REQUEST_FAILED,
                request=request_id,
                outcome=error.kind.value,
                path=message.raw_path,
                detail=error.detail,
            )
        body = {"error": error.kind.value, "detail": error.detail, "outcome": answer.outcome.value}
        response = web.json_response(body, status=answer.status)
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            response.headers["Retry-After"] = f"{_find_retry_after(error):.2f}"
        return response


class CallerConnection(CallerProtocol):
    """A caller's connection to a gateway."""

    __slots__ = ("_gateway",)

    def __init__(self, gateway: Gateway, manager: web.Server) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEP_ALIVE_S,
            auto_decompress=False,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
        )
        self._gateway = gateway

    @property
    def events(self) -> EventLog:
        """Where faults of the program are logged."""
        return self._gateway.events

    def build_error(self, request: web.BaseRequest, error: BriarforkError) -> web.Response:
        """Returns the answer to an error, which has no request id to log it under."""
        return web.Response(status=ANSWERS[error.kind].status)


async def _read_body(message: web.BaseRequest, limit: int) -> bytes:
    """Returns the whole body.

    Raises:
        NotRun: If it is larger than the limit.
    """
    if not message.body_exists:
        return b""
    parts: list[bytes] = []
    size = message.content_length or 0
    while size <= limit:
        chunk = await message.content.readany()
        if not chunk:
            return b"".join(parts)
        parts.append(chunk)
        size = max(size, sum(map(len, parts)) if message.content_length is None else size)
    raise NotRun(ErrorKind.BODY_TOO_LARGE, f"body: expected at most {limit} bytes")


def _read_wait(header: str | None) -> float | None:
    """Returns how long the caller waits, in seconds.

    Raises:
        NotRun: If the header is not a number of milliseconds.
    """
    if header is None:
        return None
    if not (header.isascii() and header.isdigit()):
        raise NotRun(ErrorKind.BAD_REQUEST, f"{names.DEADLINE_MS}: expected milliseconds")
    return int(header) / MILLISECONDS


def _build_response(reply: Reply) -> web.Response:
    response = web.Response(status=reply.status, body=reply.body)
    for name, value in reply.headers:
        response.headers.add(name, value)
    return response


def _find_retry_after(error: BriarforkError) -> float:
    """Returns when a slot is expected, spread so that callers do not come back together."""
    wait_s = float(getattr(error, "wait_s", 0.0)) or RETRY_AFTER_S
    return wait_s * (1.0 + RETRY_SPREAD * random.random())
