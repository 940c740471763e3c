"""Tests of the monitor of the event loop."""

from __future__ import annotations

import asyncio
import time

import logbook

from briarfork.border.busy_times import BusyTimes
from briarfork.border.busy_times import Work
from briarfork.border.events import EventLog
from briarfork.border.loop_monitor import LOGGED_DELAY_S
from briarfork.border.loop_monitor import MS_PER_S
from briarfork.border.loop_monitor import LoopMonitor

BLOCKED_S = 0.4


class TestLoopMonitor:
    async def test_long_delay_is_logged_with_the_work_that_caused_it(self) -> None:
        """Guards against an overloaded VM whose log does not show that it is late, or why."""
        delays: list[float] = []
        busy_times = BusyTimes()
        with logbook.TestHandler() as handler:
            monitor = LoopMonitor(EventLog("test"), busy_times, delays.append)
            task = asyncio.create_task(monitor.run())
            await asyncio.sleep(0.01)
            with busy_times.measure(Work.PERMITS):
                time.sleep(BLOCKED_S)  # noqa: ASYNC251
            await asyncio.sleep(0.01)
            task.cancel()
        (record,) = [item for item in handler.records if item.extra["name"] == "loop_delayed"]
        assert record.extra["delay_ms"] >= LOGGED_DELAY_S * MS_PER_S
        assert record.extra["permits_ms"] >= LOGGED_DELAY_S * MS_PER_S
        assert record.extra["changes_ms"] == 0
        assert max(delays) >= LOGGED_DELAY_S
