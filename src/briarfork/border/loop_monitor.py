"""Watches for delays of the event loop, which hold up everything that a process does."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.busy_times import BusyTimes
    from briarfork.border.events import EventLog

CHECK_INTERVAL_S = 0.05
# From this delay on, closed connections and deadlines are noticed too late to be of use.
LOGGED_DELAY_S = 0.2
MS_PER_S = 1000.0


class LoopMonitor:
    """Measures how late a timer of the event loop runs, and logs long delays with their work."""

    def __init__(
        self, events: EventLog, busy_times: BusyTimes, observe_delay: Callable[[float], None]
    ) -> None:
        """Creates a monitor.

        Args:
            events: Log for long delays.
            busy_times: Work that may have delayed the event loop.
            observe_delay: Called with the delay of each check, in seconds.
        """
        self._events = events
        self._busy_times = busy_times
        self._observe_delay = observe_delay

    async def run(self) -> None:
        """Checks the event loop until cancelled."""
        while True:
            earlier_s = dict(self._busy_times.totals_s)
            due = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            delay_s = max(0.0, time.monotonic() - due)
            self._observe_delay(delay_s)
            if delay_s >= LOGGED_DELAY_S:
                busy_ms = {
                    f"{work.value}_ms": round((total_s - earlier_s[work]) * MS_PER_S)
                    for work, total_s in self._busy_times.totals_s.items()
                }
                delay_ms = round(delay_s * MS_PER_S)
                self._events.record(Event.LOOP_DELAYED, delay_ms=delay_ms, **busy_ms)
