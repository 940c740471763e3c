"""Comparisons of the bench; each compares runs on the same processes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.registry import Registry
from tests.bench.arrivals import build_arrivals
from tests.bench.arrivals import serve_ideally
from tests.bench.results import Row
from tests.bench.results import find_percentiles
from tests.bench.results import summarize

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.bench.runner import Bench


@dataclass(frozen=True, slots=True)
class Options:
    seconds: float
    seed: int
    policies: tuple[str, ...]


SCENARIOS: Registry[Callable[[Bench, Options], Awaitable[None]]] = Registry("scenario")


@SCENARIOS.register("selection")
async def compare_policies(bench: Bench, options: Options) -> None:
    """All policies and one ideal shared queue over both sites, with the same arrivals."""
    workloads = bench.deployment.workloads
    for item in workloads:
        arrivals = build_arrivals([item], options.seconds, options.seed, "ideal")
        ideal = find_percentiles(serve_ideally(arrivals, item.total_slots))
        print(Row(f"{item.service}, ideal", len(arrivals), ideal, 1.0).format())
    for policy in options.policies:
        await bench.use_policy(policy)
        arrivals = build_arrivals(workloads, options.seconds, options.seed, policy)
        outcomes = await bench.measure(arrivals, policy)
        for item in workloads:
            chosen = [outcome for outcome in outcomes if outcome["service"] == item.service]
            duplicates = await bench.count_duplicates(policy, item.service)
            print(summarize(f"{item.service}, {policy}", chosen, duplicates).format(), flush=True)
