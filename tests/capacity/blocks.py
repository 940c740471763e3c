"""Measures the client block table and its lookups up to the design number of blocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.capacity.measurement import MEASUREMENTS
from tests.capacity.measurement import Series
from tests.steering.measure import COUNTS
from tests.steering.measure import measure_block_count

if TYPE_CHECKING:
    from pathlib import Path

DESIGN_BLOCKS = 2_200_000
QUANTITIES = (
    ("block table", "bytes", "table_bytes"),
    ("building the block table", "s", "build_s"),
    ("applying a change with 1,000 sites", "ms", "apply_ms"),
    ("lookup of a known client group", "us", "known_us"),
    ("first lookup of a client group", "us", "first_us"),
)


@MEASUREMENTS.register("blocks")
async def measure_blocks(_: Path) -> list[Series]:
    sizes = {count: measure_block_count(count) for count in COUNTS}
    return [
        Series(
            quantity,
            unit,
            "blocks",
            tuple((float(count), getattr(figures, name)) for count, figures in sizes.items()),
            DESIGN_BLOCKS,
        )
        for quantity, unit, name in QUANTITIES
    ]
