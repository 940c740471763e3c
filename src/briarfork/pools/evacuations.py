"""The evacuated zones, also while a store that was restored from an older copy contradicts them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Mapping

# Zones whose evacuations have ended that are remembered, and twice as many until the next look at
# all zones. A site has a few zones, but the keys are written by others.
MAX_ENDED_ZONES: Final = 256


@dataclass(slots=True)
class Evacuations:
    """Which zones are evacuated, according to the keys of the store and what was known before.

    A store that is restored from an older copy begins a new era. The copy may lack an evacuation,
    which then goes on until its key has been seen in the new era and is deleted. It may also show
    one that has ended, which starts again only if its key is written anew. Revisions of the new era
    say nothing about the earlier one, except those of the items that the copy holds.

    Attributes:
        zones: The evacuated zones.
    """

    zones: set[str] = field(default_factory=set)
    # Evacuated zones whose keys have not been seen in this era.
    _unseen: set[str] = field(default_factory=set)
    # Highest revision that a copy can show for the evacuation of a zone, from all eras. The zones
    # that ended last come last.
    _last_revisions: dict[str, int] = field(default_factory=dict)
    # Revisions in this era of keys of evacuations that have ended.
    _returned: dict[str, int] = field(default_factory=dict)
    _is_copy_read: bool = True

    def begin_era(self) -> None:
        """Prepares for a listing of a store that was restored from a copy."""
        self._unseen = set(self.zones)
        self._returned.clear()
        self._is_copy_read = False

    def replace(self, shown: Mapping[str, int], revision: int) -> None:
        """Applies all evacuations that the store shows.

        Args:
            shown: Revisions of the keys by zone.
            revision: Revision of the store.
        """
        for zone in [zone for zone in self._returned if zone not in shown]:
            del self._returned[zone]
        for zone, key_revision in shown.items():
            self.show(zone, key_revision)
        for zone in self.zones - shown.keys() - self._unseen:
            # The key may have been written again since it was seen last.
            self._end(zone, revision)
        self._is_copy_read = True

    def show(self, zone: str, key_revision: int) -> None:
        """Applies an evacuation that a listing shows.

        Args:
            zone: The zone.
            key_revision: Revision of its key.
        """
        if self._is_of_copy(zone, key_revision):
            self._returned[zone] = key_revision
        else:
            self.start(zone, key_revision)

    def start(self, zone: str, revision: int) -> None:
        """Applies a key that was written in this era."""
        self.zones.add(zone)
        self._unseen.discard(zone)
        self._returned.pop(zone, None)
        self._record_revision(zone, revision)

    def end(self, zone: str, revision: int) -> None:
        """Applies the deletion of a key in this era, of which no earlier change was missed."""
        self._returned.pop(zone, None)
        self._end(zone, self._last_revisions.get(zone, revision))

    def find_unseen_revision(self) -> int | None:
        """Returns the lowest known revision of the keys not seen in this era, None if all were."""
        return min((self._last_revisions[zone] for zone in self._unseen), default=None)

    def end_unseen(self, zone: str, revision: int) -> None:
        """Applies a deletion before the first listing of this era, if it is newer than the key.

        It was made in this era, or in the earlier one after the last write that this VM knew.
        """
        if zone in self._unseen and revision > self._last_revisions[zone]:
            self._end(zone, revision)

    def list_kept(self) -> list[str]:
        """Returns the evacuated zones whose keys the restored store has not shown yet."""
        return sorted(self._unseen)

    def list_ignored(self) -> list[str]:
        """Returns the zones that the restored store shows as evacuated although that has ended."""
        return sorted(self._returned)

    def _is_of_copy(self, zone: str, key_revision: int) -> bool:
        """Returns whether the key of an evacuation that has ended comes from the copy."""
        if zone in self.zones:
            return False
        if self._is_copy_read:
            return key_revision <= self._returned.get(zone, -1)
        return key_revision <= self._last_revisions.get(zone, -1)

    def _end(self, zone: str, last_revision: int) -> None:
        self.zones.discard(zone)
        self._unseen.discard(zone)
        self._record_revision(zone, last_revision)

    def _record_revision(self, zone: str, revision: int) -> None:
        revision = max(revision, self._last_revisions.pop(zone, revision))
        self._last_revisions[zone] = revision
        if len(self._last_revisions) >= len(self.zones) + 2 * MAX_ENDED_ZONES:
            self._forget_long_ended()

    def _forget_long_ended(self) -> None:
        ended = [name for name in self._last_revisions if name not in self.zones]
        for name in ended[:-MAX_ENDED_ZONES]:
            del self._last_revisions[name]
