"""Measures the size and speed of steering; run with `python -m tests.steering.measure`."""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.steering import BlockTable
from briarfork.steering import Steering
from briarfork.steering import build_shifts
from briarfork.timeline import Timeline
from tests.steering.plans import SERVICE
from tests.steering.plans import build_base
from tests.steering.plans import build_service
from tests.steering.plans import build_sites
from tests.steering.plans import schedule

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 11
COUNTS = (220_000, 550_000, 1_100_000, 2_200_000)
SITES = [f"site-{number}" for number in range(1000)]
LOOKUPS = 20_000
NAME = f"services/{SERVICE}"


def build_blocks(count: int, rng: random.Random) -> list[dict[str, str]]:
    """Returns random client blocks; some are nested, and one in ten is IPv6."""
    prefixes: set[str] = set()
    while len(prefixes) < count:
        if rng.random() < 0.1:
            prefixes.add(f"2{rng.randrange(4096):03x}:{rng.randrange(65536):x}::/32")
        length = rng.choice((20, 22, 23, 24, 24))
        number = rng.getrandbits(length) << (32 - length)
        octets = ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
        prefixes.add(f"{octets}/{length}")
    return [{"prefix": p, "region": f"r{rng.randrange(3)}"} for p in sorted(prefixes)[:count]]


def median_time(work: Callable[[], object]) -> float:
    """Returns the median run time of three calls in seconds."""
    times = []
    for _ in range(3):
        started = time.perf_counter()
        work()
        times.append(time.perf_counter() - started)
    return statistics.median(times)


def measure_lookups(steering: Steering, now: float) -> float:
    """Returns the mean time of a lookup in µs."""
    rng = random.Random(SEED)
    clients = [f"{rng.randrange(224)}.{rng.randrange(256)}.1.{n % 250}" for n in range(LOOKUPS)]
    started = time.perf_counter()
    for client in clients:
        steering.assign(SERVICE, client, now)
    return (time.perf_counter() - started) / LOOKUPS * 1e6


def apply_change(timeline: Timeline, steering: Steering, wall_now: float) -> Steering:
    """Renders the timeline as an entry process does."""
    plan = timeline.find_documents(wall_now).render(steering.plan)
    return Steering(plan, build_shifts(timeline, wall_now), 0.0, steering)


@dataclass(frozen=True, slots=True)
class Measurement:
    """Results for one number of client blocks.

    Attributes:
        ranges: Number of disjoint ranges in the block table.
        table_bytes: Memory use of the table's arrays.
        build_s: Time to build the table.
        apply_ms: Time to apply a change of the configuration.
        first_us: Mean time of the first lookup of a client.
        known_us: Mean time of a repeated lookup.
        changed_us: Mean time of a lookup after a change of the weights.
    """

    ranges: int
    table_bytes: float
    build_s: float
    apply_ms: float
    first_us: float
    known_us: float
    changed_us: float


def measure_block_count(count: int) -> Measurement:
    """Returns the results for one number of client blocks."""
    rng = random.Random(SEED)
    blocks = build_blocks(count, rng)
    timeline = Timeline()
    base = build_base(SITES, 6200, client_blocks=blocks)
    service = build_service(dict.fromkeys(SITES, 1.0), 6200, 10)
    schedule(timeline, 0.0, {"base": base, NAME: service, **build_sites(*SITES)})
    changed = build_service({**dict.fromkeys(SITES, 1.0), SITES[0]: 2.0}, 6200, 10)
    schedule(timeline, 20.0, {NAME: changed})
    build_s = median_time(lambda: BlockTable((b["prefix"], b["region"]) for b in blocks))
    table = BlockTable((b["prefix"], b["region"]) for b in blocks)
    plan = timeline.find_documents(10.0).render()
    steering = Steering(plan, build_shifts(timeline, 10.0), 0.0)
    apply_s = median_time(lambda: apply_change(timeline, steering, 30.0))
    first_us, known_us = measure_lookups(steering, 10.0), measure_lookups(steering, 10.0)
    changed_us = measure_lookups(apply_change(timeline, steering, 30.0), 30.0)
    return Measurement(
        len(table),
        float(table.count_bytes()),
        build_s,
        apply_s * 1000,
        first_us,
        known_us,
        changed_us,
    )


def main() -> None:
    print(f"seed {SEED}, {len(SITES)} sites, {LOOKUPS:,} lookups, medians of 3")
    print(
        "   blocks     ranges bytes/block  build s  apply ms  first µs  known µs  after a change µs"
    )
    for count in COUNTS:
        result = measure_block_count(count)
        print(
            f"{count:>9,} {result.ranges:>10,} {result.table_bytes / count:>12.2f} "
            f"{result.build_s:>8.2f} {result.apply_ms:>9.0f} {result.first_us:>9.1f} "
            f"{result.known_us:>9.1f} {result.changed_us:>16.1f}"
        )


if __name__ == "__main__":
    main()
