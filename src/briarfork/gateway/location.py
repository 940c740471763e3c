"""The location of a VM, and the order of availability zones by distance from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Location:
    """Availability zone and region of a VM.

    Attributes:
        regions: Region of every availability zone.

    Example:
        >>> location = Location("a", "north", {"a": "north", "b": "north", "c": "south"})
        >>> location.sort_by_distance(["c", "b", "a"])
        ['a', 'b', 'c']
    """

    zone: str
    region: str
    regions: dict[str, str]

    def sort_by_distance(self, zones: Iterable[str]) -> list[str]:
        """Returns zones, nearest first; ties are broken by a hash that differs between zones."""
        return sorted(zones, key=self._build_sort_key)

    def is_local(self, zone: str) -> bool:
        """Returns whether a zone is in the region of this VM."""
        return self.regions.get(zone) == self.region

    def _build_sort_key(self, zone: str) -> tuple[bool, bool, int]:
        return zone != self.zone, not self.is_local(zone), hash_text(f"{self.zone}|{zone}")
