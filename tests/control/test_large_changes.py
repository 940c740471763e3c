"""Tests of the programs, run as processes, beside large changes in the store."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from typing import TYPE_CHECKING

import msgspec
import pytest

from briarfork.border.changelog import build_change_key
from briarfork.timeline import Change
from tests.control.network import ZONES
from tests.control.network import LinkedCluster

if TYPE_CHECKING:
    from pathlib import Path

NETWORK = 23
# The store takes values up to 1 MB.
LARGE_REASON = "x" * 990_000
# The slowest links of VMs have 5 Mbit/s.
SLOW_LINK_BYTES_PER_S = 5e6 / 8
FEW_CHANGES = 3
# They take 6.4 s on a slow link.
PEER_CHANGES = 4
# Heartbeats, and a change that was on its way when a stream ended.
MAX_REPEATED_PART = 1.3
MANY_CHANGES = 40
# A VM must take a configuration within this time after it can reach the store again.
IN_FORCE_S = 12.0


class LargeChangesCluster(LinkedCluster):
    """A few VMs, beside a store to which changes are written directly."""

    def __init__(self, work: Path, zones: int = 1) -> None:
        super().__init__(work, ZONES[:zones], network=NETWORK)

    async def add_large_changes(self, count: int) -> int:
        """Adds changes of nearly 1 MB each and returns the last generation."""
        key = build_change_key(await self.read_generation(self.vms[0]))
        entry = await self.get(f"{self.store_url}/kv/{key}")
        change = msgspec.json.decode(entry["value"], type=Change)
        for _ in range(count):
            change = dataclasses.replace(
                change,
                generation=change.generation + 1,
                change_id=f"large-{change.generation + 1}",
                reason=LARGE_REASON,
                edits={},
                previous_hash=change.compute_hash(),
            )
            url = f"{self.store_url}/kv/{build_change_key(change.generation)}"
            body = {"value": msgspec.json.encode(change).decode(), "expect": 0, "lease": None}
            async with self.session.put(url, json=body) as response:
                response.raise_for_status()
        return change.generation

    async def restart(self, *programs: str) -> None:
        """Kills and starts programs of the last VM."""
        vm = self.vms[-1]
        for program in programs:
            vm.processes[program].send_signal(signal.SIGKILL)
            await asyncio.to_thread(vm.processes[program].wait)
        self.start(vm, programs)

    def count_peer_bytes(self) -> int:
        return sum(link.forwarded_bytes for link in self.control_links.values())

    def check_processes(self) -> None:
        assert all(process.poll() is None for process in self.vms[-1].processes.values())


class TestSlowLink:
    async def test_vm_gets_changes_that_take_longer_than_a_timeout(self, tmp_path: Path) -> None:
        """Guards against a VM that gives each page up because it takes longer than a second."""
        async with LargeChangesCluster(tmp_path) as cluster:
            await cluster.submit_all()
            generation = await cluster.add_large_changes(FEW_CHANGES)
            cluster.platform_conditions[ZONES[0]].bytes_per_s = SLOW_LINK_BYTES_PER_S
            await cluster.restart("control", "entry")
            await cluster.wait_for_generation(generation, IN_FORCE_S)
            cluster.check_processes()

    async def test_vm_gets_changes_from_a_peer(self, tmp_path: Path) -> None:
        """Guards against a VM that asks for the same changes again while they arrive."""
        async with LargeChangesCluster(tmp_path, zones=2) as cluster:
            await cluster.submit_all()
            generation = await cluster.add_large_changes(PEER_CHANGES)
            await cluster.wait_for_generation(generation)
            for conditions in cluster.list_conditions(ZONES[1]):
                conditions.bytes_per_s = SLOW_LINK_BYTES_PER_S
            cluster.platform_conditions[ZONES[1]].silent_up = True
            before = cluster.count_peer_bytes()
            await cluster.restart("control", "entry")
            await cluster.wait_for_generation(generation, IN_FORCE_S)
            received = cluster.count_peer_bytes() - before
            assert received <= MAX_REPEATED_PART * PEER_CHANGES * len(LARGE_REASON)
            cluster.check_processes()


class TestLargeChanges:
    @pytest.mark.parametrize("programs", [("control", "entry"), ("entry",), ("control",)])
    async def test_restarted_programs_get_all_changes(
        self, tmp_path: Path, programs: tuple[str, ...]
    ) -> None:
        """Guards against changes that overflow the stream between the programs of a VM for ever."""
        async with LargeChangesCluster(tmp_path) as cluster:
            await cluster.submit_all()
            generation = await cluster.add_large_changes(MANY_CHANGES)
            vm, start = cluster.vms[0], 0
            if "control" in programs:
                start = len(cluster.read_log(vm, "control"))
            await cluster.restart(*programs)
            accepted = f"change_accepted .*generation={generation} "
            async with asyncio.timeout(IN_FORCE_S):
                await cluster.wait_for_event(vm, "control", accepted, start)
                await cluster.wait_for_generation(generation)
            cluster.check_processes()
