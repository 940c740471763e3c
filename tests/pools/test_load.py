"""Latency and goodput of request placement under several workloads."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.pools.simulation import Simulation
from tests.pools.simulation import Workload

SEEDS = (1, 2, 3)
OBJECTIVE_S = 0.5
# The 12 slots serve 74 requests per second if all requested objects are cached, and 22 if none is.
ZONE = Workload(
    servers=4, slots=3, cached_objects=18, objects=26, rate=70.0, run_s=0.46, wait_s=OBJECTIVE_S / 2
)


@pytest.mark.parametrize("seed", SEEDS)
class TestNearlyFullZone:
    def test_requests_run_where_their_objects_are_cached(self, seed: int) -> None:
        """Guards against granting slots by arrival alone, which runs most requests uncached."""
        result = Simulation(ZONE, seed).run()
        assert result.cache_hits / len(result.latencies_s) >= 0.9
        assert result.compute_share_within(OBJECTIVE_S) >= 0.75

    def test_overload_serves_requests_that_meet_their_deadline(self, seed: int) -> None:
        """Guards against a collapse at 107% of capacity, where late requests delay timely ones."""
        result = Simulation(replace(ZONE, rate=1.07 * 74.0), seed).run()
        assert result.compute_share_within(OBJECTIVE_S) >= 0.7


@pytest.mark.parametrize("seed", SEEDS)
class TestLightlyLoadedZone:
    def test_objects_keep_their_servers(self, seed: int) -> None:
        """Guards against objects that move between servers and evict each other from caches."""
        result = Simulation(replace(ZONE, rate=28.0), seed).run()
        assert result.cache_hits / len(result.latencies_s) >= 0.9
        assert result.compute_share_within(OBJECTIVE_S) >= 0.9


@pytest.mark.parametrize("seed", SEEDS)
class TestRefusingServers:
    def test_random_refusals_do_not_stop_servers(self, seed: int) -> None:
        """Guards against a backoff of healthy servers that refuse 30% of requests at random."""
        result = Simulation(replace(ZONE, rate=45.0, refusal_share=0.3), seed).run()
        assert result.compute_share_within(OBJECTIVE_S) >= 0.75
