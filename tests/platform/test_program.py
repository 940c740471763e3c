"""Tests of the gateway as a process."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.standins.gateway import FRONT_PORT
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import Iterator

SCRIPT = Path(__file__).parent.parent.parent / "src" / "run_gateway.py"
VM_ADDRESS, STORE_ADDRESS, STORE_PORT = "127.62.41.1", "127.62.41.2", 8642
GRACE_S = 2.0
START_TIMEOUT_S = 15.0
HEAD = b"GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n"
# Replaces a library module and blocks its import.
BLOCKING_MODULE = """
import pathlib, time
pathlib.Path(__file__).with_name("importing").touch()
time.sleep(60.0)
"""
# A program that gets signals after its event loop has closed, at its end and while the interpreter
# takes down its modules.
LATE_SIGNAL = """
import asyncio, os, signal, uvloop
from briarfork.border.signals import ProcessSignals

class LastObject:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGHUP):
        kill(pid, number)

async def run(signals):
    loop = asyncio.get_running_loop()
    signals.attach(loop, print, print)
    await loop.run_in_executor(None, print)
    signals.detach()

last = LastObject()
with ProcessSignals() as signals:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(signals))
    os.kill(os.getpid(), signal.SIGHUP)
os.kill(os.getpid(), signal.SIGHUP)
"""


@pytest.fixture
def starting_process(tmp_path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Returns a gateway that is still importing."""
    (tmp_path / "uvloop.py").write_text(BLOCKING_MODULE)
    environment = {"PYTHONPATH": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.Popen([sys.executable, str(SCRIPT)], env=environment)
    while not (tmp_path / "importing").exists():
        assert process.poll() is None
        time.sleep(0.01)
    yield process
    process.kill()
    process.wait()


class TestStartup:
    def test_sighup_during_imports_does_not_end_the_process(
        self, starting_process: subprocess.Popen[bytes]
    ) -> None:
        """Guards against a reload signal that arrives before its handler is installed."""
        starting_process.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            starting_process.wait(0.3)


class TestPlannedStop:
    async def test_requests_are_answered_whatever_comes_with_the_stop(self, tmp_path: Path) -> None:
        """Guards against a silent store or further signals that end a stop early or prolong it."""
        store = KeyValueStore()
        await store.start(STORE_ADDRESS, STORE_PORT)
        vm = VmSettings("vm-1", "a", VM_ADDRESS, f"{STORE_ADDRESS}:{STORE_PORT}", 200)
        settings = build_settings(vm, {"a": "north"}) | {"bounds": [f"grace={GRACE_S:.0f}s"]}
        (tmp_path / "vm.json").write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            SCRIPT,
            env={SETTINGS_VARIABLE: str(tmp_path / "vm.json")},
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while b'"started"' not in await process.stdout.readline():
                    pass
            reader, writer = await asyncio.open_connection(VM_ADDRESS, FRONT_PORT)
            writer.write(HEAD[:20])
            store.start_silence()
            async with asyncio.timeout(GRACE_S):
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    process.send_signal(number)
                    await asyncio.sleep(0.1)
                # The process no longer accepts connections by then.
                await asyncio.sleep(GRACE_S / 2)
                writer.write(HEAD[20:])
                answer = await reader.read()
                writer.close()
                log = await process.stdout.read()
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await store.close()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in answer
        assert b'"stopped"' in log
        assert b"requests_cut" not in log


class TestEnd:
    def test_signal_after_a_planned_stop_does_not_fail_the_process(self) -> None:
        """Guards against an exit status of a signal that arrives after the last response."""
        environment = {"PYTHONPATH": str(SCRIPT.parent)}
        ended = subprocess.run([sys.executable, "-c", LATE_SIGNAL], env=environment, timeout=30.0)
        assert ended.returncode == 0
