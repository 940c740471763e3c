"""Open-loop arrivals with a fixed seed, and one ideal shared queue that serves them."""

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
    """A request that starts at a fixed time, whatever became of earlier requests."""

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
    """Draws exponential gaps and run times; equal seeds give equal arrivals for every policy."""
    clients = list_clients()
    arrivals: list[Arrival] = []
    for item in workloads:
        source = random.Random(f"{seed}-{item.service}-{item.path}")
        at_s = source.expovariate(item.rate)
        while at_s < duration_s:
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    name=f"{label}-{item.service}-{len(arrivals)}",
                    service=item.service,
                    method=item.method,
                    path=item.path,
                    run_ms=0.0 if item.download_bytes else source.expovariate(1.0 / item.run_ms),
                    deadline_s=item.deadline_s,
                    client=source.choice(clients),
                )
            )
            at_s += source.expovariate(item.rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def serve_ideally(arrivals: Sequence[Arrival], slots: int) -> list[float]:
    """Returns the latencies in seconds of one queue in order of arrival over all slots.

    >>> first = Arrival(0.0, "a", "s", "GET", "/", 1000.0, 5.0, "c")
    >>> second = Arrival(0.5, "b", "s", "GET", "/", 1000.0, 5.0, "c")
    >>> serve_ideally([first, second], 1)
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
