"""Arrivals of the bench and the ideal queue that they are compared with."""

from __future__ import annotations

from tests.bench.arrivals import build_arrivals
from tests.bench.arrivals import serve_ideally
from tests.bench.deployments import Workload

WORKLOAD = Workload("results", 3, 3, 60.0)


class TestArrivals:
    def test_equal_seeds_offer_equal_work(self) -> None:
        """Guards against a comparison of policies under different load."""
        first = build_arrivals([WORKLOAD], 2.0, 7, "a")
        second = build_arrivals([WORKLOAD, Workload("scoring", 2, 3, 100.0)], 2.0, 7, "b")
        kept = [item for item in second if item.service == "results"]
        assert [(i.at_s, i.run_ms, i.client) for i in first] == [
            (i.at_s, i.run_ms, i.client) for i in kept
        ]

    def test_offered_load_is_the_stated_share_of_the_slots(self) -> None:
        """Guards against a bench that offers another load than it reports."""
        arrivals = build_arrivals([WORKLOAD], 60.0, 1, "a")
        busy_s = sum(item.run_ms for item in arrivals) / 1000.0
        assert abs(busy_s / 60.0 / WORKLOAD.total_slots - WORKLOAD.load) < 0.03


class TestIdealQueue:
    def test_latency_is_the_run_time_while_slots_are_free(self) -> None:
        """Guards against an ideal that is worse than it could be."""
        arrivals = build_arrivals([WORKLOAD], 2.0, 1, "a")
        latencies = serve_ideally(arrivals, len(arrivals))
        assert all(
            abs(latency - item.run_ms / 1000.0) < 1e-9
            for latency, item in zip(latencies, arrivals, strict=True)
        )
