"""Tests of failures of processes, links, the store and the VM list, with real processes."""

from __future__ import annotations

import asyncio
import re
import signal
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest_asyncio

from tests.control.network import ZONES
from tests.control.network import LinkedCluster

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.cluster import Vm

SILENCE_S = 3.0
IN_FORCE_S = 12.0
# Time within which a change of member state reaches all VMs.
SPREAD_S = 1.0


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[LinkedCluster]:
    async with LinkedCluster(tmp_path, ZONES[:2], 3) as running:
        await running.submit_all()
        for vm in running.vms:
            await running.wait_for_lookups(vm, {vm.name for vm in running.vms})
        yield running


@asynccontextmanager
async def watch_generations(cluster: LinkedCluster) -> AsyncIterator[None]:
    """Fails if a VM reports a lower generation than before."""
    highest = dict.fromkeys((vm.name for vm in cluster.vms), 0)

    async def watch() -> None:
        while True:
            for vm in cluster.vms:
                generation = await cluster.read_generation(vm)
                assert generation >= highest[vm.name]
                highest[vm.name] = generation
            await asyncio.sleep(0.02)

    async with asyncio.TaskGroup() as group:
        watcher = group.create_task(watch())
        yield
        watcher.cancel()


def find_states(log: str, vm: str) -> list[str]:
    return re.findall(rf"member_changed .*member={vm} state=(\w+)", log)


class TestSeedPeers:
    async def test_linked_peers_are_not_dialled_again(self, cluster: LinkedCluster) -> None:
        """Guards against streams to seed peers that are opened and refused twice a second."""
        await asyncio.sleep(SILENCE_S)
        start = {vm.name: len(cluster.read_log(vm, "control")) for vm in cluster.vms}
        await asyncio.sleep(SILENCE_S)
        logs = [cluster.read_log(vm, "control")[start[vm.name] :] for vm in cluster.vms]
        assert not any("duplicate stream" in log for log in logs)


class TestControlProcess:
    async def test_entry_keeps_serving_while_control_restarts(self, cluster: LinkedCluster) -> None:
        """Guards against failed or incomplete lookups while the control process restarts."""
        vm, names = cluster.vms[0], {vm.name for vm in cluster.vms}
        start = len(cluster.read_log(vm, "entry"))
        async with watch_generations(cluster):
            vm.processes["control"].kill()
            await asyncio.to_thread(vm.processes["control"].wait)
            cluster.start(vm, ("control",))
            async with asyncio.timeout(IN_FORCE_S):
                generation, _ = await cluster.submit_change()
                while await cluster.read_generation(vm) < generation:
                    answer = await cluster.get(f"{vm.url}/lookup", service="scoring")
                    assert {entry["vm"] for entry in answer["entries"]} == names
                for other in cluster.vms:
                    await cluster.wait_for_lookups(other, names)
        assert "unusable" not in cluster.read_log(vm, "entry")[start:]

    async def test_paused_process_catches_up_when_it_resumes(self, cluster: LinkedCluster) -> None:
        """Guards against a paused process that acts on stale state after it resumes."""
        vm, names = cluster.vms[3], {vm.name for vm in cluster.vms}
        control = vm.processes["control"]
        async with watch_generations(cluster):
            control.send_signal(signal.SIGSTOP)
            async with asyncio.timeout(SILENCE_S + SPREAD_S + IN_FORCE_S):
                for other in cluster.vms[:3]:
                    await cluster.wait_for_lookups(other, names - {vm.name})
                generation, _ = await cluster.submit_change()
                await cluster.wait_until_in_force(cluster.vms[0], generation)
            start = len(cluster.read_log(vm, "control"))
            control.send_signal(signal.SIGCONT)
            async with asyncio.timeout(IN_FORCE_S):
                await cluster.wait_until_in_force(vm, generation)
                for other in cluster.vms:
                    await cluster.wait_for_lookups(other, names)
        log = cluster.read_log(vm, "control")[start:]
        suspected = re.findall(r"member_changed .*member=([\w-]+) state=suspect", log)
        assert set(suspected) <= {vm.name}


class TestEntryProcess:
    async def test_another_vm_follows_and_lookups_omit_it(self, cluster: LinkedCluster) -> None:
        """Guards against a zone without a follower, and lookups that return a dead VM."""
        zone = [vm for vm in cluster.vms if vm.zone == ZONES[0]]
        following = [vm for vm in zone if self.find_last(cluster, vm) == "following"]
        assert len(following) == 2
        dead = following[0]
        rest = {vm.name for vm in cluster.vms} - {dead.name}
        killed = time.monotonic()
        dead.processes["entry"].kill()
        async with asyncio.timeout(IN_FORCE_S):
            others = [vm for vm in cluster.vms if vm is not dead]
            seen = [await cluster.wait_for_lookups(vm, rest) for vm in others]
            while sum(self.find_last(cluster, vm) == "following" for vm in zone if vm != dead) < 2:
                await asyncio.sleep(0.02)
        assert max(seen) - killed <= SILENCE_S + SPREAD_S

    @staticmethod
    def find_last(cluster: LinkedCluster, vm: Vm) -> str:
        found = re.findall(r"name=((?:not_)?following)", cluster.read_log(vm, "control"))
        return str(found[-1]) if found else ""


