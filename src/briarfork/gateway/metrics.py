"""Counters, gauges and histograms of a gateway in the Prometheus format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from prometheus_client.registry import Collector

    from briarfork.border.responses import ResponseFault
    from briarfork.pools import RefusalCause
    from briarfork.routing import Route
    from briarfork.workspaces import Workspace

# Histogram buckets in seconds: latency objectives are 0.2 to 3 s, timeouts up to 20 s.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0)
# Buckets in seconds for delays of the event loop.
LOOP_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)

# Workspaces that are counted by name; the rest is counted together.
MAX_NAMED_WORKSPACES = 10
OTHER_WORKSPACES = "other"


class GatewayMetrics:
    """The metrics of a gateway; all labels have few values, which bounds the number of series."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "briarfork_requests",
            "Requests of callers by outcome.",
            ["service", "kind", "outcome"],
            registry=self._registry,
        )
        self._request_times = Histogram(
            "briarfork_request_seconds",
            "Time from a request to the end of its answer.",
            ["service", "kind", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._failed_attempts = Counter(
            "briarfork_failed_attempts",
            "Attempts at backend servers that brought no whole answer.",
            ["service", "result"],
            registry=self._registry,
        )
        self._dropped_responses = Counter(
            "briarfork_dropped_responses",
            "Responses that were too long or found no memory.",
            ["service", "reason"],
            registry=self._registry,
        )
        self._response_bytes = Gauge(
            "briarfork_response_bytes",
            "Memory that responses hold or have reserved.",
            registry=self._registry,
        )
        self._cut_requests = Counter(
            "briarfork_cut_requests",
            "Requests that a planned stop left without a whole response.",
            registry=self._registry,
        )
        self._requests_ahead = Counter(
            "briarfork_requests_ahead",
            "Pipelined requests that ran ahead of their turn, and those of them that were ended.",
            ["event"],
            registry=self._registry,
        )
        self._response_faults = Counter(
            "briarfork_response_faults",
            "Connections to backend servers closed because of the bytes that arrived.",
            ["fault"],
            registry=self._registry,
        )
        self._waiting_requests = self._build_gauge(
            "waiting_requests", "Requests that wait for a slot here."
        )
        self._retry_budget = self._build_gauge("repeat_budget", "Repeats that may be sent now.")
        self._remote_share = self._build_gauge("remote_share", "Share that leaves the region.")
        self._slot_refusals = Gauge(
            "briarfork_slot_refusals",
            "Requests for slots that this VM has refused as their owner.",
            ["service", "cause"],
            registry=self._registry,
        )
        self._version = Gauge(
            "briarfork_configuration_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )
        self._view_age = Gauge(
            "briarfork_store_view_age_seconds",
            "Time since the view of the store was last known to be up to date.",
            registry=self._registry,
        )
        self._store_era = Gauge(
            "briarfork_store_era",
            "Era of the store, -1 if it names none; it rises when an older copy is restored.",
            registry=self._registry,
        )

        self._quota_decisions = Counter(
            "briarfork_quota_decisions",
            "Decisions on requests within the quotas of workspaces.",
            ["workspace", "decision"],
            registry=self._registry,
        )
        self._largest_workspaces: frozenset[str] = frozenset()
        self._loop_delays = Histogram(
            "briarfork_loop_delay_seconds",
            "How late timers of the event loop run.",
            buckets=LOOP_BUCKETS_S,
            registry=self._registry,
        )
        self._busy_seconds = Gauge(
            "briarfork_busy_seconds",
            "Time for which the event loop has been busy with one kind of work.",
            ["work"],
            registry=self._registry,
        )

    def add_collector(self, collector: Collector) -> None:
        """Adds metrics that are read when all metrics are rendered."""
        self._registry.register(collector)

    def count_request(self, service: str, route: Route, outcome: str, elapsed_s: float) -> None:
        """Counts a finished request.

        Args:
            service: Service of the request.
            route: Route of the request.
            outcome: "answered", "cancelled" or the kind of the error.
            elapsed_s: Time since the request arrived.
        """
        labels = (service, route.kind.value, outcome)
        self._requests.labels(*labels).inc()
        self._request_times.labels(*labels).observe(elapsed_s)

    def count_failed_attempt(self, service: str, result: str) -> None:
        """Counts an attempt that did not return a complete response."""
        self._failed_attempts.labels(service, result).inc()

    def count_dropped_response(self, service: str, reason: str) -> None:
        """Counts a response that was not kept; the reasons are those of `DropReason`."""
        self._dropped_responses.labels(service, reason).inc()

    def set_response_bytes(self, size_bytes: int) -> None:
        """Sets the gauge for the memory of responses."""
        self._response_bytes.set(size_bytes)

    def count_cut_requests(self, count: int) -> None:
        """Counts requests that were cut at the end of a planned stop."""
        self._cut_requests.inc(count)

    def count_request_ahead(self, event: str) -> None:
        """Counts a request that runs ahead of its turn: "started", "dropped" or "cancelled"."""
        self._requests_ahead.labels(event).inc()

    def count_response_fault(self, fault: ResponseFault) -> None:
        """Counts a connection that was closed because of what its server sent."""
        self._response_faults.labels(fault.value).inc()

    def set_gauges(
        self, service: str, waiting: int, retry_budget: float, remote_share: float
    ) -> None:
        """Sets the gauges of one service."""
        self._waiting_requests.labels(service).set(waiting)
        self._retry_budget.labels(service).set(retry_budget)
        self._remote_share.labels(service).set(remote_share)

    def set_slot_refusals(self, service: str, counts: Mapping[RefusalCause, int]) -> None:
        """Sets how many requests for slots this VM has refused as their owner."""
        for cause, count in counts.items():
            self._slot_refusals.labels(service, cause.value).set(count)

    def set_version(self, version: int) -> None:
        """Sets the gauge for the version of the current configuration."""
        self._version.set(version)

    def set_view_age(self, age_s: float) -> None:
        """Sets the gauge for the age of this VM's view of the store, in seconds."""
        self._view_age.set(age_s)

    def set_store_era(self, era: int) -> None:
        """Sets the gauge for the era of the store, -1 if it names none."""
        self._store_era.set(era)

    def observe_loop_delay(self, delay_s: float) -> None:
        """Counts how late a timer of the event loop ran, in seconds."""
        self._loop_delays.observe(delay_s)

    def set_busy_time(self, work: str, total_s: float) -> None:
        """Sets for how long the event loop has been busy with one kind of work, in seconds."""
        self._busy_seconds.labels(work).set(total_s)

    def set_limits(self, limits: Mapping[str, Workspace]) -> None:
        """Chooses the workspaces with the largest quotas, which are counted by name."""
        ranked = sorted(limits.values(), key=lambda item: (-item.rate_per_s, item.name))
        self._largest_workspaces = frozenset(item.name for item in ranked[:MAX_NAMED_WORKSPACES])

    def count_quota_decision(self, workspace: str, decision: str) -> None:
        """Counts a decision: "granted", "refused" or "undecided"."""
        label = workspace if workspace in self._largest_workspaces else OTHER_WORKSPACES
        self._quota_decisions.labels(label, decision).inc()

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self._registry)

    def _build_gauge(self, name: str, description: str) -> Gauge:
        return Gauge(f"briarfork_{name}", description, ["service"], registry=self._registry)
