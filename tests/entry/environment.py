"""Test environment of one availability zone with scripted backend servers."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import yaml

from tests.cluster import POLL_INTERVAL_S
from tests.cluster import Cluster
from tests.standins.scripted import ScriptedServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from pathlib import Path

    import aiohttp

NETWORK = 41
ZONE = "north-a"
CLIENT = f"127.{NETWORK}.200.1"
SERVICES = {"scoring": False, "results": True}
PROGRESS_S = 1.0


@dataclass
class Reply:
    status: int
    error: str | None
    outcome: str | None
    body: bytes
    headers: Any


@dataclass
class Environment:
    cluster: Cluster
    servers: list[ScriptedServer]
    ledger: Counter[str]

    def url(self, path: str, vm: int = 0) -> str:
        return f"{self.cluster.vms[vm].url}/services/{path}"

    async def request(
        self, method: str, path: str, name: str, vm: int = 0, keyed: bool = False, **options: Any
    ) -> Reply:
        header = "Idempotency-Key" if keyed else "Test-Request"
        headers = {header: name, **options.pop("headers", {})}
        url = self.url(path, vm)
        async with self.cluster.session.request(method, url, headers=headers, **options) as result:
            return await read_reply(result)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)


async def read_reply(result: aiohttp.ClientResponse) -> Reply:
    error, outcome = result.headers.get("Briarfork-Error"), result.headers.get("Briarfork-Outcome")
    return Reply(result.status, error, outcome, await result.read(), result.headers)


def write_documents(folder: Path, **changes: Any) -> Path:
    service = {
        "request_class": "short",
        "deadline_ms": 3000,
        "slots": 50,
        "connections": 400,
        "spread": {ZONE: 1},
        "shift": {"cap_rps": 100, "slope_percent_per_minute": 10},
        **changes,
    }
    base = {
        "format": 1,
        "approval": "none",
        "entry_vms": 4,
        "lookup_ttl_s": 1,
        "regions": {"north": {"zones": [ZONE]}},
        "links": [],
        "client_blocks": [{"prefix": f"127.{NETWORK}.0.0/16", "region": "north"}],
        "services": {name: {**service, "idempotent": same} for name, same in SERVICES.items()},
    }
    (folder / "sites").mkdir(parents=True)
    (folder / "base.yaml").write_text(yaml.safe_dump(base))
    (folder / "sites" / f"{ZONE}.yaml").write_text(yaml.safe_dump({"site": ZONE, "zone": ZONE}))
    return folder


@asynccontextmanager
async def run_environment(
    work: Path, servers: int = 3, vms: int = 2, **extra_timeouts: float
) -> AsyncIterator[Environment]:
    folder = write_documents(work / "documents")
    ledger: Counter[str] = Counter()
    scripted = [
        ScriptedServer(f"127.{NETWORK}.1.{100 + index}", ledger) for index in range(servers)
    ]
    timeouts = {
        "progress_s": PROGRESS_S,
        "store_s": 0.5,
        "list_s": 0.2,
        "spread_s": 1.0,
        **extra_timeouts,
    }
    cluster = Cluster(folder, work, [ZONE], vms, timeouts=timeouts, network=NETWORK, client=CLIENT)
    async with cluster:
        for index, server in enumerate(scripted):
            await server.start()
            for service in SERVICES:
                name = f"{service}-{index}"
                cluster.add_listed_server(name, service, ZONE, server.address, server.port)
        await cluster.publish()
        submitted = await cluster.submit()
        await cluster.wait_for_generation(submitted["generation"])
        environment = Environment(cluster, scripted, ledger)
        async with asyncio.timeout(15.0):
            for vm in range(vms):
                for service in SERVICES:
                    while (
                        await environment.request("GET", f"{service}/ok", "ready", vm)
                    ).status != 200:
                        await asyncio.sleep(POLL_INTERVAL_S)
        yield environment
        for server in scripted:
            server.stop()
