"""Builders for small configurations and timelines."""

from __future__ import annotations

from typing import Any

from briarfork.steering import Steering
from briarfork.steering import build_shifts
from briarfork.timeline import Change
from briarfork.timeline import Timeline

SERVICE = "results"
CLIENTS = [f"10.{number % 3}.{number // 250}.{number % 250}" for number in range(3000)]


def build_base(sites: list[str], entry_vms: int, **fields: Any) -> dict[str, Any]:
    regions: dict[str, Any] = {region: {"zones": []} for region in ("r0", "r1", "r2")}
    for number, site in enumerate(sites):
        regions[f"r{number % 3}"]["zones"].append(site)
    base = {
        "entry_vms": entry_vms,
        "lookup_ttl_s": 5,
        "regions": regions,
        "client_blocks": [{"prefix": f"10.{n}.0.0/16", "region": f"r{n}"} for n in range(3)],
    }
    return {**base, **fields}


def build_service(spread: dict[str, float], cap: float, slope: float, **fields: Any) -> Any:
    service = {
        "idempotent": True,
        "request_class": "short",
        "deadline_ms": 1000,
        "slots": 3,
        "connections": 10,
        "spread": spread,
        "shift": {"cap_rps": cap, "slope_percent_per_minute": slope},
    }
    return {**service, **fields}


def build_sites(*sites: str, **fields: Any) -> dict[str, Any]:
    return {f"sites/{site}": {"site": site, "zone": site, **fields} for site in sites}


def schedule(timeline: Timeline, start_at: float, edits: dict[str, Any]) -> None:
    generation = timeline.generation + 1
    previous_hash = timeline.last_hash
    change = Change(
        generation, f"c{generation}", "a", "-", "r", None, 0.0, start_at, edits, None, previous_hash
    )
    timeline.append(change)


def render(
    timeline: Timeline, wall_now: float, now: float, previous: Steering | None = None
) -> Steering:
    plan = timeline.find_documents(wall_now).render()
    return Steering(plan, build_shifts(timeline, wall_now), now, previous)
