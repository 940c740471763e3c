"""A listing of the store's keys, which is read page by page while changes go on."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

from briarfork.membership import Member
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import MEMBER_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.platform.store_entries import StoreEntry
    from briarfork.platform.store_era import StorePosition

# No key comes after it.
LAST_KEY: Final = "\U0010ffff"


@dataclass(frozen=True, slots=True)
class Page:
    """Some entries of a listing, in the order of their keys.

    Attributes:
        entries: Entries that concern a gateway.
        last_key: Key up to which the listing is complete with this page.
        position: Position of the first page, after which to watch for changes.
        is_first: Whether the listing begins with this page.
        is_last: Whether the listing ends with this page.
    """

    entries: list[StoreEntry]
    last_key: str
    position: StorePosition
    is_first: bool
    is_last: bool


@dataclass(slots=True)
class Listing:
    """What has been listed so far.

    Changes that a watch returns during the listing are newer than a page that was requested before
    them, so a page does not overrule them.

    Attributes:
        position: Position of the first page.
        is_first_of_era: Whether the store was restored from an older copy before this listing.
        keys: Keys that the store holds.
        evacuations: Revisions of evacuations by zone.
        members: Entry VMs by name, None for those whose entries are invalid.
    """

    position: StorePosition
    is_first_of_era: bool
    keys: set[str] = field(default_factory=set)
    evacuations: dict[str, int] = field(default_factory=dict)
    members: dict[str, Member | None] = field(default_factory=dict)
    _changed: dict[str, int] = field(default_factory=dict)

    def add_page(self, entries: Iterable[StoreEntry]) -> list[StoreEntry]:
        """Adds the entries of a page and returns those that no change overrules."""
        current = [item for item in entries if item.revision > self._changed.get(item.key, 0)]
        for entry in current:
            self._add(entry)
        return current

    def add_changes(self, entries: Iterable[StoreEntry]) -> None:
        """Adds changes that were made during the listing."""
        for entry in entries:
            self._changed[entry.key] = entry.revision
            if not entry.deleted:
                self._add(entry)
                continue
            self.keys.discard(entry.key)
            if entry.prefix == EVACUATION_PREFIX:
                self.evacuations.pop(entry.name, None)
            elif entry.prefix == MEMBER_PREFIX:
                self.members.pop(entry.name, None)

    def _add(self, entry: StoreEntry) -> None:
        self.keys.add(entry.key)
        if entry.prefix == EVACUATION_PREFIX:
            self.evacuations[entry.name] = entry.revision
        elif entry.prefix == MEMBER_PREFIX:
            self.members[entry.name] = entry.record if isinstance(entry.record, Member) else None
