"""Stand-in for a backend server of the platform."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.endless import REFUSAL
from tests.soak.endless import send_endlessly
from tests.soak.ledger import Run
from tests.soak.ledger import Statement
from tests.soak.ledger import StatementKind

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    from tests.soak.ledger import Ledger

QUEUE_CAPACITY = 3
FAULT_PROBABILITY = 0.3
SLOW_DELAY_S = 0.8
PAUSE_S = 4.0
SECOND_COPY_DELAY_S = 0.02
# These bodies have about 1.5 MB, so that callers can be slow to read them.
LARGE_BODY_PREFIX, LARGE_BODY_COPIES = "/file/", 100_000
BACKEND_FAULTS: Registry[Callable[[Backend, web.BaseRequest, bytes], Awaitable[web.StreamResponse]]]
BACKEND_FAULTS = Registry("backend server fault")


def build_response_body(request_id: str, path: str) -> bytes:
    """Returns the expected response body of a request, which is longer than one TCP segment."""
    copies = LARGE_BODY_COPIES if path.startswith(LARGE_BODY_PREFIX) else 100
    return f"{request_id} {path} ".encode() * copies


def build_request_body(request_id: str, size: int) -> bytes:
    """Returns the body of a request, by which it can be recognized at any length."""
    line = f"{request_id} ".encode()
    return (line * (size // len(line) + 1))[:size]


def build_refusal(request_id: str, status: int) -> web.Response:
    """Returns a response which states that a request did not run."""
    return web.Response(
        status=status, headers={names.ATTEMPT_ID: request_id, names.NOT_EXECUTED: "1"}
    )


class Backend:
    """One incarnation of a backend server; requests succeed unless `fault` names a fault.

    Attributes:
        limit_per_s: Limit that it names, 0 for none.
        leaving: Whether it says that it leaves.
        refusing: Whether it refuses some requests and asks for a pause.
        endless: Name of the endless answer to some requests, empty for none.
        refusing_twice: Whether it refuses some requests, and sends each refusal once more.
    """

    def __init__(
        self, name: str, service: str, zone: str, slots: int, ledger: Ledger, random: Random
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.fault = ""
        self.limit_per_s = 0.0
        self.leaving = False
        self.refusing = False
        self.endless = ""
        self.refusing_twice = False
        self.random = random
        self.in_progress = 0
        self._ledger = ledger

    async def start(self, address: str, port: int) -> None:
        server = web.Server(self._admit_request, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        await self._runner.cleanup()
        self._ledger.stop_times[self.name] = time.monotonic()

    async def _admit_request(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers[names.ATTEMPT_ID]
        if request.headers.get(names.PINNED_INSTANCE) != self.name:
            return build_refusal(request_id, 421)
        self._ledger.arrivals[self.name].append((time.monotonic(), request_id))
        if self.in_progress >= self.slots + QUEUE_CAPACITY:
            return build_refusal(request_id, 503)
        if self.refusing and self.random.random() < FAULT_PROBABILITY:
            return self._refuse_for_a_while(request_id)
        if self.refusing_twice and self.random.random() < FAULT_PROBABILITY:
            _send_later(request, request_id)
            return build_refusal(request_id, 503)
        if self.endless == REFUSAL and self.random.random() < FAULT_PROBABILITY:
            await send_endlessly(request, request_id, REFUSAL)
            return web.Response()
        deadline_s = int(request.headers[names.DEADLINE_MS]) / 1000.0
        run = Run(self.name, self.service, self.zone, time.monotonic(), deadline_s)
        self._ledger.runs[request_id].append(run)
        self.in_progress += 1
        try:
            return await self._handle_request(request, request_id)
        except asyncio.CancelledError:
            run.cancelled_at = time.monotonic()
            raise
        finally:
            self.in_progress -= 1
            run.ended_at = time.monotonic()

    def _refuse_for_a_while(self, request_id: str) -> web.Response:
        response = build_refusal(request_id, 503)
        response.headers["Retry-After"] = str(PAUSE_S)
        self._record(request_id, StatementKind.PAUSE, PAUSE_S)
        return response

    def _record(self, request_id: str, kind: StatementKind, value: float = 0.0) -> None:
        statement = Statement(self.name, request_id, kind, time.monotonic(), value)
        self._ledger.statements.append(statement)

    async def _handle_request(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        if self.fault != "early":
            await self._read_body(request, request_id)
        await asyncio.sleep(int(request.path.split("/")[-1]) / 1000.0)
        if self.endless not in ("", REFUSAL) and self.random.random() < FAULT_PROBABILITY:
            await send_endlessly(request, request_id, self.endless)
            return web.Response()
        body = build_response_body(request_id, request.path)
        if self.fault and self.random.random() < FAULT_PROBABILITY:
            return await BACKEND_FAULTS.get(self.fault)(self, request, body)
        return self.build_response(request_id, body)

    async def _read_body(self, request: web.BaseRequest, request_id: str) -> None:
        body = await request.read()
        if body != build_request_body(request_id, len(body)):
            self._ledger.wrong_bodies.append(f"{request_id} at {self.name}: another body")

    def build_response(self, request_id: str, body: bytes, status: int = 200) -> web.Response:
        headers = {
            names.ATTEMPT_ID: request_id,
            names.RESPONSE_SEAL: f"{self.name}.{request_id}",
            names.SERVER_LOAD: f"{self.in_progress},0,{self.slots},100",
        }
        if self.leaving:
            headers[names.SERVER_LEAVING] = "1"
            self._record(request_id, StatementKind.LEAVING)
        if self.limit_per_s:
            headers[names.SERVER_LIMIT] = str(self.limit_per_s)
            self._record(request_id, StatementKind.LIMIT, self.limit_per_s)
        return web.Response(status=status, body=body, headers=headers)


def _send_later(request: web.BaseRequest, request_id: str) -> None:
    """Sends a second copy of a refusal, while the connection may be in use for another request."""
    transport = request.transport
    assert transport is not None
    copy = (
        f"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n{names.NOT_EXECUTED}: 1\r\n"
        f"{names.ATTEMPT_ID}: {request_id}\r\n\r\n"
    ).encode()

    def send_copy() -> None:
        if not transport.is_closing():
            transport.write(copy)

    asyncio.get_running_loop().call_later(SECOND_COPY_DELAY_S, send_copy)


def _abort_connection(request: web.BaseRequest) -> web.Response:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


@BACKEND_FAULTS.register("lose")
async def drop_response(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    return _abort_connection(request)


@BACKEND_FAULTS.register("cut")
async def truncate_response(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    complete_response = server.build_response(request.headers[names.ATTEMPT_ID], body)
    response = web.StreamResponse(headers=complete_response.headers)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    return _abort_connection(request)


@BACKEND_FAULTS.register("mix")
async def send_foreign_response(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    return server.build_response("another-request", body)


@BACKEND_FAULTS.register("early")
async def answer_without_reading(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    """Responds before the body has been read; the connection is kept and the rest read later."""
    return server.build_response(request.headers[names.ATTEMPT_ID], body)


@BACKEND_FAULTS.register("fail")
async def send_server_error(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    return server.build_response(request.headers[names.ATTEMPT_ID], b"failed", status=500)


@BACKEND_FAULTS.register("slow")
async def delay_response(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    await asyncio.sleep(SLOW_DELAY_S)
    return server.build_response(request.headers[names.ATTEMPT_ID], body)


@BACKEND_FAULTS.register("shed")
async def reject_after_run(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    """Responds with status 503 after running the request, as if a dependency had failed."""
    return server.build_response(request.headers[names.ATTEMPT_ID], b"busy", status=503)


@BACKEND_FAULTS.register("refuse")
async def repeat_earlier_refusal(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    """Refuses an earlier request once more after running this one."""
    return build_refusal("another-request", 503)
