"""A gateway process whose memory limit is in force, beside a store with large records."""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import sys
from contextlib import asynccontextmanager
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

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
from tests.standins.link import Conditions
from tests.standins.link import Link

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator

ROOT = Path(__file__).parent.parent.parent
# Runs beside each other use different addresses.
NETWORK = f"127.64.{os.getpid() % 254 + 1}"
STORE_PORT = 8642
STORE_ADDRESS, LINK_ADDRESS, ADDRESS = f"{NETWORK}.1", f"{NETWORK}.2", f"{NETWORK}.9"
MEMORY_MB = 300
MEMORY_CHECK_S = 0.01
# A value may have 1 MiB; the other fields of the entry take less than 1 KiB.
TEXT_BYTES = 1024 * 1024 - 1024
LARGE_RECORDS = 250
# Keys that one call may write.
MAX_WRITES = 32
START_TIMEOUT_S = 20.0
# The bound `stable_window` of the platform: a VM is up to date this long after the store is back.
STABLE_WINDOW_S = 4.0
SILENCE_S = 1.5
# The slowest links of VMs have 5 Mbit/s, on which a value of 1 MiB takes 2.2 s.
SLOW_LINK_BYTES_PER_S = 5e6 / 8
FEW_LARGE_RECORDS = 4
REQUEST = b"GET /new/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def build_configuration(version: int, *prefixes: str) -> dict[str, object]:
    columns = ["name", "host", "prefix", "kind", "timeout", "slo", "service"]
    rows = [[prefix, "h", prefix, "idempotent", "2s", "1s", "s"] for prefix in prefixes]
    return {
        "version": version,
        "routes": {"columns": columns, "rows": rows},
        "services": {"columns": ["name"], "rows": [["s"]]},
    }


def build_large_entry(field: str = "version") -> bytes:
    """Returns the entry of a server with a text of a megabyte."""
    info = {"service": "unused", "zone": "a", "slots": 2} | {field: "v" * TEXT_BYTES}
    status = {"state": "ready", "sequence": 1}
    return json.dumps({"address": "127.0.0.1:1", "info": info, "status": status}).encode()


