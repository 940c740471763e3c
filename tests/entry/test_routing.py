"""Tests of the choice of a site on the request path, with separate processes."""

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
from tests.steering.test_shift import count_busiest_second

if TYPE_CHECKING:
    from pathlib import Path

CAP_RPS = 40


class TestScheduledShift:
    async def test_stays_under_the_cap_while_vms_restart(self, tmp_path: Path) -> None:
        """Guards against restarted VMs that use their share of the cap twice, and queued bursts."""
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
            assert count_busiest_second(arrivals) <= CAP_RPS
            # Each of four VMs moves 10 requests in 1.25 s; the rest stays at the former site.
            assert load.result()["north-a"] > load.result()["south-a"]


class TestLostRegion:
    async def test_traffic_moves_within_headroom_and_returns_gradually(
        self, tmp_path: Path
    ) -> None:
        """Guards against a lost region whose traffic is refused or overloads other regions."""
        zones = ["north-a", "south-a", "west-a"]
        regions = {zone.removesuffix("-a"): [zone] for zone in zones}
        folder = write_files(
            tmp_path / "files",
            regions,
            spread={zone: 1 for zone in zones},
            regional_spread={"north": {"north-a": 1}},
        )
        pools = [Pool(SERVICE, zone, 3, slots=3, run_ms=20) for zone in zones]
        async with Cluster(folder, tmp_path, zones, pools=pools, network=NETWORK) as cluster:
            answer = await cluster.submit()
            await cluster.wait_for_generation(answer["generation"])
            lost, *others = cluster.vms
            answers = await run_load(cluster, others, 60, 2.0)
            assert answers == {"north-a": 120}
            await cluster.stop(lost, signal.SIGKILL)
            await run_load(cluster, others, 60, 6.0)
            # 60 requests of 20 ms a second need 1.2 slots; each of the two sites has 9.
            answers = await run_load(cluster, others, 60, 3.0)
            assert answers["south-a"] + answers["west-a"] >= 0.95 * 180
            lookup = await cluster.get(f"{others[0].url}/lookup", service=SERVICE)
            assert lookup["entries"][0]["zone"] in ("south-a", "west-a")
            # Load far above the headroom is refused, and no server gets more than its slots.
            answers = await run_load(cluster, others, 700, 2.0)
            assert set(answers) == {"south-a", "west-a", "overloaded"}
            for address, port in cluster.backends.values():
                ledger = await cluster.get(f"http://{address}:{port}/ledger")
                assert (ledger["shed"], ledger["peak"] <= 3) == (0, True)
            cluster.start(lost, PROGRAMS[:2])
            returned_shares = [
                (await run_load(cluster, others, 60, 3.0))["north-a"] / 180 for _ in range(4)
            ]
            # All of the traffic returns in 30 s at the earliest.
            assert all(
                share <= (number + 1) * 0.1 + 0.05 for number, share in enumerate(returned_shares)
            )
            assert returned_shares[-1] > returned_shares[0]


class TestPartition:
    async def test_partitioned_zone_serves_with_its_own_servers_and_recovers(
        self, tmp_path: Path
    ) -> None:
        """Guards against a partitioned zone that waits for owners it cannot reach."""
        zones = ["north-a", "south-a", "west-a"]
        regions = {zone.removesuffix("-a"): [zone] for zone in zones}
        folder = write_files(tmp_path / "files", regions, spread={"south-a": 1, "north-a": 1e-9})
        pools = [Pool(SERVICE, zone, 3, slots=3) for zone in zones]
        async with Cluster(folder, tmp_path, zones, pools=pools, network=NETWORK) as cluster:
            answer = await cluster.submit()
            await cluster.wait_for_generation(answer["generation"])
            own, *others = cluster.vms
            assert await run_load(cluster, [own], 60, 2.0) == {"south-a": 120}
            other_processes = [p for vm in others for p in vm.processes.values()]
            other_processes += cluster._processes.values()
            other_processes = [
                p for p in other_processes if p is not cluster._processes[f"{SERVICE}-north-a"]
            ]
            for process in other_processes:
                process.send_signal(signal.SIGSTOP)
            # Members count as silent after 3 s, and load reports expire after 5 s.
            await run_load(cluster, [own], 60, 8.0)
            answers = await run_load(cluster, [own], 60, 4.0)
            assert answers["north-a"] >= 0.95 * 240
            for process in other_processes:
                process.send_signal(signal.SIGCONT)
            await run_load(cluster, [own], 60, 4.0)
            answers = await run_load(cluster, [own], 60, 4.0)
            assert answers["north-a"] + answers["south-a"] >= 0.95 * 240
            assert 0 < answers["south-a"] < 0.5 * 240
