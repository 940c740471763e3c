"""Tests of pipelines with a gateway as a process: memory, and requests of other callers."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import pytest_asyncio
from aiohttp import web

from briarfork.platform import names
from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.platform.test_pipelines import build_get
from tests.platform.test_pipelines import read_responses
from tests.standins.gateway import FRONT_PORT
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings
from tests.standins.gateway import is_ready
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SCRIPT = Path(__file__).parent.parent.parent / "src" / "run_gateway.py"
VM_ADDRESS, STORE_ADDRESS, SERVER_ADDRESS = "127.62.42.1", "127.62.42.2", "127.62.42.3"
STORE_PORT, SERVER_PORT = 8642, 9000
SLOTS = 4000
START_S = 20.0
LARGE_BYTES = 200_000
# Longer than the load.
SLOW_S, LOAD_S = 40.0, 8.0
# Load in this process delays requests of others on any version.
RECOVERY_S = 15.0
MOST_MB = 150.0
KB_PER_MB = 1024
OBJECTIVE_S = 2.0
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "slo", "service", "max_attempts"]
CONFIGURATION = {
    "version": 1,
    "routes": {
        "columns": ROUTE_COLUMNS,
        "rows": [["a", "h", "/a/", "idempotent", "20s", f"{OBJECTIVE_S:.0f}s", "s", 2]],
    },
    "services": {
        "columns": ["name", "max_connections", "cold_start", "cold_per_s"],
        "rows": [["s", 4000, "0s", 1000.0]],
    },
}


class GatewayProcess:
    """A gateway process with a store and a server, whose paths name times and sizes.

    `/a/50/100?x` takes 50 ms and has a body of 100 bytes.
    """

    def __init__(self) -> None:
        self.starts: dict[str, float] = {}
        self._store = KeyValueStore()

    async def start(self, folder: Path, memory_mb: int) -> None:
        await self._store.start(STORE_ADDRESS, STORE_PORT)
        server = web.Server(self._respond, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, SERVER_ADDRESS, SERVER_PORT, backlog=1024).start()
        await self._store.put(names.CONFIGURATION_KEY, CONFIGURATION)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        vm = VmSettings("vm-1", "a", VM_ADDRESS, f"{STORE_ADDRESS}:{STORE_PORT}", memory_mb)
        (folder / "vm.json").write_text(json.dumps(build_settings(vm, {"a": "north"})))
        with (folder / "vm.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                SCRIPT,
                env={SETTINGS_VARIABLE: str(folder / "vm.json")},
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_S):
            while not await is_ready(VM_ADDRESS):
                await asyncio.sleep(0.1)
            while await self.request("/a/0/10?ready") != 200:
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        self._heartbeats.cancel()
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        await self._runner.cleanup()
        await self._store.close()

    @property
    def peak_mb(self) -> float:
        """Highest resident memory of the gateway so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / KB_PER_MB

    async def request(self, target: str) -> int:
        """Returns the status of one request on a connection of its own, 0 without a response."""
        reader, writer = await asyncio.open_connection(VM_ADDRESS, FRONT_PORT)
        writer.write(build_get(target))
        responses = []
        with suppress(TimeoutError):
            responses = await read_responses(reader, 1)
        writer.close()
        return responses[0][0] if responses else 0

    async def _send_heartbeats(self) -> None:
        entry = {
            "address": f"{SERVER_ADDRESS}:{SERVER_PORT}",
            "info": {"service": "s", "zone": "a", "slots": SLOTS},
            "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"},
            "born": time.time_ns() // 10**6,
        }
        await self._store.put(names.SERVER_PREFIX + "i-1", entry)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        self.starts.setdefault(request.path_qs, time.monotonic())
        _, _, run_ms, size = request.path.split("/")
        await asyncio.sleep(int(run_ms) / 1000.0)
        request_id = request.headers[names.ATTEMPT_ID]
        headers = {names.ATTEMPT_ID: request_id, names.RESPONSE_SEAL: f"i-1.{request_id}"}
        return web.Response(body=bytes(int(size)), headers=headers)


@pytest_asyncio.fixture
async def gateway() -> AsyncIterator[GatewayProcess]:
    gateway = GatewayProcess()
    yield gateway
    await gateway.stop()


class TestMemory:
    async def test_large_responses_behind_a_slow_one(
        self, gateway: GatewayProcess, tmp_path: Path
    ) -> None:
        """Guards against responses ahead of their turn that fill the memory of a small VM."""
        await gateway.start(tmp_path, 200)
        await self._load(gateway, callers=1000, slow_ms=1000 * SLOW_S, behind=15)
        assert gateway.peak_mb < MOST_MB

    async def test_callers_that_read_nothing(self, gateway: GatewayProcess, tmp_path: Path) -> None:
        """Guards against callers that do not read and take the memory and time of others."""
        await gateway.start(tmp_path, 300)
        await self._load(gateway, callers=300, slow_ms=0, behind=63)
        assert gateway.peak_mb < MOST_MB

    async def _load(
        self, gateway: GatewayProcess, *, callers: int, slow_ms: float, behind: int
    ) -> None:
        """Opens callers that read nothing, and sends requests of others meanwhile."""
        writers = []
        for number in range(callers):
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await asyncio.get_running_loop().sock_connect(client, (VM_ADDRESS, FRONT_PORT))
            _, writer = await asyncio.open_connection(sock=client, limit=1024)
            writers.append(writer)
            requests = [build_get(f"/a/{slow_ms:.0f}/{LARGE_BYTES}?{number}")]
            requests += [build_get(f"/a/5/{LARGE_BYTES}?{number}-{i}") for i in range(behind)]
            writer.write(b"".join(requests))
        ends_at = time.monotonic() + LOAD_S
        while time.monotonic() < ends_at:
            await gateway.request(f"/a/20/100?other{time.monotonic()}")
            await asyncio.sleep(0.1)
        async with asyncio.timeout(RECOVERY_S):
            while await gateway.request(f"/a/20/100?last{time.monotonic()}") != 200:
                pass
        for writer in writers:
            with suppress(ConnectionError):
                writer.transport.abort()
