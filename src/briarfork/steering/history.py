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


def build_ramps(timeline: Timeline, now: float) -> dict[str, Ramp]:
    """Returns the ramp in force for each service."""
    histories: dict[str, list[SpreadChange]] = {}
    for change in timeline.list_effective(now):
        for name, body in change.edits.items():
            if not name.startswith(SERVICE_PREFIX):
                continue
            service = name.removeprefix(SERVICE_PREFIX)
            if body is None:
                histories.pop(service, None)
            else:
                histories.setdefault(service, []).append(_read(change.start_at, body))
    return {service: build_ramp(history, now) for service, history in histories.items()}


def _read(start_at: float, body: Document) -> SpreadChange:
    limits = ShiftLimits(body["shift"]["cap_rps"], body["shift"]["slope_percent_per_minute"])
    return SpreadChange(start_at, normalize(body["spread"]), limits)
