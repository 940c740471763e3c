"""Metrics of the process and of its calls to the store, read when the metrics are requested."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

from briarfork.border.memory import BYTES_PER_MB
from briarfork.border.memory import read_memory

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarfork.gateway.process import Gateway
    from briarfork.platform.store import StoreClient

# Shown until the VM has been ready.
NEVER_READY_S = -1.0


class GatewayCollector(Collector):
    """Peak and limit of the memory, and when the VM was first ready."""

    def __init__(self, gateway: Gateway, memory_mb: int) -> None:
        self._gateway = gateway
        self._memory_mb = memory_mb

    def collect(self) -> Iterable[Metric]:
        """Yields the metrics."""
        ready_after_s = self._gateway.ready_after_s
        yield GaugeMetricFamily(
            "briarfork_memory_peak_bytes",
            "Highest resident memory of the process so far.",
            read_memory().peak_mb * BYTES_PER_MB,
        )
        yield GaugeMetricFamily(
            "briarfork_memory_limit_bytes",
            "Memory above which the platform kills the process.",
            self._memory_mb * BYTES_PER_MB,
        )
        yield GaugeMetricFamily(
            "briarfork_ready_after_seconds",
            "Time from the start of the process until this VM was first ready, -1 before that.",
            NEVER_READY_S if ready_after_s is None else ready_after_s,
        )


class StoreCollector(Collector):
    """How much was read from the store, and how many calls to it have failed."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def collect(self) -> Iterable[Metric]:
        """Yields the metrics."""
        readings = {kind.value: totals for kind, totals in self._store.readings.items()}
        yield _build_counter(
            "briarfork_store_read_bytes",
            "Bytes of listings and changes of the store.",
            "kind",
            {kind: totals.size_bytes for kind, totals in readings.items()},
        )
        yield _build_counter(
            "briarfork_store_read_responses",
            "Responses with listings and changes of the store.",
            "kind",
            {kind: totals.responses for kind, totals in readings.items()},
        )
        yield _build_counter(
            "briarfork_store_read_keys",
            "Keys in listings and changes of the store.",
            "kind",
            {kind: totals.keys for kind, totals in readings.items()},
        )
        yield _build_counter(
            "briarfork_store_read_seconds",
            "Time of the calls for listings, and of the bodies of changes.",
            "kind",
            {kind: totals.elapsed_s for kind, totals in readings.items()},
        )
        yield _build_counter(
            "briarfork_store_failures",
            "Calls to the store that have failed.",
            "call",
            self._store.failures,
        )


def _build_counter(
    name: str, description: str, label: str, values: Mapping[str, float]
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, description, labels=[label])
    for value_of_label, value in values.items():
        family.add_metric([value_of_label], value)
    return family
