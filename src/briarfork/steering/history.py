"""Shifts of all services, worked out from the timeline."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.configuration import SERVICE_PREFIX
from briarfork.configuration import SITE_PREFIX
from briarfork.configuration import ShiftLimits
from briarfork.steering.shift import SpreadChange
from briarfork.steering.shift import build_shift
from briarfork.steering.shift import normalize

if TYPE_CHECKING:
    from briarfork.configuration import Document
    from briarfork.steering.shift import Shift
    from briarfork.timeline import Timeline


ShiftKey = tuple[str, str | None]


@dataclass(frozen=True, slots=True)
class _Version:
    """A service's document from a time on, with the sites that are drained then."""

    start_at: float
    generation: int
    body: Document
    drained: frozenset[str]


def build_shifts(timeline: Timeline, now: float) -> dict[ShiftKey, Shift]:
    """Returns the shift in force for each service and client region.

    The key with region None is for clients of regions without weights of their own. A region that
    gets its own weights later starts from the weights that applied to it before. A drain is a
    shift like any other: the site's share goes to 0 along a ramp and under the cap.
    """
    shifts: dict[ShiftKey, Shift] = {}
    for service, versions in _list_versions(timeline, now).items():
        regions = {name for item in versions for name in item.body.get("regional_spread", {})}
        for region in (None, *sorted(regions)):
            shifts[service, region] = build_shift([_read(v, region) for v in versions], now)
    return shifts


def _list_versions(timeline: Timeline, now: float) -> dict[str, list[_Version]]:
    bodies: dict[str, Document] = {}
    versions: dict[str, list[_Version]] = {}
    drained: frozenset[str] = frozenset()
    for change in timeline.list_effective(now):
        edited = {}
        before = drained
        for name, body in change.edits.items():
            if name.startswith(SERVICE_PREFIX):
                edited[name.removeprefix(SERVICE_PREFIX)] = body
            elif name.startswith(SITE_PREFIX):
                site = frozenset({name.removeprefix(SITE_PREFIX)})
                out = body is not None and body.get("drain", False)
                drained = drained | site if out else drained - site
        for service, body in edited.items():
            if body is None:
                bodies.pop(service, None)
                versions.pop(service, None)
            else:
                bodies[service] = body
        changed = bodies if drained != before else bodies.keys() & edited.keys()
        for service in changed:
            version = _Version(change.start_at, change.generation, bodies[service], drained)
            history = versions.setdefault(service, [])
            if history and history[-1].start_at == change.start_at:
                history.pop()
            history.append(version)
    return versions


def _read(version: _Version, region: str | None) -> SpreadChange:
    body = version.body
    limits = ShiftLimits(**body["shift"])
    weights = body["spread"]
    regional = body.get("regional_spread", {}).get(region)
    for candidate in (regional, body["spread"]):
        kept = {s: w for s, w in (candidate or {}).items() if s not in version.drained}
        if any(weight > 0 for weight in kept.values()):
            weights = kept
            break
    return SpreadChange(version.start_at, normalize(weights), limits, version.generation)
