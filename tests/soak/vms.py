"""Gateway processes of a soak test, each with the limits and the link of its VM."""

from __future__ import annotations

import asyncio
import math
import signal
import sys
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.soak.ledger import FaultInterval
from tests.standins.gateway import read_peak_mb
from tests.standins.gateway import read_processor_wait_s

if TYPE_CHECKING:
    from asyncio.subprocess import Process

    from tests.soak.ledger import Ledger
    from tests.standins.link import Conditions
    from tests.standins.link import Link

ROOT = Path(__file__).parent.parent.parent
VM_MEMORY_MB = 200
RESTART_DELAY_S = 0.3
# No program can handle signals before its interpreter runs, for which it needs a processor.
INTERPRETER_START_S = 0.1


@dataclass
class Vm:
    """A gateway process, which is restarted whenever it exits, and its link to the store.

    Attributes:
        name: Name of the VM.
        zone: Zone of the VM.
        address: Loopback address of the VM.
        work: Folder for settings and logs.
        ledger: Record of the soak.
        link: Proxy between the VM and the store.
        conditions: Conditions of that link.
        process: Latest process of the gateway.
        started_at: Monotonic start time of the process.
        expected_statuses: Statuses with which the process may exit.
        peak_memory_mb: Highest resident memory of the process so far.
        processor_wait_s: For how long the process was ready to run but had no processor.
        downtime: Time from the latest stop or end of a process to the start of the next.
    """

    name: str
    zone: str
    address: str
    work: Path
    ledger: Ledger
    link: Link
    conditions: Conditions
    process: Process | None = None
    started_at: float = 0.0
    expected_statuses: set[int] = field(default_factory=set)
    peak_memory_mb: float = 0.0
    processor_wait_s: float = 0.0
    downtime: FaultInterval = field(default_factory=lambda: FaultInterval("none", 0.0, 0.0))
    _exit_watcher: asyncio.Task[None] | None = None

    @property
    def settings_path(self) -> Path:
        return self.work / f"{self.name}.json"

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def age_s(self) -> float:
        return time.monotonic() - self.started_at

    @property
    def is_interpreter_starting(self) -> bool:
        """Whether the process may not run its program yet, however busy the machine is."""
        if self.process is None:
            return True
        return self.age_s - read_processor_wait_s(self.process.pid) < INTERPRETER_START_S

    async def start(self) -> None:
        """Starts the process."""
        self.expected_statuses, self.peak_memory_mb, self.processor_wait_s = set(), 0.0, 0.0
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "src" / "run_gateway.py"),
            env={SETTINGS_VARIABLE: str(self.settings_path), "PATH": ""},
            stdout=(self.work / f"{self.name}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )
        self.started_at = self.downtime.ended_at = time.monotonic()
        self.ledger.start_times[self.name].append(self.started_at)
        self._exit_watcher = asyncio.create_task(self._restart_on_exit(self.process))

    async def close(self) -> None:
        """Ends the process for good."""
        if self._exit_watcher is not None:
            self._exit_watcher.cancel()
        if self.process is not None and self.is_running:
            self.process.kill()
            await self.process.wait()
        await self.link.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is None or not self.is_running:
            return
        if number == signal.SIGTERM:
            self.expected_statuses.add(0)
        if number == signal.SIGKILL or self.is_interpreter_starting:
            self.expected_statuses.add(-number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._start_downtime()
        self.process.send_signal(number)

    def enforce_memory_limit(self) -> None:
        """Kills the process if it has exceeded the memory of the VM, as the platform does.

        Also records for how long the process had no processor.
        """
        if self.process is None or not self.is_running:
            return
        wait_s = read_processor_wait_s(self.process.pid)
        self.ledger.add_processor_wait(self.name, wait_s - self.processor_wait_s)
        self.processor_wait_s = max(self.processor_wait_s, wait_s)
        self.peak_memory_mb = max(self.peak_memory_mb, read_peak_mb(self.process.pid))
        peaks_mb = self.ledger.peak_memory_mb
        peaks_mb[self.name] = max(peaks_mb.get(self.name, 0.0), self.peak_memory_mb)
        if self.peak_memory_mb > VM_MEMORY_MB:
            self.process.kill()

    async def _restart_on_exit(self, process: Process) -> None:
        code = await process.wait()
        if code not in self.expected_statuses:
            self.ledger.unexpected_exits.append(
                f"{self.name} exited unexpectedly with status {code}, {self.age_s:.2f} s after its "
                f"start, peak memory {self.peak_memory_mb:.0f} MB of {VM_MEMORY_MB}"
            )
        self._start_downtime()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    def _start_downtime(self) -> None:
        if self.downtime.ended_at < math.inf:
            self.downtime = FaultInterval("down", time.monotonic())
            self.ledger.downtimes[self.name].append(self.downtime)
