"""Tells the newest entries of backend servers from old ones that were written late."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from briarfork.pools.instance import EntryPosition
    from briarfork.pools.instance import Instance

# Removed servers are remembered for this long. An owner of slots that is cut off from the store may
# grant them until then, and writes that got no response take effect within seconds.
REMOVED_SERVER_MEMORY_S: Final = 60.0
# A lost watch is noticed, and the store listed again, within this time after an entry has expired.
EXPIRY_MARGIN_S: Final = 3.0
# After a longer gap between two checks, this VM may have missed that an entry expired.
MAX_CHECK_GAP_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class RemovedServer:
    """A server without a valid entry.

    Attributes:
        at: Time of the removal, in seconds on the monotonic clock.
        position: Place of its last known entry, None if there was none.
        is_gone: Whether the entry was removed; otherwise another writer made it invalid.
    """

    at: float
    position: EntryPosition | None
    is_gone: bool


@dataclass(frozen=True, slots=True)
class HeldEntry:
    """An entry that is older than what is known of its server.

    Attributes:
        instance: The server according to the entry.
        since: Time from which the entry has to last, in seconds on the monotonic clock.
    """

    instance: Instance
    since: float


@dataclass(slots=True)
class EntryOrder:
    """Holds back entries that are older than what is known of their servers.

    A write that got no response may take effect seconds later, after newer ones, and bring back a
    server that has left. The next heartbeat of a live server replaces such an entry, and that of a
    server that has ended expires for lack of heartbeats. An entry that lasts longer is a server's
    present one: its clock was set back before a restart, or it was silent for a while. A store that
    is restored from an older copy brings back entries in the same way.
    """

    _removed: dict[str, RemovedServer] = field(default_factory=dict)
    _held: dict[str, HeldEntry] = field(default_factory=dict)
    _checked_at: float = 0.0
    _is_restored: bool = False

    def is_late(self, entry: Instance, known: Instance | None) -> bool:
        """Returns whether an entry may have been written before what is known of its server.

        Args:
            entry: The server according to the entry.
            known: The server according to its newest entry, None if it has none.
        """
        if known is not None:
            return entry.position < known.position
        removed = self._removed.get(entry.name)
        if removed is None or removed.position is None:
            return False
        if removed.is_gone:
            # Sequence numbers do not help: heartbeats without other changes are not seen.
            return entry.started_at_ms <= removed.position.started_at_ms
        return entry.position < removed.position

    def hold(self, entry: Instance, now: float) -> None:
        """Holds an entry back; a further one of the server does not restart the time."""
        held = self._held.get(entry.name)
        self._held[entry.name] = HeldEntry(entry, held.since if held else now)

    def begin_era(self, now: float) -> None:
        """Lets held entries last anew, as a restore of the store gives them time to expire."""
        self._is_restored = True
        self._restart_held(now)

    def _restart_held(self, now: float) -> None:
        self._held = {name: HeldEntry(item.instance, now) for name, item in self._held.items()}

    def release(self, name: str) -> None:
        """Forgets what was known of a server before its newest entry."""
        self._held.pop(name, None)
        self._removed.pop(name, None)

    def discard_held(self, name: str) -> None:
        """Forgets an entry that was held back and has been removed."""
        self._held.pop(name, None)

    def record_removal(self, name: str, removed: RemovedServer) -> None:
        """Remembers a server that has no valid entry any more."""
        self._removed[name] = removed

    def confirm_removal(self, name: str, now: float) -> None:
        """Remembers a server without a valid entry whose entry was removed (again)."""
        removed = self._removed.get(name)
        if removed is not None:
            self._removed[name] = replace(removed, at=now, is_gone=True)

    def is_removed(self, name: str) -> bool:
        """Returns whether a server had a valid entry a short time ago and has none now."""
        return name in self._removed

    def list_held(self) -> list[str]:
        """Returns the names of the servers whose entries are held back."""
        return list(self._held)

    def take_lasting(self, now: float, entry_ttl_s: float) -> list[Instance]:
        """Returns the held entries that have lasted, and forgets servers removed long ago.

        Args:
            now: Time, in seconds on the monotonic clock.
            entry_ttl_s: Time after which an entry without heartbeats is removed, in seconds.
        """
        if now - self._checked_at > MAX_CHECK_GAP_S:
            self._restart_held(now)
        self._checked_at = now
        oldest = now - REMOVED_SERVER_MEMORY_S
        # After a restore, a held entry that is listed again has to be recognized while it is held.
        self._removed = {
            name: item
            for name, item in self._removed.items()
            if item.at > oldest or (self._is_restored and name in self._held)
        }
        lasts_from = now - entry_ttl_s - EXPIRY_MARGIN_S
        return [item.instance for item in self._held.values() if item.since <= lasts_from]
