"""Runs seeded soak tests of gateway processes under injected faults and checks the invariants.

Prints one line for each seed, followed by violated invariants. Exits with 1 if there are any.
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
from typing import TYPE_CHECKING

import uvloop

from tests.soak.callers import LoadGenerator
from tests.soak.environment import RECOVERY_S
from tests.soak.environment import SoakEnvironment
from tests.soak.extra_faults import EXTRA_FAULTS
from tests.soak.extra_faults import LATE_FAULTS
from tests.soak.extra_faults import RESTORE_FAULTS
from tests.soak.faults import FAULTS
from tests.soak.invariants import INVARIANTS
from tests.soak.kept_callers import run_kept_callers
from tests.soak.ledger import FaultInterval
from tests.soak.readiness import STABLE_WINDOW_S
from tests.soak.readiness import probe_vms
from tests.soak.record_faults import RECORD_FAULTS
from tests.soak.regressions import REGRESSIONS

if TYPE_CHECKING:
    from briarfork.registry import Registry
    from tests.soak.faults import Fault
    from tests.soak.ledger import Ledger

REQUEST_RATE = 50.0
CALLERS = 30
KEPT_CALLERS = 10
FAULT_FREE_START_S = 2.0
# Recovery is complete once this share of the requests of a window is served.
SERVED_SHARE = 0.95
WINDOW_S = 2.0
USUAL, LATE, RECORDS = "usual", "late", "records"
# Faults by kind, each with the minimum and maximum time between the starts of two, which can
# overlap. The kinds are drawn apart, so that a new one does not change the others of a seed.
FAULT_KINDS: dict[str, tuple[Registry[Fault], tuple[float, float]]] = {
    USUAL: (FAULTS, (0.2, 2.0)),
    "extra": (EXTRA_FAULTS, (1.5, 4.0)),
    "restore": (RESTORE_FAULTS, (3.0, 8.0)),
    LATE: (LATE_FAULTS, (2.0, 5.0)),
    RECORDS: (RECORD_FAULTS, (2.0, 4.0)),
}
# After the last fault the VMs are in touch for some probes.
CALM_S = STABLE_WINDOW_S + 2.0
MEMORY_CHECK_INTERVAL_S = 0.02
DELAY_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of a soak.

    Attributes:
        fault_s: Time in seconds during which faults are injected.
        network: Second octet of all loopback addresses.
        scale: Number of VMs, servers and requests as a multiple of the usual ones.
        kinds: Kinds of faults that are injected. With few of them, bounds in time are checked
            without the faults that excuse most misses.
    """

    fault_s: float = 15.0
    network: int = 61
    scale: int = 1
    kinds: tuple[str, ...] = tuple(FAULT_KINDS)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one soak.

    Attributes:
        seed: Seed of the soak.
        calls: Number of requests.
        served: Number of requests with a successful response.
        faults: Injected faults with their start times.
        recovery_s: Time in seconds until requests were served again after the last fault.
        own_delay_s: Time in seconds during which the soak itself stood still.
        processor_wait_s: Longest time in seconds for which a VM had no processor.
        violations: Violated invariants; empty if all hold.
    """

    seed: int
    calls: int
    served: int
    faults: list[str]
    recovery_s: float
    own_delay_s: float
    processor_wait_s: float
    violations: list[str]

    def describe(self) -> str:
        state = "FAILED" if self.violations else "passed"
        return (
            f"seed {self.seed}: {state}, {self.served} of {self.calls} requests served, "
            f"{len(self.faults)} faults, recovered after {self.recovery_s:.1f} s, "
            f"own delay {self.own_delay_s:.1f} s, no processor for {self.processor_wait_s:.1f} s"
        )


class FaultInjector:
    """Injects faults of a soak, which can overlap.

    Attributes:
        injected: Injected faults with their start times.
    """

    def __init__(self, environment: SoakEnvironment, fault_s: float) -> None:
        self.injected: list[str] = []
        self._environment = environment
        self._started_at = time.monotonic()
        self._fault_s = fault_s

    async def run(
        self, registry: Registry[Fault], interval_s: tuple[float, float], random: Random
    ) -> None:
        """Starts faults of a registry at random intervals and waits until all have ended."""
        async with asyncio.TaskGroup() as faults:
            while time.monotonic() - self._started_at < self._fault_s:
                name = random.choice(list(registry.names()))
                fault_random = Random(random.random())
                faults.create_task(self._inject(name, registry.get(name), fault_random))
                await asyncio.sleep(random.uniform(*interval_s))

    async def _inject(self, name: str, fault: Fault, random: Random) -> None:
        offset_s = time.monotonic() - self._started_at
        detail = await fault(self._environment, random)
        self.injected.append(f"{offset_s:.1f} s: {name} ({detail})")


async def soak(seed: int, settings: SoakSettings, work_dir: Path) -> Outcome:
    """Runs one soak; the seed determines the faults, their order and their durations."""
    random = Random(seed)
    async with (
        SoakEnvironment(work_dir, random, settings.network, settings.scale) as environment,
        asyncio.TaskGroup() as group,
    ):
        watch_tasks = [
            group.create_task(record_own_delays(environment.ledger)),
            group.create_task(enforce_memory_limits(environment)),
            group.create_task(probe_vms(environment)),
        ]
        stop_event = asyncio.Event()
        load_task = group.create_task(
            LoadGenerator(
                environment, Random(seed), settings.scale * REQUEST_RATE, settings.scale * CALLERS
            ).run(stop_event)
        )
        kept_task = group.create_task(
            run_kept_callers(
                environment, Random(f"kept {seed}"), settings.scale * KEPT_CALLERS, stop_event
            )
        )
        await asyncio.sleep(FAULT_FREE_START_S)
        started_at = time.monotonic()
        injector = FaultInjector(environment, settings.fault_s)
        async with asyncio.TaskGroup() as kinds:
            for name in settings.kinds:
                draws = random if name == USUAL else Random(f"{name} {seed}")
                kinds.create_task(injector.run(*FAULT_KINDS[name], draws))
        calm_at = time.monotonic() + CALM_S
        recovery_s = await measure_recovery_s(environment)
        await asyncio.sleep(calm_at - time.monotonic())
        stop_event.set()
        await load_task
        await kept_task
        for task in watch_tasks:
            task.cancel()
        violations = [
            f"{name}: {text}"
            for name in INVARIANTS.names()
            for text in INVARIANTS.get(name)(environment.ledger)
        ]
        if recovery_s > RECOVERY_S:
            violations.append(f"recovery: not served within {RECOVERY_S} s after the last fault")
        calls = environment.ledger.calls.values()
        served = sum(1 for call in calls if 200 <= call.status < 300)
        ledger, now = environment.ledger, time.monotonic()
        waits_s = [ledger.measure_processor_wait_s(vm, started_at, now) for vm in environment.vms]
        return Outcome(
            seed=seed,
            calls=len(calls),
            served=served,
            faults=sorted(injector.injected),
            recovery_s=recovery_s,
            own_delay_s=ledger.measure_own_delay_s(started_at, now),
            processor_wait_s=max(waits_s),
            violations=violations,
        )


async def record_own_delays(ledger: Ledger) -> None:
    """Records when this process stood still, until cancelled."""
    while True:
        due = time.monotonic() + DELAY_CHECK_INTERVAL_S
        await asyncio.sleep(DELAY_CHECK_INTERVAL_S)
        now = time.monotonic()
        if now - due >= DELAY_CHECK_INTERVAL_S:
            ledger.own_delays.append(FaultInterval("own delay", due, now))


async def enforce_memory_limits(environment: SoakEnvironment) -> None:
    """Kills gateways that exceed the memory of their VMs, until cancelled."""
    while True:
        for vm in environment.vms.values():
            vm.enforce_memory_limit()
        await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)


async def measure_recovery_s(environment: SoakEnvironment) -> float:
    """Returns the time in seconds until nearly all requests of a window are served."""
    started_at = time.monotonic()
    window_start = started_at
    while time.monotonic() - started_at <= RECOVERY_S + WINDOW_S:
        await asyncio.sleep(WINDOW_S)
        calls = [call for call in environment.ledger.calls.values() if call.sent_at >= window_start]
        completed = [c for c in calls if c.ended_at <= time.monotonic() and not c.abandoned]
        served = sum(1 for call in completed if 200 <= call.status < 300)
        if completed and served >= SERVED_SHARE * len(completed):
            return window_start - started_at
        window_start = time.monotonic()
    return time.monotonic() - started_at


def run_seed(seed: int, settings: SoakSettings, logs_dir: Path) -> Outcome:
    """Runs one soak with its logs in a separate folder."""
    work_dir = logs_dir / f"seed-{seed}"
    work_dir.mkdir(parents=True, exist_ok=True)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(soak(seed, settings, work_dir))


def main() -> None:
    parser = argparse.ArgumentParser(prog="tests.soak.main", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="time during which faults are injected"
    )
    parser.add_argument(
        "--network", type=int, default=61, help="second octet of the loopback network"
    )
    parser.add_argument(
        "--scale", type=int, default=1, help="VMs, servers and requests as a multiple of the usual"
    )
    parser.add_argument("--late", action="store_true", help="inject late messages only")
    parser.add_argument(
        "--records", action="store_true", help="inject faults beside large and odd records only"
    )
    parser.add_argument("--logs", type=Path, help="folder for the logs; default: a temporary one")
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds that failed before"
    )
    arguments = parser.parse_args()
    logs_dir = arguments.logs or Path(tempfile.mkdtemp(prefix="briarfork-soak-"))
    chosen = ((LATE, arguments.late), (RECORDS, arguments.records))
    kinds = tuple(name for name, is_chosen in chosen if is_chosen) or tuple(FAULT_KINDS)
    settings = SoakSettings(arguments.seconds, arguments.network, arguments.scale, kinds)
    failed = False
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    for seed in REGRESSIONS if arguments.regressions else seeds:
        outcome = run_seed(seed, settings, logs_dir)
        print(outcome.describe(), flush=True)
        for line in outcome.violations[:20]:
            print(f"  {line}", flush=True)
        if outcome.violations:
            failed = True
            print("  faults: " + "; ".join(outcome.faults), flush=True)
    if failed:
        print(f"logs: {logs_dir}")
    sys.exit(failed)


if __name__ == "__main__":
    main()
