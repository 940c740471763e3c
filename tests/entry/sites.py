"""Configuration files for a few sites, and open-loop load on entry VMs."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import yaml

if TYPE_CHECKING:
    from pathlib import Path

    from tests.cluster import Cluster
    from tests.cluster import Vm

NETWORK = 51
SERVICE = "results"


def write_files(folder: Path, regions: dict[str, list[str]], **service: Any) -> Path:
    """Writes a base file with one service and one site in each zone."""
    (folder / "sites").mkdir(parents=True, exist_ok=True)
    names = sorted(regions)
    body = {
        "idempotent": True,
        "request_class": "short",
        "deadline_ms": 2000,
        "slots": 3,
        "connections": 400,
        "shift": {"cap_rps": 40, "slope_percent_per_minute": 6000},
        **service,
    }
    base = {
        "format": 1,
        "entry_vms": 4,
        "lookup_ttl_s": 1,
        "regions": {name: {"zones": zones} for name, zones in regions.items()},
        "links": [
            {"between": [first, second], "gbit_s": 4, "latency_ms": 35}
            for first in names
            for second in names
            if first < second
        ],
        "client_blocks": [{"prefix": "127.0.0.0/8", "region": names[0]}],
        "services": {SERVICE: body},
    }
    (folder / "base.yaml").write_text(yaml.safe_dump(base))
    for zone in [zone for zones in regions.values() for zone in zones]:
        overlay = {"site": zone, "zone": zone}
        (folder / "sites" / f"{zone}.yaml").write_text(yaml.safe_dump(overlay))
    return folder


async def send(cluster: Cluster, vm: Vm, answers: Counter[str], path: str = "x") -> None:
    """Sends one request and counts it under the site that ran it, or under its error."""
    try:
        async with cluster.session.get(f"{vm.url}/services/{SERVICE}/{path}") as answer:
            await answer.read()
            server = answer.headers.get("Briarfork-Server", "")
            site = server.removeprefix(f"{SERVICE}-").rpartition("-")[0]
            answers[site or answer.headers.get("Briarfork-Error", str(answer.status))] += 1
    except aiohttp.ClientError:
        answers["connection"] += 1


async def run_load(cluster: Cluster, vms: list[Vm], rps: float, duration_s: float) -> Counter[str]:
    """Sends open-loop load at a fixed rate to the VMs in turn and returns the counts."""
    answers: Counter[str] = Counter()
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(int(rps * duration_s)):
            await asyncio.sleep(started + number / rps - time.monotonic())
            group.create_task(send(cluster, vms[number % len(vms)], answers))
    return answers


async def read_arrivals(cluster: Cluster, site: str) -> list[float]:
    """Returns the times at which the backend servers of a site began requests."""
    arrivals: list[float] = []
    for name, (address, port) in cluster.backends.items():
        if name.startswith(f"{SERVICE}-{site}-"):
            arrivals += (await cluster.get(f"http://{address}:{port}/ledger"))["arrivals"]
    return sorted(arrivals)
