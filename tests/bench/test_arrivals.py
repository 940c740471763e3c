"""Tests of the arrivals of the benchmark and of the ideal queue."""

from __future__ import annotations

from tests.bench.arrivals import build_arrivals
from tests.bench.arrivals import simulate_ideal_queue
from tests.bench.deployments import Workload

WORKLOAD = Workload("results", 3, 3, 60.0)


class TestArrivals:
    def test_equal_seeds_offer_equal_work(self) -> None:
        """Guards against comparing policies under different loads."""
        first = build_arrivals([WORKLOAD], 2.0, 7, "a")
        second = build_arrivals([WORKLOAD, Workload("scoring", 2, 3, 100.0)], 2.0, 7, "b")
        kept = [arrival for arrival in second if arrival.service == "results"]
        assert [(i.at_s, i.run_ms, i.client) for i in first] == [
            (i.at_s, i.run_ms, i.client) for i in kept
        ]

    def test_offered_load_is_the_stated_share_of_the_slots(self) -> None:
        """Guards against a benchmark that offers a different load than it reports."""
        arrivals = build_arrivals([WORKLOAD], 60.0, 1, "a")
        busy_s = sum(arrival.run_ms for arrival in arrivals) / 1000.0
        assert abs(busy_s / 60.0 / WORKLOAD.total_slots - WORKLOAD.load) < 0.03


class TestIdealQueue:
    def test_latency_is_the_run_time_while_slots_are_free(self) -> None:
        """Guards against a baseline that is worse than the true optimum."""
        arrivals = build_arrivals([WORKLOAD], 2.0, 1, "a")
        latencies = simulate_ideal_queue(arrivals, len(arrivals))
        assert all(
            abs(latency - arrival.run_ms / 1000.0) < 1e-9
            for latency, arrival in zip(latencies, arrivals, strict=True)
        )
