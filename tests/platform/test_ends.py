"""Ends of the gateway: each has its reason in the log and a documented status."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import pytest

from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.standins.gateway import FRONT_PORT
from tests.standins.gateway import INTERNAL_PORTS
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings

if TYPE_CHECKING:
    from collections.abc import Iterator

SOURCES = Path(__file__).parent.parent.parent / "src"
# Runs beside each other use different addresses.
NETWORK = f"127.66.{os.getpid() % 254 + 1}"
ADDRESS, STORE = f"{NETWORK}.1", f"{NETWORK}.2:8642"
# An address for documentation, which no machine has.
FOREIGN_ADDRESS = "192.0.2.1"
TIMEOUT_S = 15.0
POLL_S = 0.02
# The time for which a start waits for a file or a port is longer than this.
SHORT_DELAY_S = 1.0
REQUEST = b"GET /a/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
FAILING_PROGRAM = """
from briarfork.border.signals import ProcessSignals
from briarfork.platform import program

def fail(*_):
    raise RuntimeError("not expected")

program.{function} = fail
with ProcessSignals() as signals:
    program.run_program(signals)
"""

STUBBORN_PROGRAM = """
import asyncio
from contextlib import suppress
from briarfork.border.signals import ProcessSignals
from briarfork.platform import program

async def run_for_ever(*_):
    while True:
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(60.0)

program.MemoryMonitor.run = run_for_ever
with ProcessSignals() as signals:
    program.run_program(signals)
