"""Tests of requests while the owner of the slots dies, is stopped or does not respond."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from briarfork.hashing import hash_text
from tests.cluster import Cluster
from tests.cluster import Pool
from tests.cluster import Vm
from tests.cluster import copy_example_zones

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

CLIENT = "127.10.0.9"
ZONE = "north-a"
SERVERS = 2
SLOTS = 3
RATE = 40.0
RUN_MS = 30
# Silence timeout of 0.5 s, one more attempt to reach the owner, and a margin for a busy machine.
LONGEST_STALL_S = 1.5
FAULTS = {
    "dies": (signal.SIGKILL, ("entry", "control")),
    "stops": (signal.SIGSTOP, ("entry", "control")),
    "does not answer": (signal.SIGSTOP, ("entry",)),
}


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    pools = [Pool(service, ZONE, SERVERS, SLOTS) for service in ("results", "archive")]
    folder = copy_example_zones("estonia", [ZONE], tmp_path / "configuration")
    async with Cluster(folder, tmp_path, [ZONE], 3, pools, network=31, client=CLIENT) as running:
        answer = await running.submit()
        await running.wait_for_generation(answer["generation"])
        yield running


def find_owner(cluster: Cluster, service: str) -> Vm:
    return min(cluster.vms, key=lambda vm: hash_text(f"{service}|{ZONE}|{vm.name}"))


def inject_fault(vm: Vm, fault: str) -> None:
    number, programs = FAULTS[fault]
    for program in programs:
        vm.processes[program].send_signal(number)


async def send(
    cluster: Cluster, vm: Vm, service: str, name: str, run_ms: int, deadline_ms: int
) -> tuple[int, str, float]:
    """Returns status, outcome and the time beyond the run time, in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    headers = {
        "Test-Request": name,
        "Test-Run-Ms": str(run_ms),
        "Briarfork-Deadline-Ms": str(deadline_ms),
    }
    url = f"{vm.url}/services/{service}/item"
    async with cluster.session.get(url, headers=headers) as answer:
        await answer.read()
        outcome = answer.headers.get("Briarfork-Outcome", "")
        return answer.status, outcome, loop.time() - started - run_ms / 1000.0


async def read_ledger_field(cluster: Cluster, service: str, field: str) -> list[int]:
    return [
        (await cluster.get(f"http://{address}:{port}/ledger"))[field]
        for name, (address, port) in cluster.backends.items()
        if name.startswith(service)
    ]


async def wait_for_owner_change(cluster: Cluster, lost: Vm) -> None:
    async with asyncio.timeout(15.0):
        for vm in cluster.vms:
            while vm is not lost:
                answer = await cluster.get(f"{vm.url}/lookup", service="archive")
                if lost.name not in [entry["vm"] for entry in answer["entries"]]:
                    break


class TestLossOfOwner:
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_requests_go_on(self, cluster: Cluster, fault: str) -> None:
        """Guards against requests that fail or stall while another VM takes over the slots."""
        owner = find_owner(cluster, "results")
        others = [vm for vm in cluster.vms if vm is not owner]
        for vm in others:
            await send(cluster, vm, "results", "first", RUN_MS, 2000)
        loop = asyncio.get_running_loop()
        start = loop.time()
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(int(RATE * 6)):
                await asyncio.sleep(max(0.0, start + number / RATE - loop.time()))
                if number == RATE:
                    inject_fault(owner, fault)
                vm = others[number % 2]
                work = send(cluster, vm, "results", f"r-{number}", RUN_MS, 2000)
                tasks.append(group.create_task(work))
        results = [task.result() for task in tasks]
        assert [item for item in results if item[0] != 200] == []
        assert max(item[2] for item in results) < LONGEST_STALL_S
        # Permits of the former owner and of local shares may overlap, by one request for each slot.
        assert sum(await read_ledger_field(cluster, "results", "shed")) <= SERVERS * SLOTS
        assert max(await read_ledger_field(cluster, "results", "peak")) <= SLOTS

    async def test_new_owner_counts_the_requests_that_still_run(self, cluster: Cluster) -> None:
        """Guards against a new owner that grants slots which are still in use."""
        owner = find_owner(cluster, "archive")
        first, second = (vm for vm in cluster.vms if vm is not owner)
        async with asyncio.TaskGroup() as group:
            held = [
                group.create_task(
                    send(
                        cluster, (first, second)[number % 2], "archive", f"h-{number}", 8000, 20000
                    )
                )
                for number in range(SERVERS * SLOTS)
            ]
            async with asyncio.timeout(5.0):
                while (
                    sum(await read_ledger_field(cluster, "archive", "in_progress"))
                    < SERVERS * SLOTS
                ):
                    continue
            inject_fault(owner, "dies")
            await wait_for_owner_change(cluster, owner)
            for vm in (first, second):
                status, outcome, _ = await send(cluster, vm, "archive", "late", 10, 1000)
                assert (status, outcome) == (503, "not-run")
            assert not any(task.done() for task in held)
        assert [task.result()[0] for task in held] == [200] * len(held)
        assert sum(await read_ledger_field(cluster, "archive", "shed")) == 0
        statuses = await asyncio.gather(
            *(send(cluster, first, "archive", f"n-{n}", 50, 5000) for n in range(SERVERS * SLOTS))
        )
        assert {status for status, _, _ in statuses} == {200}


class TestLossOfRequester:
    async def test_paused_requester_keeps_its_slots(self, cluster: Cluster) -> None:
        """Guards against slots that are granted again while requests of a paused VM still run."""
        owner = find_owner(cluster, "archive")
        paused, other = (vm for vm in cluster.vms if vm is not owner)
        async with asyncio.TaskGroup() as group:
            held = [
                group.create_task(send(cluster, paused, "archive", f"h-{number}", 5000, 20000))
                for number in range(SERVERS * SLOTS)
            ]
            async with asyncio.timeout(5.0):
                while (
                    sum(await read_ledger_field(cluster, "archive", "in_progress"))
                    < SERVERS * SLOTS
                ):
                    continue
            paused.processes["entry"].send_signal(signal.SIGSTOP)
            status, _, _ = await send(cluster, other, "archive", "late", 10, 2500)
            paused.processes["entry"].send_signal(signal.SIGCONT)
            assert status == 503
        assert [task.result()[0] for task in held] == [200] * len(held)
        assert sum(await read_ledger_field(cluster, "archive", "shed")) == 0
