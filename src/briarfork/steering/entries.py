"""Selection of the entry VMs in the answer to a lookup."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from briarfork.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

# Largest number of entry VMs in the answer to a lookup.
MAX_LOOKUP_ENTRIES: Final = 8
# Largest number of them from the site's own zone if others serve, so that clients survive the
# loss of the zone.
MAX_ZONE_ENTRIES: Final = 5


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry VM in the answer to a lookup."""

    vm: str
    address: str
    port: int
    zone: str


class EntryDirectory:
    """The serving entry VMs by zone.

    Each client group has its own ranking, so clients are spread evenly over the VMs of a zone.
    Rankings are cached, because ranking the VMs of a large zone takes longer than a lookup may.
    """

    def __init__(
        self, entries: Iterable[EntryAddress], regions: Mapping[str, tuple[str, ...]]
    ) -> None:
        self._zones: dict[str, list[EntryAddress]] = {}
        for entry in entries:
            self._zones.setdefault(entry.zone, []).append(entry)
        self._regions = {zone: region for region, zones in regions.items() for zone in zones}
        self._rankings: dict[tuple[str, int], tuple[EntryAddress, ...]] = {}

    def rank_entries(self, zone: str, group: int) -> tuple[EntryAddress, ...]:
        """Returns entry VMs for a client group, in order of preference.

        VMs in the given zone come first, then those in its region, then all others.
        """
        ranking = self._rankings.get((zone, group))
        if ranking is None:
            ranking = self._rankings[zone, group] = self._build_ranking(zone, group)
        return ranking

    def _build_ranking(self, zone: str, group: int) -> tuple[EntryAddress, ...]:
        local = self._rank_zone(zone, group)
        others = self._list_other_zones(zone, group)
        preferred = local[:MAX_ZONE_ENTRIES] + others
        spare = local[
            MAX_ZONE_ENTRIES : MAX_ZONE_ENTRIES + max(0, MAX_LOOKUP_ENTRIES - len(preferred))
        ]
        return tuple((local[:MAX_ZONE_ENTRIES] + spare + others)[:MAX_LOOKUP_ENTRIES])

    def _list_other_zones(self, zone: str, group: int) -> list[EntryAddress]:
        """Returns up to `MAX_LOOKUP_ENTRIES` VMs of other zones, zone by zone."""
        region = self._regions.get(zone)
        zones = sorted(
            (name for name in self._zones if name != zone),
            key=lambda name: (self._regions.get(name) != region, hash_text(f"{name}|{group}")),
        )
        others: list[EntryAddress] = []
        for name in zones:
            others += self._rank_zone(name, group)[: MAX_LOOKUP_ENTRIES - len(others)]
            if len(others) >= MAX_LOOKUP_ENTRIES:
                break
        return others

    def _rank_zone(self, zone: str, group: int) -> list[EntryAddress]:
        entries = self._zones.get(zone, [])
        return sorted(entries, key=lambda entry: hash_text(f"{entry.vm}|{group}"))
