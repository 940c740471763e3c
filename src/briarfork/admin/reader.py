"""Reads the timeline from the store and checks it against earlier reads."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.store import StoreUnavailable
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.steering import compact_timeline
from briarfork.timeline import AppendResult
from briarfork.timeline import Timeline

if TYPE_CHECKING:
    from briarfork.border.changelog import ChangeLog
    from briarfork.border.events import EventLog
    from briarfork.border.snapshots import SnapshotStore
    from briarfork.timeline import Change

MAX_CACHE_AGE_S = 1.0


class TimelineReader:
    """Keeps an in-memory timeline in sync with the store.

    Every read starts at the last known change. This detects a store that was restored to an older
    state or has a different history before a change is appended to it.
    """

    def __init__(self, log: ChangeLog, snapshots: SnapshotStore, events: EventLog) -> None:
        self._log = log
        self._snapshots = snapshots
        self._events = events
        self._timeline = Timeline()
        self._last_read_at = -math.inf
        self._read_lock = asyncio.Lock()

    async def read(self) -> Timeline:
        """Returns the current timeline in the store.

        Raises:
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `conflict` if the store contradicts earlier reads.
        """
        if self._timeline.generation == 0:
            await self._read_snapshot()
        known = self._timeline.generation
        page = await self._log.read_after(max(0, known - 1))
        found = page.changes[0].generation if page.changes else 0
        if known and found != known:
            raise self._report_divergence(
                known, found or await self._log.find_latest_generation(known)
            )
        self._append(page.changes)
        while page.has_more:
            page = await self._log.read_after(self._timeline.generation)
            self._append(page.changes)
        compact_timeline(self._timeline, time.time())
        self._last_read_at = time.monotonic()
        return self._timeline

    async def _read_snapshot(self) -> None:
        try:
            snapshot = await self._snapshots.read()
        except StoreUnavailable:
            raise
        except BriarforkError as error:
            # The changes contain everything in the snapshot but take longer to read.
            self._events.record(Event.SNAPSHOT_FAILED, fault=error.detail)
            return
        if snapshot is not None:
            self._timeline.restore(snapshot)

    async def read_cached(self) -> Timeline:
        """Returns the timeline as read at most `MAX_CACHE_AGE_S` ago.

        The cache keeps rejected requests from adding load to the store, whatever their number.

        Raises:
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `conflict` if the store contradicts earlier reads.
        """
        async with self._read_lock:
            if time.monotonic() > self._last_read_at + MAX_CACHE_AGE_S:
                await self.read()
        return self._timeline

    def append_stored(self, change: Change) -> None:
        """Appends a change written by this process.

        A concurrent read may have appended the change, and later ones, already.
        """
        self._timeline.append(change)

    def _append(self, changes: list[Change]) -> None:
        # A concurrent request in this process may have appended the same changes.
        for change in changes:
            if self._timeline.append(change) not in (AppendResult.ADDED, AppendResult.KNOWN):
                raise self._report_divergence(self._timeline.generation, change.generation)

    def _report_divergence(self, known: int, found: int) -> BriarforkError:
        """Logs that the store contradicts earlier reads; returns the error to raise."""
        self._events.record(Event.STORE_BEHIND, store=found, own=known)
        history = "another history" if found >= known else f"only {found} generations"
        return BriarforkError(
            ErrorKind.CONFLICT,
            f"the store contradicts what was read before: expected its history to go on from "
            f"generation {known}, found {history}; nothing is accepted until the store has its "
            "full history again",
        )
