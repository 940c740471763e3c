"""What the control process of one node costs, and what followers cost the store."""

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
CHANGES_S = 3700 / 86400
# Changes come at 100 times the design rate, so that their share stands out from the noise; a tenth
# of what they add is the cost at ten times the rate.
CHANGE_FACTOR = 100
CPU_PERCENT, BYTES_S, RESIDENT_MB = 2.9, 10_000, 32
DOCUMENT = {"text": "x" * 700}


async def submit(fleet: Fleet, seconds: float) -> None:
    """Hands the first light peer changes at 100 times the design rate."""
    timeline = build_timeline()
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        timeline.append(build_change(timeline, edits={f"sites/s-{timeline.generation}": DOCUMENT}))
        fleet.nodes[0].accept_changes(timeline.list_after(timeline.generation - 1, 1), "capacity")
        await asyncio.sleep(1 / (CHANGE_FACTOR * CHANGES_S))


@MEASUREMENTS.register("control")
async def measure_control(work: Path) -> list[Series]:
    idle: dict[int, Usage] = {}
    busy: dict[int, Usage] = {}
    for size in SIZES:
        async with Fleet(work, size, zones=min(40, size // 2)) as fleet:
            await fleet.wait_steady()
            idle[size] = await fleet.measure(WINDOW_S)
            busy[size], _ = await asyncio.gather(fleet.measure(WINDOW_S), submit(fleet, WINDOW_S))

    def build(quantity: str, unit: str, budget: float, values: dict[int, float]) -> Series:
        points = tuple((float(size), value) for size, value in values.items())
        return Series(f"control, {quantity}", unit, "members", points, budget=budget)

    ten_times = {
        size: Usage(
            idle[size].cpu_percent + (busy[size].cpu_percent - idle[size].cpu_percent) / 10,
            idle[size].bytes_s + (busy[size].bytes_s - idle[size].bytes_s) / 10,
            busy[size].resident_mb,
        )
        for size in SIZES
    }
    return [
        build("resident", "MB", RESIDENT_MB, {s: idle[s].resident_mb for s in SIZES}),
        build("processor idle", "%", CPU_PERCENT, {s: idle[s].cpu_percent for s in SIZES}),
        build("streams idle", "B/s", BYTES_S, {s: idle[s].bytes_s for s in SIZES}),
        build(
            "processor, 37,000 changes/day",
            "%",
            CPU_PERCENT,
            {s: ten_times[s].cpu_percent for s in SIZES},
        ),
        build(
            "streams, 37,000 changes/day", "B/s", BYTES_S, {s: ten_times[s].bytes_s for s in SIZES}
        ),
    ]
