"""End-to-end tests of the request path with separate processes."""

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
    async def test_retry_through_another_vm_runs_once(self, cluster: Cluster) -> None:
        """Guards against a write that runs twice after a lost response."""
        headers = {"Idempotency-Key": "shift-1"}
        bodies = []
        for vm in cluster.vms:
            url = f"{vm.url}/services/scoring/registrations"
            async with cluster.session.post(url, data=b"{}", headers=headers) as answer:
                assert answer.status == 200
                bodies.append(await answer.read())
        assert len(set(bodies)) == 1
        assert await count_runs(cluster, "shift-1") == 1

    async def test_download_is_complete(self, cluster: Cluster) -> None:
        """Guards against a response that is truncated or corrupted."""
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
    async def test_unknown_service_is_named_in_the_error(self, cluster: Cluster) -> None:
        """Guards against an error without a cause that the caller can act on."""
        async with cluster.session.get(f"{cluster.vms[0].url}/services/none/x") as answer:
            assert answer.status == 404
            assert answer.headers["Briarfork-Error"] == "unknown_service"
            assert "'none'" in (await answer.json())["detail"]

    async def test_expired_deadline_is_refused_as_not_run(self, cluster: Cluster) -> None:
        """Guards against work for a caller that no longer waits."""
        headers = {"Briarfork-Deadline-Ms": "0"}
        url = f"{cluster.vms[0].url}/services/results/table"
        async with cluster.session.get(url, headers=headers) as answer:
            assert answer.headers["Briarfork-Error"] == "deadline_expired"
            assert answer.headers["Briarfork-Outcome"] == "not-run"
