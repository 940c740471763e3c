"""Tests of hedged requests to a slow server, with separate processes."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest_asyncio

from briarfork.requests import HedgeBudget
from briarfork.requests.budget import FIRST_ATTEMPTS_PER_HEDGE
from tests.cluster import Cluster
from tests.cluster import Pool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = Path(__file__).parent.parent.parent
CLIENT = "127.10.0.9"
ZONE = "far-north-a"
WARM_UP = 200
# Number of first attempts that fills the hedge budget.
FULL_BUDGET = FIRST_ATTEMPTS_PER_HEDGE * HedgeBudget.MAX_SAVED
RUN_S = 0.01
SLOW_FACTOR = 100.0


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    pools = [Pool(name, ZONE, 2, 9) for name in ("hearing-status", "ordering")]
    folder = ROOT / "examples" / "chile"
    async with Cluster(folder, tmp_path, [ZONE], pools=pools, network=31, client=CLIENT) as running:
        answer = await running.submit()
        await running.wait_for_generation(answer["generation"])
        yield running


async def send(cluster: Cluster, service: str, name: str, method: str = "GET") -> float:
    url = f"{cluster.vms[0].url}/services/{service}/item"
    headers = {"Test-Request": name, "Test-Run-Ms": str(RUN_S * 1000)}
    started = time.monotonic()
    async with cluster.session.request(method, url, headers=headers) as answer:
        await answer.read()
        assert answer.status == 200
    return time.monotonic() - started


async def slow_down(cluster: Cluster, service: str) -> None:
    address, port = cluster.backends[f"{service}-{ZONE}-1"]
    await cluster.post(f"http://{address}:{port}/control", {"slow_factor": SLOW_FACTOR})


async def read_ledgers(cluster: Cluster, service: str) -> list[dict[str, object]]:
    return [
        await cluster.get(f"http://{address}:{port}/ledger")
        for name, (address, port) in cluster.backends.items()
        if name.startswith(service)
    ]


async def count_runs(cluster: Cluster, service: str) -> int:
    total = 0
    for ledger in await read_ledgers(cluster, service):
        assert isinstance(ledger["ledger"], dict)
        total += sum(ledger["ledger"].values())
    return total


async def warm_up(cluster: Cluster, service: str) -> None:
    """Sends requests until run times are known and the hedge budget is full.

    A stall of the machine delays a request of the warm-up, which spends from the budget.
    """
    for number in range(WARM_UP):
        await send(cluster, service, f"warm-{number}")
    for batch in itertools.count():
        before = await count_runs(cluster, service)
        for number in range(FULL_BUDGET):
            await send(cluster, service, f"save-{batch}-{number}")
        if await count_runs(cluster, service) == before + FULL_BUDGET:
            return


class TestHedging:
    async def test_late_request_is_served_by_another_server(self, cluster: Cluster) -> None:
        """Guards against a request that waits for a slow server, and an attempt that runs on."""
        await warm_up(cluster, "hearing-status")
        await slow_down(cluster, "hearing-status")
        names = [f"late-{number}" for number in range(4)]
        times = await asyncio.gather(*(send(cluster, "hearing-status", name) for name in names))
        assert max(times) < RUN_S * SLOW_FACTOR
        async with asyncio.timeout(RUN_S * SLOW_FACTOR):
            while True:
                ledgers = await read_ledgers(cluster, "hearing-status")
                if any(ledger["cancelled"] for ledger in ledgers):
                    break

    async def test_non_idempotent_request_is_not_hedged(self, cluster: Cluster) -> None:
        """Guards against a hedge of a request that must not run twice."""
        for number in range(WARM_UP):
            await send(cluster, "ordering", f"warm-{number}", "POST")
        await slow_down(cluster, "ordering")
        names = [f"late-{number}" for number in range(4)]
        await asyncio.gather(*(send(cluster, "ordering", name, "POST") for name in names))
        for name in names:
            runs = 0
            for ledger in await read_ledgers(cluster, "ordering"):
                assert isinstance(ledger["ledger"], dict)
                runs += ledger["ledger"].get(name, 0)
            assert runs == 1
