"""Writes snapshots of the timeline to the store while changes are accepted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.admin.reader import TimelineReader
    from briarfork.border.events import EventLog
    from briarfork.border.snapshots import SnapshotStore

# A start reads one snapshot and, at a page of changes for each call, at most as many pages as
# these changes and those of the retention period fill.
SNAPSHOT_INTERVAL = 500


class SnapshotKeeper:
    """Keeps the newest snapshot in the store close to the timeline."""

    def __init__(self, reader: TimelineReader, snapshots: SnapshotStore, events: EventLog) -> None:
        self._reader = reader
        self._snapshots = snapshots
        self._events = events
        self._accepted = asyncio.Event()
        self._written = 0

    def notice_change(self) -> None:
        """Lets the keeper look whether a snapshot is due."""
        self._accepted.set()

    async def run(self) -> None:
        """Writes a snapshot whenever enough changes were accepted."""
        while True:
            await self._accepted.wait()
            self._accepted.clear()
            try:
                await self._write_due()
            except BriarforkError as error:
                # The next accepted change tries again; a start reads more changes until then.
                self._events.record(Event.SNAPSHOT_FAILED, fault=error.detail)

    async def _write_due(self) -> None:
        snapshot = (await self._reader.read()).snapshot
        if snapshot.generation < self._written + SNAPSHOT_INTERVAL:
            return
        # Another admin process may have written one.
        self._written = await self._snapshots.find_generation()
        if snapshot.generation >= self._written + SNAPSHOT_INTERVAL:
            await self._snapshots.write(snapshot)
            self._written = snapshot.generation
