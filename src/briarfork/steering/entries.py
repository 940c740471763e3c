"""Choice of the entry VMs that a lookup answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from briarfork.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

# An answer to a lookup names at most this many entry VMs.
MAX_ENTRIES: Final = 8
# At most this many are of the site's zone if others serve, so a client survives its loss.
MAX_ZONE_ENTRIES: Final = 5


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry VM as a lookup answers it."""

    vm: str
    address: str
    port: int
    zone: str


class EntryDirectory:
    """The serving entry VMs by zone.

    Each client group has an order of its own, so clients spread evenly over the VMs of a zone.
    Orders are kept, because ranking the VMs of a large zone takes longer than a lookup may.
    """

    def __init__(
        self, entries: Iterable[EntryAddress], regions: Mapping[str, tuple[str, ...]]
    ) -> None:
        self._zones: dict[str, list[EntryAddress]] = {}
        for entry in entries:
            self._zones.setdefault(entry.zone, []).append(entry)
        self._regions = {zone: region for region, zones in regions.items() for zone in zones}
        self._orders: dict[tuple[str, int], tuple[EntryAddress, ...]] = {}

    def order(self, zone: str, group: int) -> tuple[EntryAddress, ...]:
        """Returns entry VMs for a client group, the best first.

        VMs in the site's zone come first, then those of its region, then all others.
        """
        order = self._orders.get((zone, group))
        if order is None:
            order = self._orders[zone, group] = self._choose(zone, group)
        return order

    def _choose(self, zone: str, group: int) -> tuple[EntryAddress, ...]:
        own = self._rank(zone, group)
        others = self._list_others(zone, group)
        chosen = own[:MAX_ZONE_ENTRIES] + others
        spare = own[MAX_ZONE_ENTRIES : MAX_ZONE_ENTRIES + max(0, MAX_ENTRIES - len(chosen))]
        return tuple((own[:MAX_ZONE_ENTRIES] + spare + others)[:MAX_ENTRIES])

    def _list_others(self, zone: str, group: int) -> list[EntryAddress]:
        """Returns enough VMs of other zones, one zone after the other."""
        region = self._regions.get(zone)
        zones = sorted(
            (name for name in self._zones if name != zone),
            key=lambda name: (self._regions.get(name) != region, hash_text(f"{name}|{group}")),
        )
        others: list[EntryAddress] = []
        for name in zones:
            others += self._rank(name, group)[: MAX_ENTRIES - len(others)]
            if len(others) >= MAX_ENTRIES:
                break
        return others

    def _rank(self, zone: str, group: int) -> list[EntryAddress]:
        entries = self._zones.get(zone, [])
        return sorted(entries, key=lambda entry: hash_text(f"{entry.vm}|{group}"))
