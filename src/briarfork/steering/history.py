"""Derives the shifts of all services from the timeline."""

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

# Covers rounding in the ramp duration, which is computed from the actual shares.
RAMP_END_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class _ServiceVersion:
    """A service's document and the drained sites, from a point in time on.

    Attributes:
        start_at: Time from which this version is in force, seconds since the epoch.
        generation: Generation of the change that led to it.
        body: Document of the service.
        body_generation: Generation of the change that last edited the document.
        edited_at: Start of that change, seconds since the epoch.
        drained: Names of the drained sites.
    """

    start_at: float
    generation: int
    body: Document
    body_generation: int
    edited_at: float
    drained: frozenset[str]


def build_shifts(timeline: Timeline, now: float) -> dict[ShiftKey, Shift]:
    """Returns the shift in force for each service and client region.

    The key with region None applies to clients of regions without weights of their own. A region
    that gets its own weights later starts from the weights that applied to it before. A drain is
    a shift as well: the share of the site falls to 0 along a ramp and under the cap.
    """
    shifts: dict[ShiftKey, Shift] = {}
    for service, versions in _list_versions(timeline, now).items():
        regions = {name for item in versions for name in item.body.get("regional_spread", {})}
        for region in (None, *sorted(regions)):
            shifts[service, region] = build_shift(
                [_build_spread_change(v, region) for v in versions], now
            )
    return shifts


def compact_timeline(timeline: Timeline, now: float) -> bool:
    """Folds old changes of a timeline, except those that shifts still depend on.

    Returns:
        Whether anything was folded.
    """
    return timeline.compact(now, find_required_generations)


def find_required_generations(timeline: Timeline, now: float) -> frozenset[int]:
    """Returns the generations whose edits `build_shifts` requires from a time on."""
    required: set[int] = set()
    first_start = now
    for versions in _list_versions(timeline, now).values():
        regions = {name for item in versions for name in item.body.get("regional_spread", {})}
        histories = [
            [_build_spread_change(version, region) for version in versions]
            for region in (None, *sorted(regions))
        ]
        for index in _select_required_versions(histories):
            version = versions[index]
            required |= {version.generation, version.body_generation}
            first_start = min(first_start, version.edited_at)
    return frozenset(required | _list_drain_generations(timeline, now, first_start))


def _select_required_versions(histories: list[list[SpreadChange]]) -> set[int]:
    """Returns the indexes of the versions that the shifts of any region depend on.

    All changes of shares after the first one are included, because a gap would look like a ramp
    that never took place.
    """
    changed_at = [_list_share_changes(changes) for changes in histories]
    first = min(
        _find_base_index(changes, own) for changes, own in zip(histories, changed_at, strict=True)
    )
    last = len(histories[0]) - 1
    return {first, last} | {i for own in changed_at for i in own if i > first}


def _list_share_changes(changes: list[SpreadChange]) -> list[int]:
    return [i for i in range(1, len(changes)) if changes[i].shares != changes[i - 1].shares]


def _find_base_index(changes: list[SpreadChange], changed_at: list[int]) -> int:
    """Returns the index of the version from which the oldest required ramp starts.

    That version is the last one before the ramp whose shares were reached in full.
    """
    settled = changes[-1].limits.settled_generation
    unsettled = [i for i in changed_at if changes[i].generation > settled]
    if not changed_at:
        return len(changes) - 1
    position = min([*unsettled, changed_at[-1]])
    while True:
        earlier = max((i for i in changed_at if i < position), default=0)
        # The first entry of a folded history is the base of the ramp after it.
        if earlier == 0 or _compute_latest_end(changes[earlier]) <= changes[position].start_at:
            return position - 1
        position = earlier


def _compute_latest_end(change: SpreadChange) -> float:
    """Returns the latest time at which the ramp of a change can end."""
    slope = change.limits.slope_percent_per_minute / SECONDS_PER_MINUTE
    return change.start_at + PERCENT_PER_SHARE / slope + RAMP_END_MARGIN_S


def _list_drain_generations(timeline: Timeline, now: float, since: float) -> set[int]:
    """Returns the generations that determine which sites are drained from `since` on."""
    required: set[int] = set()
    last_before: dict[str, int] = {}
    for change in timeline.list_effective(now):
        for name in change.edits:
            if not name.startswith(SITE_PREFIX):
                continue
            if change.start_at > since:
                required.add(change.generation)
            else:
                last_before[name] = change.generation
    return required | set(last_before.values())


def _list_versions(timeline: Timeline, now: float) -> dict[str, list[_ServiceVersion]]:
    """Returns the versions of each service in force up to `now`, in order of their start."""
    bodies: dict[str, tuple[Document, int, float]] = {}
    versions: dict[str, list[_ServiceVersion]] = {}
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
            version = _ServiceVersion(change.start_at, change.generation, *bodies[service], drained)
            history = versions.setdefault(service, [])
            if history and history[-1].start_at == change.start_at:
                history.pop()
            history.append(version)
    return versions


def _build_spread_change(version: _ServiceVersion, region: str | None) -> SpreadChange:
    """Returns the shares of a version for a region, without drained sites.

    If all sites with a weight for the region are drained, the weights of the service apply.
    """
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
