"""A gateway process of limited memory beside servers that send bytes without end."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest

from briarfork.platform import names
from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.standins.gateway import FRONT_PORT
from tests.standins.gateway import HEARTBEAT_S
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings
from tests.standins.gateway import is_ready
from tests.standins.gateway import read_peak_mb
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from asyncio.subprocess import Process

ROOT = Path(__file__).parent.parent.parent
# Runs beside each other use different addresses.
NETWORK = f"127.63.{os.getpid() % 254 + 1}"
STORE_PORT, SERVER_PORT = 8642, 9000
MEMORY_MB = 300
# Limit of the process, so that it cannot take the memory of the machine.
HARD_LIMIT_MB = 4 * MEMORY_MB
BYTES_PER_MB = 1024 * 1024
START_TIMEOUT_S = 15.0
HOST = "endless.example"
ADDRESS = f"{NETWORK}.9"
# Callers that send without end, or do not read; the headers of each of them fill 1.6 MB.
MANY_CALLERS, HEADERS, HEADER_BYTES = 100, 100, 16_000
SLOW_DEADLINE_S = 1.0
READ_LIMIT_BYTES = 1024
SLOTS = 40
FAULTY_CALLERS, SOUND_CALLERS = 40, 20
# Pause of a caller between two requests.
CALLER_PAUSE_S = 0.05
DEADLINE_S = 4.0
SOUND_DEADLINE_S = 1.0
LOAD_S = 4.0
# One sound request in a hundred may meet an end of its deadline beside other load.
SERVED_SHARE = 0.99
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "slo", "service", "max_attempts"]
SERVICE_COLUMNS = ["name", "max_connections", "cold_start", "cold_per_s"]


class EndlessHarness:
    """One gateway process, a server of the service "sound", and one of the service "faulty"."""

    def __init__(self, work: Path) -> None:
        self._work = work
        self._store = KeyValueStore()
        self._processes: list[Process] = []
        self._ids = itertools.count()

    async def start(self, behaviour: str) -> None:
        await self._store.start(f"{NETWORK}.1", STORE_PORT)
        for number, kind in ((2, "sound"), (3, behaviour)):
            arguments = [f"{NETWORK}.{number}", str(SERVER_PORT), kind]
            await self._spawn(["-m", "tests.standins.endless", *arguments], {})
        services = ("sound", "faulty")
        routes = [
            [name, HOST, f"/{name}/", "idempotent", f"{DEADLINE_S:.0f}s", "0.6s", name, 2]
            for name in services
        ]
        body = {
            "version": 1,
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {
                "columns": SERVICE_COLUMNS,
                "rows": [[name, 200, "1s", 10.0] for name in services],
            },
        }
        await self._store.put(names.CONFIGURATION_KEY, body)
        vm = VmSettings("vm-1", "a", ADDRESS, f"{NETWORK}.1:{STORE_PORT}", MEMORY_MB)
        settings = build_settings(vm, {"a": "north"})
        # The servers' entries do not change, so they must not lapse while the store is watched.
        settings["heartbeat"] = f"{100 * HEARTBEAT_S}s"
        path = self._work / "vm.json"
        path.write_text(json.dumps(settings))
        await self._add_entries(services)
        self.gateway = await self._spawn(
            [str(ROOT / "src" / "run_gateway.py")], {SETTINGS_VARIABLE: str(path)}
        )
        limit = HARD_LIMIT_MB * BYTES_PER_MB
        resource.prlimit(self.gateway.pid, resource.RLIMIT_DATA, (limit, limit))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (await is_ready(ADDRESS) and await self._serves_sound_requests()):
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self._store.close()

    async def load(self) -> tuple[Counter[str], Counter[str]]:
        """Runs all callers for a while; returns the answers of the faulty and the sound service."""
        until = time.monotonic() + LOAD_S
        faulty: Counter[str] = Counter()
        sound: Counter[str] = Counter()
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            for _ in range(FAULTY_CALLERS):
                group.create_task(self._call(session, "faulty", DEADLINE_S, until, faulty))
            for _ in range(SOUND_CALLERS):
                group.create_task(self._call(session, "sound", SOUND_DEADLINE_S, until, sound))
        return faulty, sound

    def measure_peak_mb(self) -> float:
        """Returns the largest resident memory of the gateway so far."""
        return read_peak_mb(self.gateway.pid) or float("inf")

    async def call_large(self) -> Counter[str]:
        """Requests a response of the second server once."""
        answers: Counter[str] = Counter()
        async with aiohttp.ClientSession() as session:
            await self._call(session, "faulty", DEADLINE_S, time.monotonic() + 0.01, answers)
        return answers

    async def _serves_sound_requests(self) -> bool:
        answers: Counter[str] = Counter()
        async with aiohttp.ClientSession() as session:
            await self._call(session, "sound", SOUND_DEADLINE_S, time.monotonic() + 0.01, answers)
        return answers["200"] > 0

    async def _call(
        self,
        session: aiohttp.ClientSession,
        service: str,
        deadline_s: float,
        until: float,
        answers: Counter[str],
    ) -> None:
        url = f"http://{ADDRESS}:{FRONT_PORT}/{service}/x"
        while time.monotonic() < until:
            headers = {
                "Host": HOST,
                names.ATTEMPT_ID: f"r{next(self._ids)}",
                names.DEADLINE_MS: str(int(deadline_s * 1000)),
            }
            try:
                async with asyncio.timeout(deadline_s):
                    async with session.get(url, headers=headers) as response:
                        await response.read()
                        answers[str(response.status)] += 1
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                answers[type(error).__name__] += 1
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _add_entries(self, services: tuple[str, ...]) -> None:
        for number, service in enumerate(services, start=2):
            entry = {
                "address": f"{NETWORK}.{number}:{SERVER_PORT}",
                "info": {"service": service, "zone": "a", "slots": SLOTS},
                "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"},
                # Long ago, so that the server is not cold.
                "born": 1,
            }
            await self._store.put(f"{names.SERVER_PREFIX}i-{number}", entry)

    async def _spawn(self, arguments: list[str], environment: dict[str, str]) -> Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env={"PATH": "", "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"} | environment,
            stdout=(self._work / "log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )
        self._processes.append(process)
        return process


async def send_headers() -> None:
    """Sends headers without an empty line after them, until the gateway answers or closes."""
    reader, writer = await asyncio.open_connection(ADDRESS, FRONT_PORT)
    with suppress(ConnectionError):
        writer.write(f"GET /sound/x HTTP/1.1\r\nHost: {HOST}\r\n".encode())
        for number in range(HEADERS):
            writer.write(f"X-{number}: ".encode() + bytes(HEADER_BYTES).replace(b"\0", b"y"))
            writer.write(b"\r\n")
            await writer.drain()
        await reader.read()
    writer.close()


async def request_without_reading(number: int) -> asyncio.StreamWriter:
    """Requests a large response and reads no more of it than the buffers hold."""
    _, writer = await asyncio.open_connection(ADDRESS, FRONT_PORT, limit=READ_LIMIT_BYTES)
    lines = [
        "GET /faulty/x HTTP/1.1",
        f"Host: {HOST}",
        f"{names.ATTEMPT_ID}: slow{number}",
        f"{names.DEADLINE_MS}: {SLOW_DEADLINE_S * 1000:.0f}",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return writer


class TestCallers:
    async def test_endless_headers_do_not_take_the_memory(self, tmp_path: Path) -> None:
        """Guards against callers whose headers, within the limit of each line, fill the memory."""
        harness = EndlessHarness(tmp_path)
        try:
            await harness.start("sound")
            await asyncio.gather(*(send_headers() for _ in range(MANY_CALLERS)))
            assert harness.measure_peak_mb() < MEMORY_MB
        finally:
            await harness.close()

    async def test_unread_responses_are_dropped_at_the_deadline(self, tmp_path: Path) -> None:
        """Guards against callers that do not read and hold the memory for responses for good."""
        harness = EndlessHarness(tmp_path)
        writers: list[asyncio.StreamWriter] = []
        try:
            await harness.start("sound large")
            writers = [await request_without_reading(number) for number in range(MANY_CALLERS)]
            await asyncio.sleep(2 * SLOW_DEADLINE_S)
            assert (await harness.call_large())["200"] == 1
            assert harness.measure_peak_mb() < MEMORY_MB
        finally:
            for writer in writers:
                writer.close()
            await harness.close()


class TestEndlessResponses:
    @pytest.mark.parametrize(
        "behaviour",
        [
            "body",
            "chunked body",
            "short chunks",
            "refusal",
            "headers",
            "interim responses",
            "extra responses",
            "stalled large",
        ],
    )
    async def test_other_callers_are_served_within_the_memory(
        self, tmp_path: Path, behaviour: str
    ) -> None:
        """Guards against a faulty server that takes the memory or the time of a whole VM."""
        harness = EndlessHarness(tmp_path)
        try:
            await harness.start(behaviour)
            _, sound = await harness.load()
            assert harness.gateway.returncode is None, (tmp_path / "log").read_text()[-2000:]
            assert harness.measure_peak_mb() < MEMORY_MB
            assert sound["200"] >= SERVED_SHARE * sound.total(), sound
        finally:
            with suppress(ProcessLookupError):
                await harness.close()

    @pytest.mark.parametrize("behaviour", ["sound large", "sound chunked"])
    async def test_large_responses_are_served_at_once(self, tmp_path: Path, behaviour: str) -> None:
        """Guards against a bound on memory that fails sound downloads which fit one by one."""
        harness = EndlessHarness(tmp_path)
        try:
            await harness.start(behaviour)
            large, sound = await harness.load()
            assert large["200"] >= SERVED_SHARE * large.total(), large
            assert harness.measure_peak_mb() < MEMORY_MB
            assert sound["200"] >= SERVED_SHARE * sound.total(), sound
        finally:
            await harness.close()
