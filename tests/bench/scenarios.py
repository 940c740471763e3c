"""Comparisons of the bench; each compares runs on the same processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.pools import PERMITS_POLICY
from briarfork.registry import Registry
from tests.bench.arrivals import build_arrivals
from tests.bench.arrivals import serve_ideally
from tests.bench.results import Row
from tests.bench.results import find_percentiles
from tests.bench.results import summarize

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Any

    from tests.bench.deployments import Workload
    from tests.bench.runner import Bench

# The region keeps a sixth of its slots in a straggler, so 80% would leave no slot for a hedge.
STRAGGLER_LOAD = 0.6
LONG_RUN_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Options:
    seconds: float
    seed: int
    policies: tuple[str, ...]
    quick: bool = False


SCENARIOS: Registry[Callable[[Bench, Options], Awaitable[None]]] = Registry("scenario")


def pick(outcomes: list[dict[str, Any]], item: Workload) -> list[dict[str, Any]]:
    return [
        outcome
        for outcome in outcomes
        if outcome["service"] == item.service and outcome["path"] == item.path
    ]


@SCENARIOS.register("selection")
async def compare_policies(bench: Bench, options: Options) -> None:
    """All policies and one ideal shared queue over both sites, with the same arrivals."""
    workloads = bench.deployment.workloads
    if options.quick:
        # The run times of timed downloads would be most of a short run.
        workloads = tuple(item for item in workloads if item.run_ms < LONG_RUN_MS)
    for item in workloads:
        arrivals = build_arrivals([item], options.seconds, options.seed, "ideal")
        ideal = find_percentiles(serve_ideally(arrivals, item.total_slots))
        print(Row(f"{item.service}, ideal", len(arrivals), ideal, 1.0).format())
    for policy in options.policies:
        await bench.use_policy(policy)
        arrivals = build_arrivals(workloads, options.seconds, options.seed, policy)
        outcomes = await bench.measure(arrivals, policy)
        for item in workloads:
            chosen = pick(outcomes, item)
            duplicates = await bench.count_duplicates(policy, item.service)
            print(summarize(f"{item.service}, {policy}", chosen, duplicates).format(), flush=True)


@SCENARIOS.register("head_of_line")
async def compare_downloads(bench: Bench, options: Options) -> None:
    """Short requests with and without downloads that saturate their share of the slots.

    Short runs leave out the deployment in which no service has both classes.
    """
    deployment = bench.deployment
    if options.quick and not any(item.service == "scoring" for item in deployment.short):
        return
    await bench.use_policy(PERMITS_POLICY)
    p99: dict[str, list[float]] = {}
    for run, workloads in (
        ("quiet", deployment.short),
        ("downloads", deployment.short + deployment.downloads),
    ):
        arrivals = build_arrivals(workloads, options.seconds, options.seed, run)
        outcomes = await bench.measure(arrivals, run)
        for item in workloads:
            duplicates = await bench.count_duplicates(run, item.service)
            name = f"{item.service}{item.path if item.download_bytes else ''}, {run}"
            row = summarize(name, pick(outcomes, item), duplicates)
            print(row.format(), flush=True)
            if not item.download_bytes:
                p99.setdefault(item.service, []).append(row.percentiles_ms[1])
    for service, (quiet, loud) in p99.items():
        print(f"\n{service}: p99 with downloads {loud / quiet:.2f} times the p99 without")


@SCENARIOS.register("stragglers")
async def compare_stragglers(bench: Bench, options: Options) -> None:
    """Lookups of hearings with and without servers that are ten times slower for moments.

    Each of the 6 servers is slow in turn for 1.5 s in every 5 s, which is 1/20 of all server time,
    and its load report shows nothing.
    """
    hearings = [item for item in bench.deployment.workloads if item.service == "hearing-status"]
    if not hearings:
        return
    workload = replace(hearings[0], load=STRAGGLER_LOAD)
    await bench.use_policy(PERMITS_POLICY)
    rows = []
    for run in ("even", "stragglers"):
        arrivals = build_arrivals([workload], options.seconds, options.seed, run)
        before = await bench.sum_ledgers(workload.service)
        async with asyncio.TaskGroup() as group:
            slowing = None
            if run == "stragglers":
                slowing = group.create_task(bench.slow_in_turn(workload.service))
            outcomes = await bench.measure(arrivals, run)
            if slowing is not None:
                slowing.cancel()
        after = await bench.sum_ledgers(workload.service)
        rows.append(summarize(f"{workload.service}, {run}", outcomes, 0))
        print(rows[-1].format(), flush=True)
        runs, cancelled = (after[name] - before[name] for name in ("runs", "cancelled"))
        extra = runs / len(arrivals) - 1.0
        print(f"{run}: {extra:.2%} extra requests, {cancelled} seen cancelled by the servers")
    even, slow = (row.percentiles_ms[2] for row in rows)
    print(f"\np99.9 with stragglers {slow / even:.2f} times the p99.9 without")
