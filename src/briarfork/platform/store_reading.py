"""Logs how much is read from the store, and how much memory the process has then."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.memory import read_memory

if TYPE_CHECKING:
    from briarfork.border.events import EventLog

# A response of changes from this size on is logged.
LOGGED_CHANGES_BYTES = 256 * 1024
# A long listing is also logged after each part of this size: a process may end before the last one.
LOGGED_LISTING_BYTES = 32 * 1024 * 1024
MS_PER_S = 1000


class StoreReading:
    """Counts what one listing or watch returns."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._started = time.monotonic()
        self._responses = 0
        self._keys = 0
        self._size_bytes = 0
        self._next_logged_bytes = LOGGED_LISTING_BYTES

    def add_page(self, size_bytes: int, keys: int, is_last: bool) -> None:
        """Counts a page of a listing."""
        self._add(size_bytes, keys)
        if is_last:
            self._log("listing")
        elif self._size_bytes >= self._next_logged_bytes:
            self._next_logged_bytes += LOGGED_LISTING_BYTES
            self._log("part of a listing")

    def add_changes(self, size_bytes: int, keys: int) -> None:
        """Counts the response to a watch."""
        self._add(size_bytes, keys)
        if size_bytes >= LOGGED_CHANGES_BYTES:
            self._log("changes")

    def _add(self, size_bytes: int, keys: int) -> None:
        self._responses += 1
        self._keys += keys
        self._size_bytes += size_bytes

    def _log(self, kind: str) -> None:
        memory = read_memory()
        self._events.record(
            Event.STORE_READ,
            kind=kind,
            responses=self._responses,
            keys=self._keys,
            size_bytes=self._size_bytes,
            elapsed_ms=round((time.monotonic() - self._started) * MS_PER_S),
            resident_mb=round(memory.resident_mb),
            peak_mb=round(memory.peak_mb),
        )
