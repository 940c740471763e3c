"""Counts and logs how much is read from the store, and how much memory the process has then."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum
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


class ReadingKind(Enum):
    """Kinds of readings of the store."""

    LISTING = "listing"
    CHANGES = "changes"


@dataclass(slots=True)
class ReadingTotals:
    """All readings of one kind.

    Attributes:
        responses: Number of responses.
        keys: Number of keys in them.
        size_bytes: Size of their bodies.
        elapsed_s: Time of their calls in seconds; without the wait for changes.
    """

    responses: int = 0
    keys: int = 0
    size_bytes: int = 0
    elapsed_s: float = 0.0

    def add(self, size_bytes: int, keys: int, elapsed_s: float) -> None:
        """Adds a response."""
        self.responses += 1
        self.keys += keys
        self.size_bytes += size_bytes
        self.elapsed_s += elapsed_s


class StoreReading:
    """Counts what one listing or watch returns."""

    def __init__(self, events: EventLog, totals: ReadingTotals) -> None:
        """Creates a reading without responses.

        Args:
            events: Log for large readings.
            totals: All readings of this kind, to which the responses are added.
        """
        self._events = events
        self._totals = totals
        self._started = time.monotonic()
        self._own = ReadingTotals()
        self._next_logged_bytes = LOGGED_LISTING_BYTES

    def add_page(self, size_bytes: int, keys: int, elapsed_s: float, is_last: bool) -> None:
        """Counts a page of a listing."""
        self._add(size_bytes, keys, elapsed_s)
        if is_last:
            self._log("listing")
        elif self._own.size_bytes >= self._next_logged_bytes:
            self._next_logged_bytes += LOGGED_LISTING_BYTES
            self._log("part of a listing")

    def add_changes(self, size_bytes: int, keys: int, elapsed_s: float) -> None:
        """Counts the response to a watch."""
        self._add(size_bytes, keys, elapsed_s)
        if size_bytes >= LOGGED_CHANGES_BYTES:
            self._log("changes")

    def _add(self, size_bytes: int, keys: int, elapsed_s: float) -> None:
        for totals in (self._own, self._totals):
            totals.add(size_bytes, keys, elapsed_s)

    def _log(self, kind: str) -> None:
        memory = read_memory()
        self._events.record(
            Event.STORE_READ,
            kind=kind,
            responses=self._own.responses,
            keys=self._own.keys,
            size_bytes=self._own.size_bytes,
            elapsed_ms=round((time.monotonic() - self._started) * MS_PER_S),
            resident_mb=round(memory.resident_mb),
            peak_mb=round(memory.peak_mb),
        )
