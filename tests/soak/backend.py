"""Stand-in for a backend server of the platform."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.ledger import Run

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    from tests.soak.ledger import Ledger

QUEUE = 3
FAULTY_SHARE = 0.3
SLOW_S = 0.8
MISBEHAVIOURS: Registry[Callable[[Backend, web.BaseRequest, bytes], Awaitable[web.StreamResponse]]]
MISBEHAVIOURS = Registry("misbehaviour of a backend server")


def build_body(name: str, path: str) -> bytes:
    """Returns the whole answer to a request; it is longer than one segment."""
    return f"{name} {path} ".encode() * 100


class Backend:
    """One incarnation of a server; it behaves well unless a misbehaviour is named."""

    def __init__(
        self, name: str, service: str, zone: str, slots: int, ledger: Ledger, random: Random
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.misbehaviour = ""
        self.random = random
        self.running = 0
        self._ledger = ledger

    async def start(self, address: str, port: int) -> None:
        server = web.Server(self._serve, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        await self._runner.cleanup()
        self._ledger.ended[self.name] = time.monotonic()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get(names.PINNED_INSTANCE) != self.name:
            return web.Response(status=421, headers={names.NOT_EXECUTED: "1"})
        if self.running >= self.slots + QUEUE:
            return web.Response(status=503, headers={names.NOT_EXECUTED: "1"})
        name = request.headers[names.ATTEMPT_ID]
        deadline_s = int(request.headers[names.DEADLINE_MS]) / 1000.0
        run = Run(self.name, self.service, self.zone, time.monotonic(), deadline_s)
        self._ledger.runs[name].append(run)
        self.running += 1
        try:
            return await self._run(request, name)
        except asyncio.CancelledError:
            run.left_at = time.monotonic()
            raise
        finally:
            self.running -= 1
            run.ended_at = time.monotonic()

    async def _run(self, request: web.BaseRequest, name: str) -> web.StreamResponse:
        await asyncio.sleep(int(request.path.split("/")[-1]) / 1000.0)
        body = build_body(name, request.path)
        if self.misbehaviour and self.random.random() < FAULTY_SHARE:
            return await MISBEHAVIOURS.get(self.misbehaviour)(self, request, body)
        return self.answer(name, body)

    def answer(self, name: str, body: bytes, status: int = 200) -> web.Response:
        headers = {
            names.ATTEMPT_ID: name,
            names.RESPONSE_SEAL: f"{self.name}.{name}",
            names.SERVER_LOAD: f"{self.running},0,{self.slots},100",
        }
        return web.Response(status=status, body=body, headers=headers)


def _abort(request: web.BaseRequest) -> web.Response:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


@MISBEHAVIOURS.register("lose")
async def lose_answer(server: Backend, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
    return _abort(request)


@MISBEHAVIOURS.register("cut")
async def cut_answer(server: Backend, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
    whole = server.answer(request.headers[names.ATTEMPT_ID], body)
    answer = web.StreamResponse(headers=whole.headers)
    answer.content_length = len(body)
    await answer.prepare(request)
    await answer.write(body[: len(body) // 2])
    return _abort(request)


@MISBEHAVIOURS.register("mix")
async def answer_another(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    return server.answer("another-request", body)


@MISBEHAVIOURS.register("fail")
async def answer_failure(
    server: Backend, request: web.BaseRequest, body: bytes
) -> web.StreamResponse:
    return server.answer(request.headers[names.ATTEMPT_ID], b"failed", status=500)


@MISBEHAVIOURS.register("slow")
async def answer_late(server: Backend, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
    await asyncio.sleep(SLOW_S)
    return server.answer(request.headers[names.ATTEMPT_ID], body)


@MISBEHAVIOURS.register("shed")
async def shed(server: Backend, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
    """Fails like a server behind a broken dependency; the request has run."""
    return server.answer(request.headers[names.ATTEMPT_ID], b"busy", status=503)
