"""Metrics, sent by statsd; docs/metrics.md lists them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from briarfork.border.settings import Settings


class Metric(Enum):
    """Names of all metrics."""

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


class Metrics:
    """Sends metrics over UDP; without statsd settings it sends nothing."""

    def __init__(self, settings: Settings) -> None:
        statsd = settings.statsd
        self._client = StatsClient(statsd.host, statsd.port, statsd.prefix) if statsd else None

    def count(self, metric: Metric, label: str | None = None) -> None:
        """Counts one occurrence."""
        if self._client is not None:
            self._client.incr(_name(metric, label))

    def time(self, metric: Metric, elapsed_s: float, label: str | None = None) -> None:
        """Reports a duration."""
        if self._client is not None:
            self._client.timing(_name(metric, label), elapsed_s * 1000)

    def gauge(self, metric: Metric, value: float) -> None:
        """Reports a level."""
        if self._client is not None:
            self._client.gauge(metric.value, value)


def _name(metric: Metric, label: str | None) -> str:
    return f"{metric.value}.{label}" if label else metric.value
