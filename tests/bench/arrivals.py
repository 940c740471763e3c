"""Seeded open-loop arrivals and the ideal shared queue that serves as a baseline."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.bench.deployments import Workload

CLIENTS = 120
CLIENT_PREFIX = "127.10"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that starts at a fixed time, independent of earlier requests."""

    at_s: float
    name: str
    service: str
    method: str
    path: str
    run_ms: float
    deadline_s: float
    client: str


def list_clients() -> list[str]:
    return [f"{CLIENT_PREFIX}.{index // 60 + 1}.{index % 60 + 1}" for index in range(CLIENTS)]


def build_arrivals(
    workloads: Sequence[Workload], duration_s: float, seed: int, label: str
) -> list[Arrival]:
    """Draws exponential gaps and run times; equal seeds yield equal arrivals for every policy."""
    clients = list_clients()
    arrivals: list[Arrival] = []
    for workload in workloads:
        generator = random.Random(f"{seed}-{workload.service}-{workload.path}")
        at_s = generator.expovariate(workload.rate)
        while at_s < duration_s:
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    name=f"{label}-{workload.service}-{len(arrivals)}",
                    service=workload.service,
                    method=workload.method,
                    path=workload.path,
                    run_ms=(
                        0.0
                        if workload.download_bytes
                        else generator.expovariate(1.0 / workload.run_ms)
                    ),
                    deadline_s=workload.deadline_s,
                    client=generator.choice(clients),
                )
            )
            at_s += generator.expovariate(workload.rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def simulate_ideal_queue(arrivals: Sequence[Arrival], slots: int) -> list[float]:
    """Returns the latencies in seconds of a single first-come, first-served queue for all slots.

    >>> first = Arrival(0.0, "a", "s", "GET", "/", 1000.0, 5.0, "c")
    >>> second = Arrival(0.5, "b", "s", "GET", "/", 1000.0, 5.0, "c")
    >>> simulate_ideal_queue([first, second], 1)
    [1.0, 1.5]
    """
    free_at = [0.0] * slots
    latencies = []
    for arrival in arrivals:
        start = max(arrival.at_s, heapq.heappop(free_at))
        end = start + arrival.run_ms / 1000.0
        heapq.heappush(free_at, end)
        latencies.append(end - arrival.at_s)
    return latencies
