"""Load reports from slot owners, and the rules for forwarding them."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from briarfork.border.messages import REGION_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.messages import Load
    from briarfork.timeline import Timeline

# An unchanged load is forwarded again after this time, because headroom weights reports by age and
# ignores them from 5 s on. Summaries are few and take more hops, so they are sent more often.
REFRESH_INTERVAL_S = 2.5
SUMMARY_REFRESH_INTERVAL_S = 1.0
# Owners measure once a second. Ages are rounded for sending, so copies of one measurement can
# differ slightly in time.
MEASUREMENT_TOLERANCE_S = 0.5
# Smaller changes, as a fraction of the slots, do not affect routing decisions.
SIGNIFICANT_CHANGE_RATIO = 0.1

LoadKey = tuple[str, str]


def get_load_key(load: Load) -> LoadKey:
    """Returns the service and the site of a load."""
    return (load.service, load.site)


@dataclass(frozen=True, slots=True)
class RegionMap:
    """The region of each zone and site, according to the documents in force."""

    region_by_zone: dict[str, str] = field(default_factory=dict)
    region_by_site: dict[str, str] = field(default_factory=dict)

    def find_region(self, site: str) -> str:
        """Returns the region of a site, a zone or a summary; empty if unknown."""
        if site.startswith(REGION_PREFIX):
            return site.removeprefix(REGION_PREFIX)
        return self.region_by_site.get(site) or self.region_by_zone.get(site, "")

    def is_useful(self, load: Load, own_zone: str, peer_zone: str) -> bool:
        """Returns whether a peer can use a load.

        Loads of single sites are sent within the region; other regions get one summary per
        service. If a zone has no configured region, no load is filtered out.
        """
        own, peer = self.region_by_zone.get(own_zone), self.region_by_zone.get(peer_zone)
        if load.site.startswith(REGION_PREFIX):
            return peer is None or self.find_region(load.site) != peer
        return own is None or peer is None or self.find_region(load.site) == peer


class LoadView:
    """The latest load of each service and site, and a summary of each service and region."""

    def __init__(self) -> None:
        self._loads: dict[LoadKey, tuple[Load, float]] = {}
        self._last_forwarded: dict[LoadKey, tuple[Load, float]] = {}
        self._regions: tuple[int, RegionMap] = (0, RegionMap())

    @property
    def regions(self) -> RegionMap:
        """Regions as of the last call of `read_regions`."""
        return self._regions[1]

    def read_regions(self, timeline: Timeline, now: float) -> RegionMap:
        """Returns the regions in force, which are cached until the generation changes."""
        if self._regions[0] != timeline.generation:
            documents = timeline.find_documents(now).by_name
            self._regions = (timeline.generation, _read_regions(documents))
        return self._regions[1]

    def accept(self, loads: Iterable[Load], now: float) -> list[Load]:
        """Stores loads that are newer than the known ones.

        Args:
            loads: Received loads.
            now: Monotonic time in seconds.

        Returns:
            The loads to forward, including the summaries of their regions.
        """
        to_forward = []
        updated_regions = set()
        for load in loads:
            if self._store(load, now):
                to_forward.append(load)
                region = self._regions[1].find_region(load.site)
                if region and not load.site.startswith(REGION_PREFIX):
                    updated_regions.add((load.service, region))
        for service, region in sorted(updated_regions):
            summary = self._summarise(service, region, now)
            if self._store(summary, now):
                to_forward.append(summary)
        return to_forward

    def is_current(self, load: Load, now: float) -> bool:
        """Returns whether no newer measurement than a received load is known."""
        known = self._loads.get(get_load_key(load))
        return known is None or now - load.age_s >= known[1] - MEASUREMENT_TOLERANCE_S

    def update_ages(self, loads: Iterable[Load]) -> list[Load]:
        """Returns loads with their ages as of now."""
        now = time.monotonic()
        return [
            msgspec.structs.replace(load, age_s=round(now - self._loads[get_load_key(load)][1], 1))
            for load in loads
        ]

    def _store(self, load: Load, now: float) -> bool:
        """Stores a load if it is newer than the known one; returns whether to forward it."""
        key = get_load_key(load)
        measured_at = now - load.age_s
        known = self._loads.get(key)
        if known is not None and measured_at <= known[1] + MEASUREMENT_TOLERANCE_S:
            return False
        self._loads[key] = (load, measured_at)
        forwarded = self._last_forwarded.get(key)
        refresh_interval_s = (
            SUMMARY_REFRESH_INTERVAL_S
            if load.site.startswith(REGION_PREFIX)
            else REFRESH_INTERVAL_S
        )
        if (
            forwarded is not None
            and now - forwarded[1] < refresh_interval_s
            and not _is_significant_change(load, forwarded[0])
        ):
            return False
        self._last_forwarded[key] = (load, now)
        return True

    def _summarise(self, service: str, region: str, now: float) -> Load:
        regions = self._regions[1]
        parts = [
            (load, at)
            for load, at in self._loads.values()
            if load.service == service
            and not load.site.startswith(REGION_PREFIX)
            and regions.find_region(load.site) == region
        ]
        newest = max(at for _, at in parts)
        return type(parts[0][0])(
            service=service,
            site=REGION_PREFIX + region,
            in_progress=sum(load.in_progress for load, _ in parts),
            slots=sum(load.slots for load, _ in parts),
            waiting=sum(load.waiting for load, _ in parts),
            age_s=max(0.0, now - newest),
        )


def _is_significant_change(load: Load, other: Load) -> bool:
    if load.slots != other.slots or (load.waiting > 0) != (other.waiting > 0):
        return True
    change = abs(load.in_progress - other.in_progress) + abs(load.waiting - other.waiting)
    return change > SIGNIFICANT_CHANGE_RATIO * max(1, load.slots)


def _read_regions(documents: dict[str, Any]) -> RegionMap:
    regions = documents.get("base", {}).get("regions", {})
    region_by_zone = {
        zone: name for name, region in regions.items() for zone in region.get("zones", [])
    }
    region_by_site = {
        name.removeprefix("sites/"): region_by_zone.get(body.get("zone", ""), "")
        for name, body in documents.items()
        if name.startswith("sites/")
    }
    return RegionMap(region_by_zone, region_by_site)
