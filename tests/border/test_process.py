"""Tests of the platform's restrictions on processes: no io_uring, no child processes."""

from __future__ import annotations

import os
from pathlib import Path

import psutil

from tests.cluster import Cluster
from tests.cluster import Pool
from tests.cluster import copy_example_zones


def list_descriptors(pid: int) -> list[str]:
    return [os.readlink(descriptor) for descriptor in Path(f"/proc/{pid}/fd").iterdir()]


class TestPlatformRules:
    async def test_no_io_uring_and_no_child_processes(self, tmp_path: Path) -> None:
        """Guards against io_uring in the event loop and against child processes."""
        zones = ["north-a", "south-a"]
        folder = copy_example_zones("estonia", zones, tmp_path / "configuration")
        pools = [Pool("results", zone, 1) for zone in zones]
        async with Cluster(folder, tmp_path, zones, pools=pools, network=3) as cluster:
            response = await cluster.submit()
            await cluster.wait_for_generation(response["generation"])
            async with cluster.session.get(f"{cluster.vms[0].url}/services/results/x") as reply:
                assert reply.status == 200
            for program, process in cluster.vms[0].processes.items():
                assert "anon_inode:[io_uring]" not in list_descriptors(process.pid), program
                assert psutil.Process(process.pid).children(recursive=True) == [], program
