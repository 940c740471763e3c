"""Measures the processor time, memory and traffic of one control process by fleet size."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.capacity.fleet import Fleet
from tests.capacity.fleet import Usage
from tests.capacity.measurement import MEASUREMENTS
from tests.capacity.measurement import Series
from tests.timeline.test_timeline import build_change
from tests.timeline.test_timeline import build_timeline

if TYPE_CHECKING:
    from pathlib import Path


SIZES = (12, 50, 100, 1550, 3100, 6200)
WINDOW_S = 6.0
CHANGES_PER_S = 3700 / 86400
# Changes are submitted at 100 times the design rate, so that their cost exceeds the noise. A tenth
# of the added cost is the cost at ten times the design rate.
CHANGE_RATE_FACTOR = 100
MAX_CPU_PERCENT, MAX_BYTES_S, MAX_RESIDENT_MB = 2.9, 10_000, 32
DOCUMENT = {"text": "x" * 700}


async def submit(fleet: Fleet, seconds: float) -> None:
    """Submits changes to the first peer at `CHANGE_RATE_FACTOR` times the design rate."""
    timeline = build_timeline()
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        timeline.append(build_change(timeline, edits={f"sites/s-{timeline.generation}": DOCUMENT}))
        fleet.nodes[0].accept_changes(timeline.list_after(timeline.generation - 1, 1), "capacity")
        await asyncio.sleep(1 / (CHANGE_RATE_FACTOR * CHANGES_PER_S))


@MEASUREMENTS.register("control")
async def measure_control(work: Path) -> list[Series]:
    idle: dict[int, Usage] = {}
    busy: dict[int, Usage] = {}
    for size in SIZES:
        async with Fleet(work, size, zones=min(40, size // 2)) as fleet:
            await fleet.wait_until_steady()
            idle[size] = await fleet.measure(WINDOW_S)
            busy[size], _ = await asyncio.gather(fleet.measure(WINDOW_S), submit(fleet, WINDOW_S))

    def build(quantity: str, unit: str, budget: float, values: dict[int, float]) -> Series:
        points = tuple((float(size), value) for size, value in values.items())
        return Series(f"control, {quantity}", unit, "members", points, budget=budget)

    at_ten_times_rate = {
        size: Usage(
            idle[size].cpu_percent + (busy[size].cpu_percent - idle[size].cpu_percent) / 10,
            idle[size].bytes_s + (busy[size].bytes_s - idle[size].bytes_s) / 10,
            busy[size].resident_mb,
        )
        for size in SIZES
    }
    return [
        build("resident", "MB", MAX_RESIDENT_MB, {s: idle[s].resident_mb for s in SIZES}),
        build("processor idle", "%", MAX_CPU_PERCENT, {s: idle[s].cpu_percent for s in SIZES}),
        build("streams idle", "B/s", MAX_BYTES_S, {s: idle[s].bytes_s for s in SIZES}),
        build(
            "processor, 37,000 changes/day",
            "%",
            MAX_CPU_PERCENT,
            {s: at_ten_times_rate[s].cpu_percent for s in SIZES},
        ),
        build(
            "streams, 37,000 changes/day",
            "B/s",
            MAX_BYTES_S,
            {s: at_ten_times_rate[s].bytes_s for s in SIZES},
        ),
    ]