"""


class GatewayProcess:
    """A gateway with a settings file, and its log."""

    def __init__(self, work: Path) -> None:
        self.path = work / "vm.json"
        self._log = work / "log"
        self._process: subprocess.Popen[bytes] | None = None

    def build_settings(self, address: str = ADDRESS) -> bytes:
        settings = build_settings(VmSettings("vm-1", "a", address, STORE, 200), {"a": "north"})
        return json.dumps(settings | {"bounds": ["grace=1s"]}).encode()

    def start(self, *arguments: str) -> None:
        with self._log.open("wb") as log:
            command = list(arguments) or [str(SOURCES / "run_gateway.py")]
            self._process = self.spawn(command, log.fileno(), subprocess.DEVNULL)

    def spawn(self, command: list[str], stdout: int, stderr: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, *command],
            env={"PYTHONPATH": str(SOURCES), SETTINGS_VARIABLE: str(self.path)},
            stdout=stdout,
            stderr=stderr,
        )

    def wait_until_logged(self, event: str) -> dict[str, Any]:
        """Returns the first line of an event."""
        assert self._process is not None
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            if lines := [line for line in self.read_log() if line["name"] == event]:
                return lines[0]
            assert self._process.poll() is None, self.read_log()
            time.sleep(POLL_S)
        raise AssertionError(f"no line {event} in {self.read_log()}")

    def read_log(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self._log.read_bytes().splitlines()]

    def stop(self) -> None:
        assert self._process is not None
        self._process.terminate()

    def wait(self) -> int:
        assert self._process is not None
        return self._process.wait(TIMEOUT_S)

    def close(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[GatewayProcess]:
    gateway = GatewayProcess(tmp_path)
    yield gateway
    gateway.close()


class TestFailure:
    @pytest.mark.parametrize("function", ["GatewayView", "GatewayServers.open"])
    def test_unexpected_error_has_a_line_with_its_place(
        self, gateway: GatewayProcess, function: str
    ) -> None:
        """Guards against an end whose only reason is a traceback on standard error."""
        gateway.path.write_bytes(gateway.build_settings())
        gateway.start("-c", FAILING_PROGRAM.format(function=function))
        assert gateway.wait() == 1
        [line] = [line for line in gateway.read_log() if line["name"] == "process_failed"]
        assert (line["status"], line["vm"]) == (1, "vm-1")
        assert "not expected" in line["error"]
        assert " fail" in line["place"]

    def test_address_that_cannot_be_bound_is_named(self, gateway: GatewayProcess) -> None:
        """Guards against an end without a line if a listening socket cannot be opened."""
        gateway.path.write_bytes(gateway.build_settings(FOREIGN_ADDRESS))
        gateway.start()
        assert gateway.wait() == 1
        [line] = [line for line in gateway.read_log() if line["name"] == "process_failed"]
        assert FOREIGN_ADDRESS in line["error"]


class TestStop:
    def test_failed_deregistration_cuts_no_request(self, gateway: GatewayProcess) -> None:
        """Guards against an error of one step of the stop that ends all requests in progress."""
        gateway.path.write_bytes(gateway.build_settings())
        gateway.start("-c", FAILING_PROGRAM.format(function="Registration.deregister"))
        gateway.wait_until_logged("started")
        with socket.create_connection((ADDRESS, FRONT_PORT)) as caller:
            caller.sendall(REQUEST[:20])
            gateway.stop()
            gateway.wait_until_logged("task_failed")
            caller.sendall(REQUEST[20:])
            assert caller.recv(1024).startswith(b"HTTP/1.1 503")
        assert gateway.wait() == 0
        assert gateway.read_log()[-1]["name"] == "stopped"

    def test_task_that_does_not_end_does_not_hold_up_the_exit(
        self, gateway: GatewayProcess
    ) -> None:
        """Guards against a stop that is ended by SIGKILL after its last response."""
        gateway.path.write_bytes(gateway.build_settings())
        gateway.start("-c", STUBBORN_PROGRAM)
        gateway.wait_until_logged("started")
        gateway.stop()
        assert gateway.wait() == 0
        line, last = gateway.read_log()[-2:]
        assert (line["name"], last["name"]) == ("task_failed", "stopped")
        assert "run_for_ever" in line["task"]

    def test_logs_without_a_reader_do_not_change_the_status(self, gateway: GatewayProcess) -> None:
        """Guards against a planned stop that fails because its log cannot be written."""
        gateway.path.write_bytes(gateway.build_settings())
        reader, writer = os.pipe()
        with gateway.spawn([str(SOURCES / "run_gateway.py")], writer, writer) as process:
            os.close(writer)
            assert b"started" in os.read(reader, 4096)
            os.close(reader)
            process.send_signal(signal.SIGHUP)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0


class TestPorts:
    @pytest.mark.parametrize("port", [FRONT_PORT, *INTERNAL_PORTS])
    def test_start_waits_for_a_port_that_becomes_free(
        self, gateway: GatewayProcess, port: int
    ) -> None:
        """Guards against a start that fails because the previous process has not ended yet."""
        gateway.path.write_bytes(gateway.build_settings())
        with socket.create_server((ADDRESS, port)):
            gateway.start()
            time.sleep(SHORT_DELAY_S)
        gateway.wait_until_logged("started")
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            try:
                socket.create_connection((ADDRESS, port)).close()
                break
            except ConnectionRefusedError:
                assert time.monotonic() < deadline
                time.sleep(POLL_S)

    def test_stop_ends_the_wait_for_a_port(self, gateway: GatewayProcess) -> None:
        """Guards against a stop that waits for a start to fail, and then counts as a failure."""
        gateway.path.write_bytes(gateway.build_settings())
        with socket.create_server((ADDRESS, FRONT_PORT)):
            gateway.start()
            time.sleep(SHORT_DELAY_S)
            gateway.stop()
            assert gateway.wait() == 0
        assert [line["name"] for line in gateway.read_log()] == ["stopping", "stopped"]

    def test_restart_binds_ports_beside_connections_of_the_killed_process(
        self, gateway: GatewayProcess
    ) -> None:
        """Guards against listening sockets without SO_REUSEADDR."""
        gateway.path.write_bytes(gateway.build_settings())
        gateway.start()
        gateway.wait_until_logged("started")
        kept = [socket.create_connection((ADDRESS, FRONT_PORT)) for _ in range(3)]
        gateway.close()
        gateway.start()
        gateway.wait_until_logged("started")
        for connection in kept:
            connection.close()


class TestSettingsFile:
    @pytest.mark.parametrize("part", [None, 0, 300])
    def test_start_waits_for_a_file_that_is_being_written(
        self, gateway: GatewayProcess, part: int | None
    ) -> None:
        """Guards against an end because the file is missing, empty or half-written for a moment."""
        settings = gateway.build_settings()
        if part is not None:
            gateway.path.write_bytes(settings[:part])
        gateway.start()
        gateway.wait_until_logged("settings_unusable")
        gateway.path.write_bytes(settings)
        gateway.wait_until_logged("started")

    def test_file_that_stays_incomplete_ends_with_its_reason(self, gateway: GatewayProcess) -> None:
        """Guards against an end whose reason is not in the log, and a wait without end."""
        gateway.path.write_bytes(b"{")
        gateway.start()
        assert gateway.wait() == 2
        assert [line["name"] for line in gateway.read_log()] == [
            "settings_unusable",
            "process_failed",
        ]
        assert gateway.read_log()[1]["status"] == 2

    def test_stop_ends_the_wait_for_a_file(self, gateway: GatewayProcess) -> None:
        """Guards against a stop that counts as a failure because the file is missing."""
        gateway.start()
        gateway.wait_until_logged("settings_unusable")
        gateway.stop()
        assert gateway.wait() == 0
        assert [line["name"] for line in gateway.read_log()][1:] == ["stopping", "stopped"]
