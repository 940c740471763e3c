"""Benchmark run by `make bench`; the scenarios are in a registry."""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import tempfile
import time
from pathlib import Path

from briarfork.pools import PERMITS_POLICY
from briarfork.pools import SELECTION_POLICIES
from tests.bench.arrivals import build_arrivals
from tests.bench.deployments import DEPLOYMENTS
from tests.bench.deployments import SCALE
from tests.bench.results import HEADER
from tests.bench.runner import ROOT
from tests.bench.runner import BenchmarkRunner
from tests.bench.scenarios import SCENARIOS
from tests.bench.scenarios import Options

QUICK_S = 1.0
FULL_S = 20.0
WARM_UP_S = 1.0
WARM_UP_SEED = 0


async def run(options: Options, deployments: list[str], scenarios: list[str], network: int) -> None:
    for name in deployments:
        with tempfile.TemporaryDirectory() as work:
            async with BenchmarkRunner(DEPLOYMENTS.get(name), Path(work), network) as runner:
                await warm_up(runner)
                for scenario in scenarios:
                    print(f"\n{name}, {scenario}\n\n{HEADER}", flush=True)
                    await SCENARIOS.get(scenario)(runner, options)


async def warm_up(runner: BenchmarkRunner) -> None:
    """Opens connections and streams, so that the first run does not include their setup."""
    await runner.use_policy(PERMITS_POLICY)
    arrivals = build_arrivals(runner.deployment.short, WARM_UP_S, WARM_UP_SEED, "warm-up")
    await runner.measure(arrivals, "warm-up")


def describe_commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return done.stdout.strip()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="short runs, under 60 s in total")
    parser.add_argument("--seconds", type=float, help="duration of each run in seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", type=int, default=31)
    parser.add_argument("--deployments", nargs="+", default=DEPLOYMENTS.names())
    parser.add_argument("--policies", nargs="+", default=SELECTION_POLICIES.names())
    parser.add_argument("--scenarios", nargs="+", default=SCENARIOS.names())
    arguments = parser.parse_args()
    seconds = arguments.seconds or (QUICK_S if arguments.quick else FULL_S)
    options = Options(seconds, arguments.seed, tuple(arguments.policies), arguments.quick)
    started = time.monotonic()
    print(f"commit {describe_commit()}, seed {options.seed}, {seconds:g} s a run, scale {SCALE}")
    asyncio.run(run(options, arguments.deployments, arguments.scenarios, arguments.network))
    print(f"\nfinished in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
