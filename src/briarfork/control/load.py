"""The loads that owners of slots report, and who can use them."""

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

# A load that has not changed is passed on again after this time. Headroom counts a report less the
# older it is, and not at all from 5 s on. Summaries are few and pass more VMs on their way.
REPEAT_S = 2.5
SUMMARY_REPEAT_S = 1.0
# Owners measure once a second. Ages travel rounded, so times of one measurement differ slightly.
SAME_MEASUREMENT_S = 0.5
# Smaller changes of the share of slots in use do not change a decision.
NOTABLE_SHARE = 0.1

Key = tuple[str, str]


def find_key(load: Load) -> Key:
    """Returns what a load is about."""
    return (load.service, load.site)


@dataclass(frozen=True, slots=True)
class Regions:
    """Regions of zones and sites, as the documents in force state them."""

    of_zone: dict[str, str] = field(default_factory=dict)
    of_site: dict[str, str] = field(default_factory=dict)

    def find(self, site: str) -> str:
        """Returns the region of a site, or of the region that a summary names."""
        if site.startswith(REGION_PREFIX):
            return site.removeprefix(REGION_PREFIX)
        return self.of_site.get(site) or self.of_zone.get(site, "")

    def is_useful(self, load: Load, own_zone: str, peer_zone: str) -> bool:
        """Returns whether a peer can use a load.

        Details go to VMs of the same region; other regions get one summary for each service.
        Without regions in the configuration every load is passed on.
        """
        own, peer = self.of_zone.get(own_zone), self.of_zone.get(peer_zone)
        if load.site.startswith(REGION_PREFIX):
            return peer is None or self.find(load.site) != peer
        return own is None or peer is None or self.find(load.site) == peer


class LoadView:
    """The newest load of each service and site, and summaries of regions."""

    def __init__(self) -> None:
        self._loads: dict[Key, tuple[Load, float]] = {}
        self._passed: dict[Key, tuple[Load, float]] = {}
        self._regions: tuple[int, Regions] = (0, Regions())

    @property
    def regions(self) -> Regions:
        """Regions as read last."""
        return self._regions[1]

    def read_regions(self, timeline: Timeline, now: float) -> Regions:
        """Returns the regions of the documents in force, read again with each generation."""
        if self._regions[0] != timeline.generation:
            documents = timeline.find_documents(now).by_name
            self._regions = (timeline.generation, _read_regions(documents))
        return self._regions[1]

    def accept(self, loads: Iterable[Load], now: float) -> list[Load]:
        """Takes newer loads; returns those that others should hear of, summaries included."""
        notable = []
        touched = set()
        for load in loads:
            if self._take(load, now):
                notable.append(load)
                region = self._regions[1].find(load.site)
                if region and not load.site.startswith(REGION_PREFIX):
                    touched.add((load.service, region))
        for service, region in sorted(touched):
            summary = self._summarise(service, region, now)
            if self._take(summary, now):
                notable.append(summary)
        return notable

    def is_current(self, load: Load, now: float) -> bool:
        """Returns whether a load that a peer sent is the newest known one."""
        known = self._loads.get(find_key(load))
        return known is None or now - load.age_s >= known[1] - SAME_MEASUREMENT_S

    def age(self, loads: Iterable[Load]) -> list[Load]:
        """Returns loads with their age as of now."""
        now = time.monotonic()
        return [
            msgspec.structs.replace(load, age_s=round(now - self._loads[find_key(load)][1], 1))
            for load in loads
        ]

    def _take(self, load: Load, now: float) -> bool:
        key = find_key(load)
        measured_at = now - load.age_s
        known = self._loads.get(key)
        if known is not None and measured_at <= known[1] + SAME_MEASUREMENT_S:
            return False
        self._loads[key] = (load, measured_at)
        passed = self._passed.get(key)
        repeat_s = SUMMARY_REPEAT_S if load.site.startswith(REGION_PREFIX) else REPEAT_S
        if passed is not None and now - passed[1] < repeat_s and not _differs(load, passed[0]):
            return False
        self._passed[key] = (load, now)
        return True

    def _summarise(self, service: str, region: str, now: float) -> Load:
        regions = self._regions[1]
        parts = [
            (load, at)
            for load, at in self._loads.values()
            if load.service == service
            and not load.site.startswith(REGION_PREFIX)
            and regions.find(load.site) == region
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


def _differs(load: Load, other: Load) -> bool:
    if load.slots != other.slots or (load.waiting > 0) != (other.waiting > 0):
        return True
    change = abs(load.in_progress - other.in_progress) + abs(load.waiting - other.waiting)
    return change > NOTABLE_SHARE * max(1, load.slots)


def _read_regions(documents: dict[str, Any]) -> Regions:
    regions = documents.get("base", {}).get("regions", {})
    of_zone = {zone: name for name, region in regions.items() for zone in region.get("zones", [])}
    of_site = {
        name.removeprefix("sites/"): of_zone.get(body.get("zone", ""), "")
        for name, body in documents.items()
        if name.startswith("sites/")
    }
    return Regions(of_zone, of_site)
