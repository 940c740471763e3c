"""The memory of this process beside the limit of its VM."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.events import Event

if TYPE_CHECKING:
    from briarfork.border.events import EventLog

STATUS_FILE = Path("/proc/self/status")
CHECK_INTERVAL_S = 1.0
# Shares of the limit at which a line is logged; a process that exceeds the limit is killed and
# cannot log that.
LOGGED_SHARES = (0.5, 0.75, 0.9)
KB_PER_MB = 1024
BYTES_PER_MB = 1024 * KB_PER_MB


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Resident memory of this process, in MB.

    Attributes:
        resident_mb: Memory at present, 0 if unknown.
        peak_mb: Highest memory so far, 0 if unknown.
    """

    resident_mb: float = 0.0
    peak_mb: float = 0.0


def read_memory() -> MemoryUse:
    """Returns the memory of this process according to Linux, zeros if the system does not tell."""
    try:
        lines = STATUS_FILE.read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines if line.startswith("Vm"))
        return MemoryUse(_parse_mb(fields.get("VmRSS")), _parse_mb(fields.get("VmHWM")))
    # The figures are only logged: a listing must not fail for want of them.
    except (OSError, ValueError, IndexError):
        return MemoryUse()


def _parse_mb(text: str | None) -> float:
    return int(text.split()[0]) / KB_PER_MB if text else 0.0


class MemoryMonitor:
    """Logs when the peak memory of this process passes a share of the limit."""

    def __init__(self, events: EventLog, limit_mb: int) -> None:
        """Creates a monitor.

        Args:
            events: Log for high use of memory.
            limit_mb: Memory above which the platform kills the process, in MB.
        """
        self._events = events
        self._limit_mb = limit_mb
        self._shares = list(LOGGED_SHARES)

    async def run(self) -> None:
        """Checks the memory until cancelled."""
        while True:
            self.check(read_memory())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, use: MemoryUse) -> None:
        """Logs the highest share that the peak has passed and that was not logged before."""
        passed = [share for share in self._shares if use.peak_mb >= share * self._limit_mb]
        if passed:
            self._shares = [share for share in self._shares if share not in passed]
            self._events.record(
                Event.MEMORY_HIGH,
                resident_mb=round(use.resident_mb),
                peak_mb=round(use.peak_mb),
                limit_mb=self._limit_mb,
            )
