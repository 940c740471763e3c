"""Scenarios of the benchmark; each compares several runs on the same processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.pools import PERMITS_POLICY
from briarfork.registry import Registry
from tests.bench.arrivals import build_arrivals
from tests.bench.arrivals import simulate_ideal_queue
from tests.bench.results import ResultRow
from tests.bench.results import compute_percentiles_ms
from tests.bench.results import summarize

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Any

    from tests.bench.deployments import Workload
    from tests.bench.runner import BenchmarkRunner

# One straggler holds a sixth of the slots of the region, so a load of 80% would leave no slots for
# hedged requests.
STRAGGLER_LOAD = 0.6
LONG_RUN_TIME_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Options:
    seconds: float
    seed: int
    policies: tuple[str, ...]
    quick: bool = False


SCENARIOS: Registry[Callable[[BenchmarkRunner, Options], Awaitable[None]]] = Registry("scenario")


def select_outcomes(outcomes: list[dict[str, Any]], workload: Workload) -> list[dict[str, Any]]:
    return [
        outcome
        for outcome in outcomes
        if outcome["service"] == workload.service and outcome["path"] == workload.path
    ]


@SCENARIOS.register("selection")
async def compare_policies(runner: BenchmarkRunner, options: Options) -> None:
    """Compares all policies and an ideal queue shared by both sites, with the same arrivals."""
    workloads = runner.deployment.workloads
    if options.quick:
        # Downloads with a run time would dominate a short run.
        workloads = tuple(workload for workload in workloads if workload.run_ms < LONG_RUN_TIME_MS)
    for workload in workloads:
        arrivals = build_arrivals([workload], options.seconds, options.seed, "ideal")
        ideal = compute_percentiles_ms(simulate_ideal_queue(arrivals, workload.total_slots))
        print(ResultRow(f"{workload.service}, ideal", len(arrivals), ideal, 1.0).format())
    for policy in options.policies:
        await runner.use_policy(policy)
        arrivals = build_arrivals(workloads, options.seconds, options.seed, policy)
        outcomes = await runner.measure(arrivals, policy)
        for workload in workloads:
            selected = select_outcomes(outcomes, workload)
            duplicates = await runner.count_duplicates(policy, workload.service)
            print(
                summarize(f"{workload.service}, {policy}", selected, duplicates).format(),
                flush=True,
            )


@SCENARIOS.register("head_of_line")
async def compare_downloads(runner: BenchmarkRunner, options: Options) -> None:
    """Compares short requests with and without downloads that saturate their share of the slots.

    Quick runs skip the deployment in which no service has both request classes.
    """
    deployment = runner.deployment
    if options.quick and not any(workload.service == "scoring" for workload in deployment.short):
        return
    await runner.use_policy(PERMITS_POLICY)
    p99: dict[str, list[float]] = {}
    for run, workloads in (
        ("quiet", deployment.short),
        ("downloads", deployment.short + deployment.downloads),
    ):
        arrivals = build_arrivals(workloads, options.seconds, options.seed, run)
        outcomes = await runner.measure(arrivals, run)
        for workload in workloads:
            duplicates = await runner.count_duplicates(run, workload.service)
            name = f"{workload.service}{workload.path if workload.download_bytes else ''}, {run}"
            row = summarize(name, select_outcomes(outcomes, workload), duplicates)
            print(row.format(), flush=True)
            if not workload.download_bytes:
                p99.setdefault(workload.service, []).append(row.percentiles_ms[1])
    for service, (baseline, with_downloads) in p99.items():
        print(
            f"\n{service}: p99 with downloads {with_downloads / baseline:.2f} times the p99 without"
        )


@SCENARIOS.register("stragglers")
async def compare_stragglers(runner: BenchmarkRunner, options: Options) -> None:
    """Compares lookups of hearings with and without servers that are temporarily ten times slower.

    Every 5 s, one of the 6 servers in turn is slow for 1.5 s, which is 1/20 of the total server
    time. The load reports do not reflect the slowdown.
    """
    candidates = [
        workload for workload in runner.deployment.workloads if workload.service == "hearing-status"
    ]
    if not candidates:
        return
    workload = replace(candidates[0], load=STRAGGLER_LOAD)
    await runner.use_policy(PERMITS_POLICY)
    rows = []
    for run in ("even", "stragglers"):
        arrivals = build_arrivals([workload], options.seconds, options.seed, run)
        before = await runner.sum_execution_counts(workload.service)
        async with asyncio.TaskGroup() as group:
            slowing = None
            if run == "stragglers":
                slowing = group.create_task(runner.slow_servers_in_turn(workload.service))
            outcomes = await runner.measure(arrivals, run)
            if slowing is not None:
                slowing.cancel()
        after = await runner.sum_execution_counts(workload.service)
        rows.append(summarize(f"{workload.service}, {run}", outcomes, 0))
        print(rows[-1].format(), flush=True)
        runs, cancelled = (after[name] - before[name] for name in ("runs", "cancelled"))
        extra = runs / len(arrivals) - 1.0
        print(f"{run}: {extra:.2%} extra requests, {cancelled} seen cancelled by the servers")
    baseline, with_stragglers = (row.percentiles_ms[2] for row in rows)
    print(f"\np99.9 with stragglers {with_stragglers / baseline:.2f} times the p99.9 without")
