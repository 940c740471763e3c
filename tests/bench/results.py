"""Results of a run: latencies by service, goodput, refusals, duplicates and cut responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

LONGEST_US = 120_000_000
PERCENTILES = (50.0, 99.0, 99.9)


def compute_percentiles_ms(latencies_s: Iterable[float]) -> tuple[float, ...]:
    """Returns p50, p99 and p99.9 in milliseconds."""
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for latency_s in latencies_s:
        histogram.record_value(max(1, int(latency_s * 1e6)))
    return tuple(histogram.get_value_at_percentile(rank) / 1000.0 for rank in PERCENTILES)


@dataclass(frozen=True, slots=True)
class ResultRow:
    """One row of the result table: a run of one kind of request."""

    run: str
    requests: int
    percentiles_ms: tuple[float, ...]
    goodput: float = 0.0
    refusals: int = 0
    duplicates: int = 0
    cut: int = 0

    def format(self) -> str:
        p50, p99, p999 = self.percentiles_ms
        return (
            f"| {self.run} | {self.requests} | {p50:.0f} | {p99:.0f} | {p999:.0f} "
            f"| {self.goodput:.3f} | {self.refusals} | {self.duplicates} | {self.cut} |"
        )


HEADER = (
    "| run | requests | p50 ms | p99 ms | p99.9 ms | goodput | refusals | duplicates | cut |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def summarize(run: str, outcomes: list[dict[str, Any]], duplicates: int) -> ResultRow:
    """Summarizes outcomes; goodput is the share of complete responses before the deadline."""
    done = [item for item in outcomes if item["result"] == "done"]
    return ResultRow(
        run=run,
        requests=len(outcomes),
        percentiles_ms=compute_percentiles_ms(item["latency_s"] for item in outcomes),
        goodput=len(done) / max(1, len(outcomes)),
        refusals=sum(item["refusals"] for item in outcomes),
        duplicates=duplicates,
        cut=sum(1 for item in outcomes if item["result"] == "cut"),
    )
