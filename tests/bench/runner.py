"""Runs arrivals against a cluster, using separate processes as load generators."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import yaml

from tests.bench.arrivals import CLIENT_PREFIX
from tests.bench.arrivals import list_clients
from tests.bench.deployments import ENTRY_VMS_PER_ZONE
from tests.bench.results import compute_percentiles_ms
from tests.cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.bench.arrivals import Arrival
    from tests.bench.deployments import Deployment

ROOT = Path(__file__).parent.parent.parent
GENERATORS = 2
START_DELAY_S = 0.5
# Larger delays of the generator would distort the measured latencies.
MAX_GENERATOR_DELAY_MS = 10.0
SLOW_PERIOD_S = 5.0
SLOW_DURATION_S = 1.5
SLOW_FACTOR = 10.0
LOCAL_CLIENT = f"{CLIENT_PREFIX}.0.1"


class BenchmarkRunner:
    """Runs a deployment with its load generators; an async context manager."""

    def __init__(self, deployment: Deployment, work: Path, network: int) -> None:
        self.deployment = deployment
        self._work = work
        self._folder = work / "files"
        shutil.copytree(ROOT / "examples" / deployment.name, self._folder)
        self._urls: dict[str, dict[str, str]] = {}
        self._generators: list[asyncio.subprocess.Process] = []
        self.cluster = Cluster(
            self._folder,
            work,
            list(deployment.zones),
            vms_per_zone=ENTRY_VMS_PER_ZONE,
            pools=deployment.list_pools(),
            network=network,
            client=LOCAL_CLIENT,
        )

    async def __aenter__(self) -> BenchmarkRunner:
        await self.cluster.__aenter__()
        for _ in range(GENERATORS):
            self._generators.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "tests.bench.generator",
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    cwd=ROOT,
                    env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
                )
            )
        return self

    async def __aexit__(self, *_: object) -> None:
        for generator in self._generators:
            generator.kill()
            await generator.wait()
        await self.cluster.__aexit__()

    async def use_policy(self, policy: str) -> None:
        """Submits a change that selects the policy for every service and waits for it."""
        path = self._folder / "base.yaml"
        base = yaml.safe_load(path.read_text())
        for service in base["services"].values():
            service["selection"] = policy
        path.write_text(yaml.safe_dump(base, sort_keys=False))
        response = await self.cluster.submit()
        await self.cluster.wait_for_generation(response["generation"])
        if not self._urls:
            await self._look_up()

    async def measure(self, arrivals: Sequence[Arrival], label: str) -> list[dict[str, Any]]:
        """Sends the arrivals and returns their outcomes."""
        plans = []
        start_at = time.time() + START_DELAY_S
        for index, generator in enumerate(self._generators):
            plan = self._work / f"{label}-{index}.json"
            body = {
                "start_at": start_at,
                "urls": self._urls,
                "arrivals": [asdict(arrival) for arrival in arrivals[index::GENERATORS]],
            }
            plan.write_text(json.dumps(body))
            plans.append(plan)
            assert generator.stdin is not None
            generator.stdin.write(f"{plan}\n".encode())
        for generator in self._generators:
            assert generator.stdout is not None
            if not await generator.stdout.readline():
                raise RuntimeError(f"the load generator failed in run {label}")
        outcomes = [
            outcome
            for plan in plans
            for outcome in json.loads(plan.with_suffix(".out").read_text())
        ]
        late_ms = compute_percentiles_ms(outcome["late_s"] for outcome in outcomes)[1]
        if late_ms > MAX_GENERATOR_DELAY_MS:
            print(f"(the load generator was late by {late_ms:.0f} ms at p99 in run {label})")
        return outcomes

    async def read_ledgers(self) -> list[dict[str, Any]]:
        """Returns the ledgers of all backend servers."""
        return [
            await self.cluster.get(f"http://{address}:{port}/ledger")
            for address, port in self.cluster.backends.values()
        ]

    async def count_duplicates(self, label: str, service: str) -> int:
        """Returns the number of requests that ran more than once."""
        runs: dict[str, int] = {}
        for server in await self.read_ledgers():
            for name, count in server["ledger"].items():
                if name.startswith(f"{label}-{service}-"):
                    runs[name] = runs.get(name, 0) + count
        return sum(1 for count in runs.values() if count > 1)

    async def sum_execution_counts(self, service: str) -> dict[str, int]:
        """Returns the number of executed and of cancelled requests of a service so far."""
        servers = [
            server for server in await self.read_ledgers() if server["vm"].startswith(service)
        ]
        return {
            "runs": sum(sum(server["ledger"].values()) for server in servers),
            "cancelled": sum(server["cancelled"] for server in servers),
        }

    async def slow_servers_in_turn(self, service: str) -> None:
        """Slows down one server after the other for a short time, until cancelled."""
        names = [name for name in sorted(self.cluster.backends) if name.startswith(service)]
        for name in itertools.cycle(names):
            address, port = self.cluster.backends[name]
            url = f"http://{address}:{port}/control"
            await asyncio.sleep(SLOW_PERIOD_S - SLOW_DURATION_S)
            await self.cluster.post(url, {"slow_factor": SLOW_FACTOR})
            try:
                await asyncio.sleep(SLOW_DURATION_S)
            finally:
                await self.cluster.post(url, {"slow_factor": 1.0})

    async def _look_up(self) -> None:
        url = f"{self.cluster.vms[0].url}/lookup"
        for client in list_clients():
            self._urls[client] = {}
            for workload in self.deployment.workloads:
                response = await self.cluster.get(url, service=workload.service, client=client)
                entry = response["entries"][0]
                self._urls[client][
                    workload.service
                ] = f"http://{entry['address']}:{entry['port']}/services/{workload.service}"
