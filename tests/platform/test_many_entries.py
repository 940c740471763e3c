"""A gateway process beside a store with very many small entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.platform import names
from tests.platform.test_large_records import START_TIMEOUT_S
from tests.platform.test_large_records import build_configuration
from tests.platform.test_large_records import run_harness

if TYPE_CHECKING:
    from pathlib import Path

EVACUATIONS = 60_000
# About as many as fit into a record of 1 MiB.
SERVICES = 100_000
VERSIONS = 4


def build_services(version: int, *prefixes: str) -> dict[str, object]:
    unused = [[f"{number}"] for number in range(SERVICES)]
    services = {"columns": ["name"], "rows": [["s"], *unused]}
    return build_configuration(version, *prefixes) | {"services": services}


class TestManyEntries:
    async def test_many_evacuations_are_read(self, tmp_path: Path) -> None:
        """Guards against work for each entry that grows with the number of entries."""
        async with run_harness(tmp_path) as harness:
            keys = [f"{names.EVACUATION_PREFIX}z{number:06}" for number in range(EVACUATIONS)]
            await harness.store.write({key: (b"{}", 0) for key in keys}, [])
            await harness.start_gateway()
            await harness.wait_until_ready()

    async def test_many_unused_services_take_little_memory(self, tmp_path: Path) -> None:
        """Guards against slots for each service of the configuration, used or not."""
        async with run_harness(tmp_path) as harness:
            await harness.store.put(names.CONFIGURATION_KEY, build_services(2, "/old/"))
            await harness.start_gateway()
            await harness.wait_until_ready()
            for version in range(3, 3 + VERSIONS):
                configuration = build_services(version, "/old/", f"/{version}/")
                await harness.store.put(names.CONFIGURATION_KEY, configuration)
            await harness.store.put(
                names.CONFIGURATION_KEY, build_services(3 + VERSIONS, "/old/", "/new/")
            )
            await harness.wait_until_new_route_is_known(START_TIMEOUT_S)
