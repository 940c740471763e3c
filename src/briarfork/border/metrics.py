"""StatsD metrics, listed in docs/metrics.md."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from briarfork.border.settings import Settings


class Metric(Enum):
    """Metrics with their StatsD names."""

    LOOKUPS = "lookups"
    REQUESTS = "requests"
    REQUEST_TIME = "request_time"
    ERRORS = "errors"
    RETRIES = "retries"
    HEDGES = "hedges"
    PERMIT_WAIT = "permit_wait"
    SHIFT_HELD_BACK = "shift_held_back"
    OVERFLOWS = "overflows"
    GENERATION = "generation"
    MEMBERS_LIVE = "members_live"
    STORE_CALLS = "store_calls"
    RESPONSE_FAULTS = "response_faults"


class Metrics:
    """Sends metrics over UDP; sends nothing if StatsD is not configured."""

    def __init__(self, settings: Settings) -> None:
        statsd = settings.statsd
        self._client = StatsClient(statsd.host, statsd.port, statsd.prefix) if statsd else None

    def count(self, metric: Metric, label: str | None = None) -> None:
        """Increments a counter."""
        if self._client is not None:
            self._client.incr(_build_name(metric, label))

    def time(self, metric: Metric, elapsed_s: float, label: str | None = None) -> None:
        """Reports a duration in seconds; StatsD receives milliseconds."""
        if self._client is not None:
            self._client.timing(_build_name(metric, label), elapsed_s * 1000)

    def gauge(self, metric: Metric, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(metric.value, value)


def _build_name(metric: Metric, label: str | None) -> str:
    return f"{metric.value}.{label}" if label else metric.value
