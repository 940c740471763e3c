"""Counters and histograms of a gateway, as its metrics address shows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from briarfork.routing import Route

# Bounds of the histogram in seconds: objectives are 0.2 to 3 s, timeouts up to 20 s.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0)


class Measures:
    """What a gateway counts; labels have few values, so its size is bounded."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "briarfork_requests",
            "Requests of callers by outcome.",
            ["service", "kind", "outcome"],
            registry=self._registry,
        )
        self._times = Histogram(
            "briarfork_request_seconds",
            "Time from a request to the end of its answer.",
            ["service", "kind", "outcome"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._attempts = Counter(
            "briarfork_failed_attempts",
            "Attempts at backend servers that brought no whole answer.",
            ["service", "result"],
            registry=self._registry,
        )
        self._waiting = self._build_gauge("waiting_requests", "Requests that wait for a slot here.")
        self._budget = self._build_gauge("repeat_budget", "Repeats that may be sent now.")
        self._remote = self._build_gauge("remote_share", "Share that leaves the region.")
        self._version = Gauge(
            "briarfork_configuration_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )

    def count_request(self, service: str, route: Route, outcome: str, elapsed_s: float) -> None:
        """Counts a request that has ended.

        Args:
            service: Where it went, empty if it never got that far.
            route: Its route.
            outcome: "answered", or the kind of the error.
            elapsed_s: Time since it was taken.
        """
        labels = (service, route.kind.value, outcome)
        self._requests.labels(*labels).inc()
        self._times.labels(*labels).observe(elapsed_s)

    def count_failed_attempt(self, service: str, result: str) -> None:
        """Counts an attempt that brought no whole answer."""
        self._attempts.labels(service, result).inc()

    def set_levels(self, service: str, waiting: int, budget: float, remote_share: float) -> None:
        """Sets the levels of one service."""
        self._waiting.labels(service).set(waiting)
        self._budget.labels(service).set(budget)
        self._remote.labels(service).set(remote_share)

    def set_version(self, version: int) -> None:
        """Sets the version of the configuration in force."""
        self._version.set(version)

    def render(self) -> bytes:
        """Returns all values as text."""
        return generate_latest(self._registry)

    def _build_gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(f"briarfork_{name}", meaning, ["service"], registry=self._registry)
