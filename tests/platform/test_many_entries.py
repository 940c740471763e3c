"""A gateway process beside a store with very many small entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.platform import names
from tests.platform.test_large_records import run_harness

if TYPE_CHECKING:
    from pathlib import Path

EVACUATIONS = 60_000


class TestManyEntries:
    async def test_many_evacuations_are_read(self, tmp_path: Path) -> None:
        """Guards against work for each entry that grows with the number of entries."""
        async with run_harness(tmp_path) as harness:
            keys = [f"{names.EVACUATION_PREFIX}z{number:06}" for number in range(EVACUATIONS)]
            await harness.store.write({key: (b"{}", 0) for key in keys}, [])
            await harness.start_gateway()
            await harness.wait_until_ready()