class LargeRecordsHarness:
    """A store and one gateway process, which is killed when it exceeds its memory."""

    def __init__(self, work: Path) -> None:
        self._work = work
        self._guard: asyncio.Task[None] | None = None
        self._process: Process | None = None
        self._conditions = Conditions()
        self._link = Link((STORE_ADDRESS, STORE_PORT), lambda _: self._conditions)
        self.store = KeyValueStore()
        self.peak_mb = 0.0

    async def start_store(self) -> None:
        await self.store.start(STORE_ADDRESS, STORE_PORT)
        await self._link.start(LINK_ADDRESS, STORE_PORT)
        await self.store.put(names.CONFIGURATION_KEY, build_configuration(1, "/old/"))

    async def add_large_records(self, count: int, field: str = "version") -> None:
        value = build_large_entry(field)
        for number in range(count):
            await self.store.write({f"{names.SERVER_PREFIX}h{number:04}": (value, 0)}, [])

    async def start_gateway(self, bytes_per_s: float = math.inf) -> None:
        """Starts the gateway, whose link to the store has a bandwidth."""
        self._conditions.bytes_per_s = bytes_per_s
        store = STORE_ADDRESS if bytes_per_s == math.inf else LINK_ADDRESS
        vm = VmSettings("vm-1", "a", ADDRESS, f"{store}:{STORE_PORT}", MEMORY_MB)
        settings = build_settings(vm, {"a": "north"})
        # The entries do not change, so they must not lapse while the store is watched.
        settings["heartbeat"] = f"{100 * HEARTBEAT_S}s"
        path = self._work / "vm.json"
        path.write_text(json.dumps(settings))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "src" / "run_gateway.py"),
            cwd=ROOT,
            env={"PATH": "", SETTINGS_VARIABLE: str(path)},
            stdout=(self._work / "log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )
        self._guard = asyncio.create_task(self._enforce_memory_limit(self._process))

    async def wait_until_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until the gateway is ready and registered."""
        async with asyncio.timeout(timeout_s):
            while not (
                await is_ready(ADDRESS) and names.MEMBER_PREFIX + "vm-1" in self.store.items
            ):
                self.check()
                await asyncio.sleep(0.05)

    async def wait_until_new_route_is_known(self, timeout_s: float) -> None:
        """Waits until the route "/new/" no longer gets a 404; no server serves it."""
        async with asyncio.timeout(timeout_s):
            while True:
                self.check()
                with suppress(OSError):
                    reader, writer = await asyncio.open_connection(ADDRESS, FRONT_PORT)
                    writer.write(REQUEST)
                    line = await reader.readline()
                    writer.close()
                    if b" 503 " in line:
                        return
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        await self.kill_gateway()
        await self._link.close()
        await self.store.close()

    async def kill_gateway(self) -> None:
        if self._guard is not None:
            self._guard.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()

    def has_logged(self, event: str) -> bool:
        return f'"name":"{event}"' in (self._work / "log").read_text()

    def check(self) -> None:
        """Checks that the gateway runs and has not exceeded its memory."""
        assert self.peak_mb <= MEMORY_MB
        assert self._process is not None
        assert self._process.returncode is None

    async def _enforce_memory_limit(self, process: Process) -> None:
        while process.returncode is None:
            self.peak_mb = max(self.peak_mb, read_peak_mb(process.pid))
            if self.peak_mb > MEMORY_MB:
                process.kill()
            await asyncio.sleep(MEMORY_CHECK_S)


@asynccontextmanager
async def run_harness(work: Path) -> AsyncIterator[LargeRecordsHarness]:
    harness = LargeRecordsHarness(work)
    await harness.start_store()
    try:
        yield harness
    finally:
        await harness.close()


class TestLargeRecords:
    @pytest.mark.parametrize("field", ["version", "service", "zone", "other"])
    async def test_killed_vm_starts_again(self, tmp_path: Path, field: str) -> None:
        """Guards against a VM that exceeds its memory at each start while it reads all keys."""
        async with run_harness(tmp_path) as harness:
            await harness.add_large_records(LARGE_RECORDS, field)
            for _ in range(2):
                await harness.start_gateway()
                await harness.wait_until_ready()
                await harness.kill_gateway()
                harness.store.items.pop(names.MEMBER_PREFIX + "vm-1")

    async def test_changes_after_a_silence_are_applied(self, tmp_path: Path) -> None:
        """Guards against a watch that returns more changes than the VM has memory for."""
        async with run_harness(tmp_path) as harness:
            await harness.start_gateway()
            await harness.wait_until_ready()
            harness.store.start_silence()
            await harness.add_large_records(LARGE_RECORDS)
            await harness.store.put(names.CONFIGURATION_KEY, build_configuration(2, "/new/"))
            await asyncio.sleep(SILENCE_S)
            harness.store.end_silence()
            await harness.wait_until_new_route_is_known(STABLE_WINDOW_S)

    async def test_many_changes_at_once_are_read_page_by_page(self, tmp_path: Path) -> None:
        """Guards against a response to a watch that takes the memory, or counts as a lost store."""
        async with run_harness(tmp_path) as harness:
            await harness.start_gateway()
            await harness.wait_until_ready()
            value = build_large_entry()
            keys = [f"{names.SERVER_PREFIX}h{number:04}" for number in range(MAX_WRITES)]
            await harness.store.write({key: (value, 0) for key in keys}, [])
            await harness.store.put(names.CONFIGURATION_KEY, build_configuration(2, "/new/"))
            await harness.wait_until_new_route_is_known(START_TIMEOUT_S)
            assert harness.has_logged("changes_too_long")
            assert not harness.has_logged("store_lost")

    async def test_running_vm_reads_all_keys_again(self, tmp_path: Path) -> None:
        """Guards against a VM that exceeds its memory after the store has lost its history."""
        async with run_harness(tmp_path) as harness:
            await harness.start_gateway()
            await harness.wait_until_ready()
            harness.store.start_silence()
            await harness.add_large_records(LARGE_RECORDS)
            await harness.store.put(names.CONFIGURATION_KEY, build_configuration(2, "/new/"))
            await harness.store.forget_history()
            await asyncio.sleep(SILENCE_S)
            harness.store.end_silence()
            await harness.wait_until_new_route_is_known(STABLE_WINDOW_S)


class TestSlowLink:
    async def test_vm_with_a_slow_link_starts(self, tmp_path: Path) -> None:
        """Guards against a VM that gives each page up because it takes longer than a second."""
        async with run_harness(tmp_path) as harness:
            await harness.add_large_records(FEW_LARGE_RECORDS)
            await harness.start_gateway(SLOW_LINK_BYTES_PER_S)
            await harness.wait_until_ready()

    async def test_long_changes_are_no_loss_of_the_store(self, tmp_path: Path) -> None:
        """Guards against a watch that is given up while its response still arrives."""
        async with run_harness(tmp_path) as harness:
            await harness.start_gateway(SLOW_LINK_BYTES_PER_S)
            await harness.wait_until_ready()
            value = build_large_entry()
            keys = (f"{names.SERVER_PREFIX}h1", f"{names.SERVER_PREFIX}h2")
            await harness.store.write({key: (value, 0) for key in keys}, [])
            await harness.store.put(names.CONFIGURATION_KEY, build_configuration(2, "/new/"))
            await harness.wait_until_new_route_is_known(START_TIMEOUT_S)
            assert not harness.has_logged("store_lost")
