"""Measures the bytes of load reports on a stream to a peer in the same or in another region."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Load
from briarfork.border.messages import encode
from briarfork.control.load import LoadView
from tests.capacity.measurement import MEASUREMENTS
from tests.capacity.measurement import Series
from tests.timeline.test_timeline import build_change
from tests.timeline.test_timeline import build_timeline

if TYPE_CHECKING:
    from pathlib import Path

# Pairs of service and site in a region; the design size is 100 sites with 4 services each.
PAIRS = (48, 200, 400)
SERVICES = 4
SLOTS = 36
SECONDS = 60
SEED = 7
MAX_BYTES_S = 10_000


def build_view(sites: int) -> LoadView:
    regions = {"north": {"zones": ["north-a"]}, "south": {"zones": ["south-a"]}}
    edits = {f"sites/s-{number:03d}": {"zone": "north-a"} for number in range(sites)}
    timeline = build_timeline()
    timeline.append(build_change(timeline, edits={"base": {"regions": regions}, **edits}))
    view = LoadView()
    view.read_regions(timeline, 1.0)
    return view


def measure_stream(pairs: int, peer_zone: str) -> float:
    """Returns the bytes per second while each load changes by up to one slot per second."""
    view, generator = build_view(pairs // SERVICES), random.Random(SEED)
    regions = view.regions
    loads_in_progress = [SLOTS // 2] * pairs
    sent = 0
    for second in range(SECONDS):
        loads_in_progress = [
            min(SLOTS, max(0, in_progress + generator.randint(-1, 1)))
            for in_progress in loads_in_progress
        ]
        loads = [
            Load(f"service-{n % SERVICES}", f"s-{n // SERVICES:03d}", in_progress, SLOTS, 0)
            for n, in_progress in enumerate(loads_in_progress)
        ]
        updates = [
            load
            for load in view.accept(loads, float(second))
            if regions.is_useful(load, "north-a", peer_zone)
        ]
        sent += len(encode(Heartbeat(load=updates))) - len(encode(Heartbeat()))
    return sent / SECONDS


@MEASUREMENTS.register("load")
async def measure_load(_: Path) -> list[Series]:
    series = []
    for quantity, zone in (("own region", "north-a"), ("other region", "south-a")):
        points = tuple((float(pairs), measure_stream(pairs, zone)) for pairs in PAIRS)
        name = f"loads on one stream, {quantity}"
        series.append(Series(name, "B/s", "pairs of service and site", points, 400, MAX_BYTES_S))
    return series
