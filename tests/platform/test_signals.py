"""Signals in series, at any moment of the start, the run and the stop of a process."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import yaml

from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = Path(__file__).parent.parent.parent
# Runs beside each other use different addresses.
NETWORK = f"127.65.{os.getpid() % 254 + 1}"
STORE_ADDRESS, STORE_PORT, VM_ADDRESS = f"{NETWORK}.1", 8642, f"{NETWORK}.2"
GRACE_S = 1.0
START_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 15.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# SIGHUP tells of new settings; the others mean nothing to a program.
OTHER_SIGNALS = (
    signal.SIGHUP,
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGPIPE,
    signal.SIGQUIT,
)
PROGRAMS = ("gateway", "control", "entry", "admin")
SEEDS = tuple(range(int(os.environ.get("SIGNAL_SEEDS", "2"))))


class SignalledProcess:
    """A program as a process that gets signals at seeded random moments.

    A process of asyncio reports a wrong status if it ends while it is sent a signal.
    """

    def __init__(self, process: subprocess.Popen[bytes], log: Path, seed: int) -> None:
        self._process = process
        self._log = log
        self._random = random.Random(seed)

    @property
    def has_ended(self) -> bool:
        return self._process.poll() is not None

    def send(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    async def pause(self, longest_s: float) -> None:
        await asyncio.sleep(self._random.uniform(0.0, longest_s))

    async def send_series(self, signals: int, longest_pause_s: float) -> None:
        """Sends signals that must not stop the process, with pauses between them."""
        for _ in range(signals):
            self.send(self._random.choice(OTHER_SIGNALS))
            await self.pause(longest_pause_s)

    async def send_until_end(self, longest_pause_s: float) -> int:
        """Sends signals of all kinds until the process has ended; returns its exit status."""
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while not self.has_ended:
                self.send(self._random.choice(OTHER_SIGNALS + STOP_SIGNALS))
                await self.pause(longest_pause_s)
        return self._process.wait()

    async def wait_until_interpreted(self) -> None:
        """Waits until the first lines of the program have run, which own SIGHUP."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (self._read_mask("SigIgn") | self._read_mask("SigCgt")) & 1:
                assert not self.has_ended, self.read_log()
                await asyncio.sleep(0.001)

    async def wait_until_logged(self, event: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.has_logged(event):
                assert not self.has_ended, self.read_log()
                await asyncio.sleep(0.01)

    def has_logged(self, event: str) -> bool:
        log = self.read_log()
        return f'"name":"{event}"' in log or f" name={event} " in log

    def read_log(self) -> str:
        return self._log.read_text()

    def _read_mask(self, name: str) -> int:
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(status.partition(f"{name}:")[2].split()[0], 16)


class SignalHarness:
    """Settings for all programs, whose store is `store`."""

    def __init__(self, work: Path) -> None:
        self._work = work
        self.store = KeyValueStore()

    def write_settings(self) -> None:
        vm = VmSettings("vm-1", "a", VM_ADDRESS, f"{STORE_ADDRESS}:{STORE_PORT}", 200)
        gateway = build_settings(vm, {"a": "north"}) | {"bounds": [f"grace={GRACE_S:.0f}s"]}
        (self._work / "gateway.json").write_text(json.dumps(gateway))
        url = f"http://{STORE_ADDRESS}:{STORE_PORT}"
        service = {"vm": "vm-1", "zone": "a", "address": VM_ADDRESS}
        service |= {"store_url": url, "platform_url": url}
        timeouts = {"stop_s": GRACE_S, "spread_s": 0.2, "heartbeat_s": 0.2}
        (self._work / "vm.yaml").write_text(yaml.safe_dump(service | {"timeouts": timeouts}))

    @asynccontextmanager
    async def run(self, program: str, seed: int) -> AsyncIterator[SignalledProcess]:
        """Starts a program, which is killed if it is still there at the end."""
        log = self._work / "log"
        process = self._spawn(program, log)
        try:
            yield SignalledProcess(process, log, seed)
        finally:
            process.kill()
            process.wait()

    def _spawn(self, program: str, log: Path) -> subprocess.Popen[bytes]:
        command = ["-m", f"briarfork.{program}.main", str(self._work / "vm.yaml")]
        if program == "gateway":
            command = [str(ROOT / "src" / "run_gateway.py")]
        environment = {
            "PYTHONPATH": str(ROOT / "src"),
            SETTINGS_VARIABLE: str(self._work / "gateway.json"),
        }
        with log.open("wb") as file:
            return subprocess.Popen(
                [sys.executable, *command],
                env=environment,
                stdout=file,
                stderr=subprocess.STDOUT,
            )


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[SignalHarness]:
    harness = SignalHarness(tmp_path)
    harness.write_settings()
    await harness.store.start(STORE_ADDRESS, STORE_PORT)
    yield harness
    await harness.store.close()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("program", PROGRAMS)
class TestSignals:
    async def test_start_goes_on_and_keeps_a_stop(
        self, harness: SignalHarness, program: str, seed: int
    ) -> None:
        """Guards against the default action of a signal that arrives before the event loop runs."""
        async with harness.run(program, seed) as process:
            await process.wait_until_interpreted()
            await process.pause(0.3)
            await process.send_series(signals=5, longest_pause_s=0.05)
            process.send(signal.SIGTERM)
            status = await process.send_until_end(longest_pause_s=0.05)
            assert status == 0, process.read_log()
            assert process.has_logged("stopping")
            assert process.has_logged("stopped")

    async def test_signals_while_running_do_not_end_the_process(
        self, harness: SignalHarness, program: str, seed: int
    ) -> None:
        """Guards against the default action of a signal that no handler expects."""
        async with harness.run(program, seed) as process:
            await process.wait_until_logged("started")
            await process.send_series(signals=20, longest_pause_s=0.02)
            process.send(signal.SIGHUP)
            await process.wait_until_logged("reloaded")
            assert not process.has_ended, process.read_log()
            process.send(signal.SIGINT)
            await process.wait_until_logged("stopping")

    async def test_signals_during_the_stop_do_not_change_its_status(
        self, harness: SignalHarness, program: str, seed: int
    ) -> None:
        """Guards against a signal between the close of the event loop and the exit."""
        async with harness.run(program, seed) as process:
            await process.wait_until_logged("started")
            process.send(signal.SIGTERM)
            await process.wait_until_logged("stopping")
            status = await process.send_until_end(longest_pause_s=0.005)
            assert status == 0, process.read_log()
            assert process.has_logged("stopped")
