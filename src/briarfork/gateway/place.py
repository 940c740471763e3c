"""Where a VM is, and the order of zones as seen from there."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Place:
    """Availability zone and region of a VM.

    Attributes:
        regions: Region of every availability zone.

    Example:
        >>> place = Place("a", "north", {"a": "north", "b": "north", "c": "south"})
        >>> place.order(["c", "b", "a"])
        ['a', 'b', 'c']
    """

    zone: str
    region: str
    regions: dict[str, str]

    def order(self, zones: Iterable[str]) -> list[str]:
        """Returns zones by distance; equally distant ones differ in order between zones."""
        return sorted(zones, key=self._rank)

    def is_local(self, zone: str) -> bool:
        """Returns whether a zone is in the region of this VM."""
        return self.regions.get(zone) == self.region

    def _rank(self, zone: str) -> tuple[bool, bool, int]:
        return zone != self.zone, not self.is_local(zone), hash_text(f"{self.zone}|{zone}")
