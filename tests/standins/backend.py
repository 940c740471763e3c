"""Stand-in for backend servers; one process runs several servers, each on its own address.

Each server has a number of slots and refuses requests as "not run" while all slots are in use. It
serves long downloads with a strong entity tag. Its ledger counts the executions of each request by
idempotency key or, without one, by the header Test-Request.

`POST /control` sets attributes of the server:

- `state`: "live" or "draining"
- `slow_factor`: multiplier of all run times
- `fault`: "", "close-before", "close-after", "short", "hang" or "endless-chunk"
- `load`: a fixed load report, to simulate misleading reports

The header Test-Run-Ms sets the run time of a request, so that a benchmark can offer the same work
to every selection policy.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from aiohttp import web

CHUNK_BYTES = 16384
HANG_S = 60.0


@dataclass(slots=True)
class Server:
    """State of one backend server.

    Attributes:
        vm: Name of the VM.
        slots: Maximum number of requests in progress.
        run_ms: Mean run time in milliseconds.
        download_bytes: Default size of a download.
        rate_bytes_s: Download rate in bytes per second; 0 means unlimited.
        random: Source of the run times.
        cold_until: Monotonic time until which run times are five times as long.
        peak: Maximum number of requests in progress so far.
        shed: Number of refused requests.
        cancelled: Number of requests whose connection was closed by the caller.
        ledger: Number of executions by request.
        arrivals: Wall-clock times at which requests started.
        steady: Whether all requests take exactly `run_ms` instead of exponential run times.
    """

    vm: str
    slots: int
    run_ms: float
    download_bytes: int
    rate_bytes_s: float
    random: random.Random
    cold_until: float = 0.0
    in_progress: int = 0
    peak: int = 0
    shed: int = 0
    cancelled: int = 0
    connections: int = 0
    state: str = "live"
    slow_factor: float = 1.0
    fault: str = ""
    load: dict[str, Any] | None = None
    ledger: dict[str, int] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)
    last_start: float = 0.0
    steady: bool = False

    def draw_run_time_s(self) -> float:
        cold = 5.0 if time.monotonic() < self.cold_until else 1.0
        if self.steady:
            return self.run_ms / 1000.0 * self.slow_factor * cold
        return self.random.expovariate(1000.0 / self.run_ms) * self.slow_factor * cold


SERVER = web.AppKey("server", Server)
routes = web.RouteTableDef()


@routes.get("/health")
async def get_health(request: web.Request) -> web.Response:
    return web.Response(text="ok")


@routes.get("/load")
async def load(request: web.Request) -> web.Response:
    server = request.app[SERVER]
    report = {"in_progress": server.in_progress, "slots": server.slots, "state": server.state}
    return web.json_response(server.load or report)


@routes.post("/control")
async def set_control(request: web.Request) -> web.Response:
    for name, value in (await request.json()).items():
        setattr(request.app[SERVER], name, value)
    return web.json_response({})


@routes.get("/ledger")
async def ledger(request: web.Request) -> web.Response:
    server = request.app[SERVER]
    names = ("vm", "in_progress", "peak", "shed", "cancelled", "ledger", "arrivals", "last_start")
    return web.json_response({name: getattr(server, name) for name in names})


@routes.route("*", "/{path:.*}")
async def handle_request(request: web.Request) -> web.StreamResponse:
    server = request.app[SERVER]
    if server.state == "draining":
        return _refuse(server, {"Backend-State": "draining"})
    if server.in_progress >= server.slots:
        return _refuse(server, {})
    server.in_progress += 1
    server.peak = max(server.peak, server.in_progress)
    server.arrivals.append(time.time())
    server.last_start = time.time()
    try:
        return await _run_request(server, request)
    except asyncio.CancelledError:
        server.cancelled += 1
        raise
    finally:
        server.in_progress -= 1


def _refuse(server: Server, headers: dict[str, str]) -> web.Response:
    server.shed += 1
    return web.Response(status=503, headers={"Briarfork-Outcome": "not-run", **headers})


async def _run_request(server: Server, request: web.Request) -> web.StreamResponse:
    if server.fault == "close-before":
        return _abort_connection(request)
    body = await request.read()
    name = request.headers.get("Idempotency-Key") or request.headers.get("Test-Request") or "-"
    if server.fault == "hang":
        await asyncio.sleep(HANG_S)
    server.ledger[name] = server.ledger.get(name, 0) + 1
    has_run_time = "Test-Run-Ms" in request.headers
    if not has_run_time and request.path.startswith(("/videos", "/recordings", "/drawings")):
        return await _download(server, request)
    await asyncio.sleep(_get_run_time_s(server, request))
    if server.fault == "close-after":
        return _abort_connection(request)
    if server.fault == "short":
        return await _send_truncated_body(request)
    return web.json_response(
        {"server": server.vm, "path": request.path, "bytes": len(body), "request": name}
    )


def _get_run_time_s(server: Server, request: web.Request) -> float:
    run_ms_header = request.headers.get("Test-Run-Ms")
    return (
        float(run_ms_header) / 1000.0 * server.slow_factor
        if run_ms_header
        else server.draw_run_time_s()
    )


async def _download(server: Server, request: web.Request) -> web.StreamResponse:
    total = int(request.query.get("bytes", server.download_bytes))
    start = 0
    range_header = request.headers.get("Range", "")
    if range_header.startswith("bytes=") and request.headers.get("If-Range", ETAG) == ETAG:
        start = int(range_header.removeprefix("bytes=").split("-")[0])
    headers = {"ETag": ETAG, "Content-Length": str(total - start), "Accept-Ranges": "bytes"}
    if start:
        headers["Content-Range"] = f"bytes {start}-{total - 1}/{total}"
    response = web.StreamResponse(status=206 if start else 200, headers=headers)
    await response.prepare(request)
    for offset in range(start, total, CHUNK_BYTES):
        if server.fault == "short" and offset > total // 2:
            return _abort_connection(request)
        size = min(CHUNK_BYTES, total - offset)
        await response.write(make_content(offset, size))
        if server.rate_bytes_s:
            await asyncio.sleep(size / server.rate_bytes_s * server.slow_factor)
    return response


ETAG = '"content-1"'


def make_content(offset: int, size: int) -> bytes:
    first = offset // 8
    words = b"".join(number.to_bytes(8, "big") for number in range(first, first + size // 8 + 2))
    return words[offset % 8 : offset % 8 + size]


async def _send_truncated_body(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Length": "1000"})
    await response.prepare(request)
    await response.write(b"x" * 500)
    return _abort_connection(request)


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def serve(arguments: argparse.Namespace) -> None:
    for index, address_and_port in enumerate(arguments.listen):
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app[SERVER] = Server(
            vm=f"{arguments.name}-{index + 1}",
            slots=arguments.slots,
            run_ms=arguments.run_ms,
            download_bytes=arguments.download_bytes,
            rate_bytes_s=arguments.rate_bytes_s,
            random=random.Random(f"{arguments.seed}-{arguments.name}-{index}"),
            cold_until=time.monotonic() + arguments.cold_s,
            steady=arguments.steady,
        )
        app.add_routes(routes)
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.2)
        await runner.setup()
        address, _, port = address_and_port.rpartition(":")
        await web.TCPSite(runner, address, int(port)).start()
    await asyncio.Event().wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", nargs="+", required=True, metavar="ADDRESS:PORT")
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--run-ms", type=float, default=10.0)
    parser.add_argument("--download-bytes", type=int, default=1_000_000)
    parser.add_argument("--rate-bytes-s", type=float, default=0.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--steady", action="store_true", help="same run time for all requests")
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
