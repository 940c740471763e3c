"""Demonstration run by `make demo`: submits the Estonian example and sends requests through it."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from tests.cluster import Cluster
from tests.cluster import Pool

ROOT = Path(__file__).parent.parent.parent
ZONES = ["north-a", "north-b", "south-a", "south-b", "west-a", "west-b"]
CLIENT = "127.10.0.7"
DOWNLOAD_BYTES = 3_000_000


def list_pools() -> list[Pool]:
    counts = {"results": 3, "scoring": 2, "archive": 2, "schedule": 2}
    return [Pool(service, zone, count) for zone in ZONES for service, count in counts.items()]


async def look_up(cluster: Cluster, service: str) -> str:
    response = await cluster.get(f"{cluster.vms[0].url}/lookup", service=service, client=CLIENT)
    first = response["entries"][0]
    names = [entry["vm"] for entry in response["entries"]]
    print(f"lookup of {service} for {CLIENT}: {', '.join(names[:3])} (ttl {response['ttl_s']:g} s)")
    return f"http://{first['address']}:{first['port']}"


async def send_registration(cluster: Cluster, url: str, key: str) -> Any:
    headers = {"Idempotency-Key": key}
    body = {"competitor": "Mari", "shift": 4}
    path = f"{url}/services/scoring/registrations"
    async with cluster.session.post(path, json=body, headers=headers) as response:
        replayed = response.headers.get("Briarfork-Replayed", "false")
        print(f"registration {key}: status {response.status}, replayed {replayed}")
        return await response.json()


async def count_runs(cluster: Cluster, key: str) -> int:
    runs = 0
    for name, (address, port) in cluster.backends.items():
        if name.startswith("scoring"):
            ledger = (await cluster.get(f"http://{address}:{port}/ledger"))["ledger"]
            runs += ledger.get(key, 0)
    return runs


async def run_demo(work_dir: Path) -> bool:
    started_at = time.monotonic()
    folder = ROOT / "examples" / "estonia"
    async with Cluster(folder, work_dir, ZONES, pools=list_pools(), client=CLIENT) as cluster:
        print(f"{len(cluster.vms)} entry VMs, {len(cluster.backends)} backend servers")
        submitted_at = time.monotonic()
        response = await cluster.submit()
        await cluster.wait_for_generation(response["generation"])
        elapsed_ms = (time.monotonic() - submitted_at) * 1000
        print(f"generation {response['generation']} in force on all VMs after {elapsed_ms:.0f} ms")
        scoring = await look_up(cluster, "scoring")
        await send_registration(cluster, scoring, "shift-4-mari")
        await send_registration(cluster, cluster.vms[-1].url, "shift-4-mari")
        runs = await count_runs(cluster, "shift-4-mari")
        print(f"the registration ran {runs} time(s)")
        results = await look_up(cluster, "results")
        async with cluster.session.get(f"{results}/services/results/table") as response:
            table = await response.json()
            print(f"results table: status {response.status} from {table['server']}")
        archive = await look_up(cluster, "archive")
        path = f"{archive}/services/archive/videos/arch?bytes={DOWNLOAD_BYTES}"
        async with cluster.session.get(path) as response:
            size = len(await response.read())
            print(f"download: status {response.status}, {size} of {DOWNLOAD_BYTES} bytes")
    print(f"finished in {time.monotonic() - started_at:.1f} s")
    return runs == 1 and size == DOWNLOAD_BYTES and table["path"] == "/table"


def main() -> None:
    with tempfile.TemporaryDirectory() as work_dir:
        succeeded = asyncio.run(run_demo(Path(work_dir)))
    print("demo: success" if succeeded else "demo: FAILED")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
