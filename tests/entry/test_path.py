"""The whole path through separate processes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest_asyncio

from tests.cluster import Cluster
from tests.cluster import Pool
from tests.standins.backend import make_content

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = Path(__file__).parent.parent.parent
ZONES = ["north-a", "north-b", "south-a"]
CLIENT = "127.10.0.7"


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    services = ("results", "scoring", "archive")
    pools = [Pool(service, zone, 1) for zone in ZONES for service in services]
    folder = ROOT / "examples" / "estonia"
    async with Cluster(folder, tmp_path, ZONES, pools=pools, network=2, client=CLIENT) as running:
        answer = await running.submit()
        await running.wait_for_generation(answer["generation"])
        yield running


async def count_runs(cluster: Cluster, key: str) -> int:
    ledgers = [
        (await cluster.get(f"http://{address}:{port}/ledger"))["ledger"]
        for address, port in cluster.backends.values()
    ]
    return sum(ledger.get(key, 0) for ledger in ledgers)


class TestRequestPath:
    async def test_repeat_through_another_vm_runs_once(self, cluster: Cluster) -> None:
        """Guards against a registration that is stored twice after a lost answer."""
        headers = {"Idempotency-Key": "shift-1"}
        bodies = []
        for vm in cluster.vms:
            url = f"{vm.url}/services/scoring/registrations"
            async with cluster.session.post(url, data=b"{}", headers=headers) as answer:
                assert answer.status == 200
                bodies.append(await answer.read())
        assert len(set(bodies)) == 1
        assert await count_runs(cluster, "shift-1") == 1

    async def test_download_arrives_whole(self, cluster: Cluster) -> None:
        """Guards against an answer that is cut or mixed up on the way."""
        url = f"{cluster.vms[0].url}/services/archive/videos/arch?bytes=2000000"
        async with cluster.session.get(url) as answer:
            assert await answer.read() == make_content(0, 2_000_000)

    async def test_store_outage_refuses_keyed_requests_as_not_run(self, cluster: Cluster) -> None:
        """Guards against a request that runs although its key could not be claimed."""
        await cluster.post(f"{cluster.store_url}/fault", {"mode": "refuse"})
        url = f"{cluster.vms[0].url}/services/scoring/registrations"
        headers = {"Idempotency-Key": "shift-2"}
        async with cluster.session.post(url, data=b"{}", headers=headers) as answer:
            assert answer.headers["Briarfork-Error"] == "claim_unavailable"
            assert answer.headers["Briarfork-Outcome"] == "not-run"
        assert await count_runs(cluster, "shift-2") == 0


class TestErrors:
    async def test_unknown_service_names_the_fault(self, cluster: Cluster) -> None:
        """Guards against an error that does not tell the caller what is wrong."""
        async with cluster.session.get(f"{cluster.vms[0].url}/services/none/x") as answer:
            assert answer.status == 404
            assert answer.headers["Briarfork-Error"] == "unknown_service"
            assert "'none'" in (await answer.json())["detail"]

    async def test_expired_deadline_is_refused_as_not_run(self, cluster: Cluster) -> None:
        """Guards against work whose caller no longer waits."""
        headers = {"Briarfork-Deadline-Ms": "0"}
        url = f"{cluster.vms[0].url}/services/results/table"
        async with cluster.session.get(url, headers=headers) as answer:
            assert answer.headers["Briarfork-Error"] == "deadline_expired"
            assert answer.headers["Briarfork-Outcome"] == "not-run"