class TestPartition:
    async def test_zone_without_store_gets_changes_from_peers(self, cluster: LinkedCluster) -> None:
        """Guards against a zone that depends on its own path to the store."""
        cluster.platform_conditions[ZONES[1]].silent_up = True
        elapsed = [await cluster.measure_propagation_time(2 * IN_FORCE_S) for _ in range(3)]
        assert max(elapsed) <= IN_FORCE_S

    async def test_isolated_zone_keeps_its_generation_and_catches_up(
        self, cluster: LinkedCluster
    ) -> None:
        """Guards against an isolated zone that reverts, stops serving or does not catch up."""
        isolated = [vm for vm in cluster.vms if vm.zone == ZONES[1]]
        names = {vm.name for vm in cluster.vms}
        cut = [*cluster.list_conditions(ZONES[1]), cluster.platform_conditions[ZONES[1]]]
        before = await cluster.read_generation(isolated[0])
        async with watch_generations(cluster):
            for link in cut:
                link.silent_up = link.silent_down = True
            generation = 0
            async with asyncio.timeout(IN_FORCE_S):
                for _ in range(3):
                    generation, _ = await cluster.submit_change()
                await cluster.wait_until_in_force(cluster.vms[0], generation)
                for vm in isolated:
                    await cluster.wait_for_event(vm, "control", "peer_lost .*silent")
                    assert await cluster.read_generation(vm) == before
            for link in cut:
                link.silent_up = link.silent_down = False
            async with asyncio.timeout(IN_FORCE_S):
                for vm in isolated:
                    await cluster.wait_until_in_force(vm, generation)
                for vm in cluster.vms:
                    await cluster.wait_for_lookups(vm, names)

    async def test_one_way_silence_of_a_stream_is_detected(self, cluster: LinkedCluster) -> None:
        """Guards against a stream that accepts messages but delivers none."""
        vm = cluster.vms[0]
        silent = time.monotonic()
        for other in cluster.vms:
            cluster.get_peer_conditions(other.name, vm.name).silent_up = True
            cluster.get_peer_conditions(vm.name, other.name).silent_down = True
        start = len(cluster.read_log(vm, "control"))
        async with asyncio.timeout(IN_FORCE_S):
            found = await cluster.wait_for_event(vm, "control", "peer_lost .*silent", start)
        assert found - silent <= SILENCE_S


class TestStore:
    async def test_older_store_does_not_revert_any_vm(self, cluster: LinkedCluster) -> None:
        """Guards against a store restored from a backup that reverts the configuration."""
        dump = await cluster.post(f"{cluster.store_url}/dump", {})
        generation, _ = await cluster.submit_change()
        await cluster.wait_for_generation(generation)
        async with watch_generations(cluster):
            await cluster.post(f"{cluster.store_url}/restore", dump)
            async with asyncio.timeout(IN_FORCE_S):
                for zone in ZONES[:2]:
                    vms = [vm for vm in cluster.vms if vm.zone == zone]
                    waits = [cluster.wait_for_event(vm, "control", "event=2004") for vm in vms]
                    tasks = [asyncio.ensure_future(wait) for wait in waits]
                    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                    for task in tasks:
                        task.cancel()


class TestVmList:
    async def test_lists_with_different_lag_do_not_make_members_flap(self, tmp_path: Path) -> None:
        """Guards against flapping members when two followers read different VM lists."""
        async with LinkedCluster(tmp_path, ZONES[:2], 2, lag_s={ZONES[1]: 4.0}) as cluster:
            await cluster.submit_all()
            leaving, other = cluster.vms[1], cluster.vms[0]
            for vm in cluster.vms:
                await cluster.wait_for_listed(vm)
            starts = {vm.name: len(cluster.read_log(vm, "control")) for vm in cluster.vms}
            await cluster.publish(frozenset({leaving.name}))
            async with asyncio.timeout(IN_FORCE_S):
                await cluster.wait_for_event(
                    other, "control", f"member={leaving.name} state=leaving", starts[other.name]
                )
            await cluster.publish()
            await cluster.publish(frozenset({leaving.name}))
            async with asyncio.timeout(IN_FORCE_S):
                await cluster.wait_for_lag(ZONES[1])
                await cluster.wait_for_reads(2)
            for vm in cluster.vms:
                log = cluster.read_log(vm, "control")[starts[vm.name] :]
                assert find_states(log, leaving.name)[-1] == "leaving"
                assert log.count("name=list_changed") == 1
