"""Ramps of all services, worked out from the timeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.configuration import SERVICE_PREFIX
from briarfork.configuration import ShiftLimits
from briarfork.steering.shift import SpreadChange
from briarfork.steering.shift import build_ramp
from briarfork.steering.shift import normalize

if TYPE_CHECKING:
    from briarfork.configuration import Document
    from briarfork.steering.shift import Ramp
    from briarfork.timeline import Timeline


RampKey = tuple[str, str | None]


def build_ramps(timeline: Timeline, now: float) -> dict[RampKey, Ramp]:
    """Returns the ramp in force for each service and client region.

    The key with region None is for clients of regions without weights of their own. A region that
    gets its own weights later starts from the weights that applied to it before.
    """
    histories: dict[str, list[tuple[float, Document]]] = {}
    for change in timeline.list_effective(now):
        for name, body in change.edits.items():
            if not name.startswith(SERVICE_PREFIX):
                continue
            service = name.removeprefix(SERVICE_PREFIX)
            if body is None:
                histories.pop(service, None)
            else:
                histories.setdefault(service, []).append((change.start_at, body))
    ramps: dict[RampKey, Ramp] = {}
    for service, history in histories.items():
        regions = {region for _, body in history for region in body.get("regional_spread", {})}
        for region in (None, *sorted(regions)):
            changes = [_read(start_at, body, region) for start_at, body in history]
            ramps[service, region] = build_ramp(changes, now)
    return ramps


def _read(start_at: float, body: Document, region: str | None) -> SpreadChange:
    limits = ShiftLimits(body["shift"]["cap_rps"], body["shift"]["slope_percent_per_minute"])
    regional = body.get("regional_spread", {})
    weights = regional.get(region, body["spread"]) if region else body["spread"]
    return SpreadChange(start_at, normalize(weights), limits)
