"""Tests of the programs, run as processes, beside odd entries in the platform's list of VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.control.network import ZONES
from tests.control.network import LinkedCluster

if TYPE_CHECKING:
    from pathlib import Path

NETWORK = 24
# A change must be in force everywhere within this time.
IN_FORCE_S = 12.0
PORTS = {"entry": 8080, "permits": 7101, "control": 7100}
ODD_ENTRIES: dict[str, dict[str, Any]] = {
    "long address": {"role": "entry", "address": "x" * 100, "ports": PORTS},
    "port out of range": {"role": "entry", "ports": {**PORTS, "control": 10**18}},
    "no port of a server": {"role": "backend", "service": "scoring", "ports": {}},
    "huge number": {"role": "backend", "service": "scoring", "ports": {"http": 10**400}},
    "no ports": {"role": "entry"},
}


class TestOddList:
    @pytest.mark.parametrize("entry", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
    async def test_odd_entry_changes_nothing(self, tmp_path: Path, entry: dict[str, Any]) -> None:
        """Guards against an entry that ends processes, or closes their streams again and again."""
        odd = {"vm": "odd", "zone": ZONES[0], "site": ZONES[0], "state": "live"}
        odd |= {"address": "127.24.9.9"} | entry
        async with LinkedCluster(tmp_path, ZONES[:1], 2, network=NETWORK) as cluster:
            await cluster.submit_all()
            await cluster.wait_for_members()
            vms = (await cluster.get(f"{cluster.platform_url}/vms"))["vms"]
            start = {vm.name: len(cluster.read_log(vm, "entry")) for vm in cluster.vms}
            await cluster.post(f"{cluster.platform_url}/vms", {"vms": [*vms, odd]})
            async with asyncio.timeout(IN_FORCE_S):
                for vm in cluster.vms:
                    await cluster.wait_for_event(vm, "entry", "vm_ignored", start[vm.name])
            await cluster.measure_propagation_time(IN_FORCE_S)
            await cluster.wait_for_members()
            for vm in cluster.vms:
                assert all(process.poll() is None for process in vm.processes.values())
                log = cluster.read_log(vm, "entry")[start[vm.name] :]
                assert "peer_lost" not in log
                assert "task_failed" not in log
