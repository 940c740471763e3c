"""Shifts of all services, worked out from the timeline."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.configuration import SERVICE_PREFIX
from briarfork.configuration import SITE_PREFIX
from briarfork.configuration import ShiftLimits
from briarfork.steering.shift import PERCENT_PER_SHARE
from briarfork.steering.shift import SECONDS_PER_MINUTE
from briarfork.steering.shift import SpreadChange
from briarfork.steering.shift import build_shift
from briarfork.steering.shift import normalize

if TYPE_CHECKING:
    from briarfork.configuration import Document
    from briarfork.steering.shift import Shift
    from briarfork.timeline import Timeline


ShiftKey = tuple[str, str | None]

# Covers the rounding of the duration that is worked out from the real shares.
SETTLED_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class _Version:
    """A service's document from a time on, with the sites that are drained then."""

    start_at: float
    generation: int
    body: Document
    body_generation: int
    body_start_at: float
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


def compact_timeline(timeline: Timeline, now: float) -> bool:
    """Folds old changes of a timeline, but not those on which shifts still depend."""
    return timeline.compact(now, find_needed)


def find_needed(timeline: Timeline, now: float) -> frozenset[int]:
    """Returns the generations whose services and drains `build_shifts` needs at later times."""
    needed: set[int] = set()
    first_start = now
    for versions in _list_versions(timeline, now).values():
        regions = {name for item in versions for name in item.body.get("regional_spread", {})}
        histories = [
            [_read(version, region) for version in versions] for region in (None, *sorted(regions))
        ]
        for index in _select_needed(histories):
            version = versions[index]
            needed |= {version.generation, version.body_generation}
            first_start = min(first_start, version.body_start_at)
    return frozenset(needed | _find_drains(timeline, now, first_start))


def _select_needed(histories: list[list[SpreadChange]]) -> set[int]:
    """Returns the positions that the shifts of all regions depend on.

    Nothing is left out between them: a gap would look like a ramp that never took place.
    """
    moving = [_list_moving(changes) for changes in histories]
    first = min(_find_base(changes, own) for changes, own in zip(histories, moving, strict=True))
    last = len(histories[0]) - 1
    return {first, last} | {i for own in moving for i in own if i > first}


def _list_moving(changes: list[SpreadChange]) -> list[int]:
    return [i for i in range(1, len(changes)) if changes[i].shares != changes[i - 1].shares]


def _find_base(changes: list[SpreadChange], moving: list[int]) -> int:
    """Returns the last position before the oldest ramp in use whose shares were reached in full."""
    settled = changes[-1].limits.settled_generation
    unsettled = [i for i in moving if changes[i].generation > settled]
    if not moving:
        return len(changes) - 1
    position = min([*unsettled, moving[-1]])
    while True:
        earlier = max((i for i in moving if i < position), default=0)
        # The first entry of a folded history is the base of the ramp that follows it.
        if earlier == 0 or _ends_by(changes[earlier]) <= changes[position].start_at:
            return position - 1
        position = earlier


def _ends_by(change: SpreadChange) -> float:
    """Returns the time by which any ramp of this slope is complete."""
    slope = change.limits.slope_percent_per_minute / SECONDS_PER_MINUTE
    return change.start_at + PERCENT_PER_SHARE / slope + SETTLED_MARGIN_S


def _find_drains(timeline: Timeline, now: float, since: float) -> set[int]:
    """Returns the generations that drained or reopened sites, from the state at a time on."""
    needed: set[int] = set()
    last_before: dict[str, int] = {}
    for change in timeline.list_effective(now):
        for name in change.edits:
            if not name.startswith(SITE_PREFIX):
                continue
            if change.start_at > since:
                needed.add(change.generation)
            else:
                last_before[name] = change.generation
    return needed | set(last_before.values())


def _list_versions(timeline: Timeline, now: float) -> dict[str, list[_Version]]:
    bodies: dict[str, tuple[Document, int, float]] = {}
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
                bodies[service] = (body, change.generation, change.start_at)
        changed = bodies if drained != before else bodies.keys() & edited.keys()
        for service in changed:
            version = _Version(change.start_at, change.generation, *bodies[service], drained)
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
