"""Choice of a site on the request path, through separate processes."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from tests.cluster import PROGRAMS
from tests.cluster import Cluster
from tests.cluster import Pool
from tests.entry.sites import NETWORK
from tests.entry.sites import SERVICE
from tests.entry.sites import read_arrivals
from tests.entry.sites import run_load
from tests.entry.sites import write_files
from tests.steering.test_shift import count_worst_second

if TYPE_CHECKING:
    from pathlib import Path

CAP_RPS = 40


class TestScheduledShift:
    async def test_stays_under_the_cap_while_vms_restart(self, tmp_path: Path) -> None:
        """Guards against restarted VMs that move their part twice, and against queued bursts."""
        regions = {"north": ["north-a"], "south": ["south-a"]}
        before = write_files(tmp_path / "before", regions, spread={"north-a": 1})
        after = write_files(tmp_path / "after", regions, spread={"south-a": 1})
        zones = ["north-a", "south-a"]
        pools = [Pool(SERVICE, zone, 3, slots=3) for zone in zones]
        async with Cluster(
            before, tmp_path, zones, vms_per_zone=2, pools=pools, network=NETWORK
        ) as cluster:
            answer = await cluster.submit()
            await cluster.wait_for_generation(answer["generation"])
            start_at = time.time() + 2.0
            answer = await cluster.submit(after, start_at=start_at)
            await cluster.wait_for_generation(answer["generation"])
            async with asyncio.TaskGroup() as group:
                load = group.create_task(run_load(cluster, cluster.vms, 200, 9.0))
                for vm in cluster.vms[1:]:
                    await asyncio.sleep(max(2.0, start_at + 2.0 - time.time()))
                    await cluster.stop(vm, signal.SIGKILL)
                    cluster.start(vm, PROGRAMS[:2])
            arrivals = await read_arrivals(cluster, "south-a")
            assert min(arrivals) >= start_at
            assert len(arrivals) >= CAP_RPS
            assert count_worst_second(arrivals) <= CAP_RPS
            # Four parts of 10 requests in 1.25 s; the rest stays at the site before the shift.
            assert load.result()["north-a"] > load.result()["south-a"]
