"""Runs seeded soaks: real gateways as processes, faults from outside, promises checked.

Prints one line for each seed, and the broken promises. Exits with 1 if any was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.soak.callers import Crowd
from tests.soak.faults import FAULTS
from tests.soak.promises import PROMISES
from tests.soak.regressions import REGRESSIONS
from tests.soak.world import RECOVERY_S
from tests.soak.world import World

RATE = 50.0
CALLERS = 30
CALM_S = 2.0
# The recovery is over once this part of the requests of a window was served.
SERVED_SHARE = 0.95
WINDOW_S = 2.0
# Pause between the starts of two faults; they overlap.
PAUSE_S = (0.2, 2.0)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one soak.

    Attributes:
        broken: Broken promises; empty if all were kept.
    """

    seed: int
    calls: int
    served: int
    faults: list[str]
    recovered_s: float
    broken: list[str]

    def describe(self) -> str:
        state = "BROKEN" if self.broken else "kept"
        return (
            f"seed {self.seed}: {state}, {self.served} of {self.calls} requests served, "
            f"{len(self.faults)} faults, served again after {self.recovered_s:.1f} s"
        )


async def soak(seed: int, fault_s: float, work: Path, network: int) -> Outcome:
    """Runs one soak; the seed decides the faults, their order and their lengths."""
    random = Random(seed)
    happened: list[str] = []
    async with World(work, random, network) as world, asyncio.TaskGroup() as group:
        stopping = asyncio.Event()
        crowd = group.create_task(Crowd(world, Random(seed), RATE, CALLERS).run(stopping))
        await asyncio.sleep(CALM_S)
        began = time.monotonic()

        async def strike(name: str, drawn: Random) -> None:
            at = time.monotonic() - began
            detail = await FAULTS.get(name)(world, drawn)
            happened.append(f"{at:.1f} s: {name} ({detail})")

        async with asyncio.TaskGroup() as faults:
            while time.monotonic() - began < fault_s:
                name = random.choice(list(FAULTS.names()))
                faults.create_task(strike(name, Random(random.random())))
                await asyncio.sleep(random.uniform(*PAUSE_S))
        recovered_s = await wait_until_served(world)
        stopping.set()
        await crowd
        broken = [
            f"{name}: {text}"
            for name in PROMISES.names()
            for text in PROMISES.get(name)(world.ledger)
        ]
        if recovered_s > RECOVERY_S:
            broken.append(f"recovery: not served within {RECOVERY_S} s after the last fault")
        calls = world.ledger.calls.values()
        served = sum(1 for call in calls if 200 <= call.status < 300)
        return Outcome(seed, len(calls), served, sorted(happened), recovered_s, broken)


async def wait_until_served(world: World) -> float:
    """Returns how long it takes until nearly all requests of a window are served."""
    began = time.monotonic()
    since = began
    while time.monotonic() - began <= RECOVERY_S + WINDOW_S:
        await asyncio.sleep(WINDOW_S)
        calls = [call for call in world.ledger.calls.values() if call.sent_at >= since]
        ended = [c for c in calls if c.ended_at <= time.monotonic() and not c.closed_by_caller]
        served = sum(1 for call in ended if 200 <= call.status < 300)
        if ended and served >= SERVED_SHARE * len(ended):
            return since - began
        since = time.monotonic()
    return time.monotonic() - began


def run_seed(seed: int, fault_s: float, folder: Path, network: int) -> Outcome:
    """Runs one soak with its logs in a folder of its own."""
    work = folder / f"seed-{seed}"
    work.mkdir(parents=True, exist_ok=True)
    return asyncio.run(soak(seed, fault_s, work, network))


def main() -> None:
    parser = argparse.ArgumentParser(prog="tests.soak.main", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds to run")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=15.0, help="how long faults begin")
    parser.add_argument("--network", type=int, default=61, help="127.N.0.0/16 to use")
    parser.add_argument("--logs", type=Path, help="folder for the logs; default: a temporary one")
    parser.add_argument("--regressions", action="store_true", help="run the seeds that failed")
    arguments = parser.parse_args()
    folder = arguments.logs or Path(tempfile.mkdtemp(prefix="briarfork-soak-"))
    failed = False
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    for seed in REGRESSIONS if arguments.regressions else seeds:
        outcome = run_seed(seed, arguments.seconds, folder, arguments.network)
        print(outcome.describe(), flush=True)
        for line in outcome.broken[:20]:
            print(f"  {line}", flush=True)
        if outcome.broken:
            failed = True
            print("  faults: " + "; ".join(outcome.faults), flush=True)
    if failed:
        print(f"logs: {folder}")
    sys.exit(failed)


if __name__ == "__main__":
    main()
