"""Writes timeline snapshots in the background."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.admin.reader import TimelineReader
    from briarfork.border.events import EventLog
    from briarfork.border.snapshots import SnapshotStore

# Number of generations between snapshots. Bounds startup to one snapshot plus the pages for this
# many changes and those of the retention period.
SNAPSHOT_INTERVAL = 500


class SnapshotWriter:
    """Writes a snapshot every `SNAPSHOT_INTERVAL` generations."""

    def __init__(self, reader: TimelineReader, snapshots: SnapshotStore, events: EventLog) -> None:
        self._reader = reader
        self._snapshots = snapshots
        self._events = events
        self._change_accepted = asyncio.Event()
        self._latest_generation = 0

    def notify_change(self) -> None:
        """Signals that a change was accepted and a snapshot may be due."""
        self._change_accepted.set()

    async def run(self) -> None:
        """Writes snapshots when they are due, until cancelled."""
        while True:
            await self._change_accepted.wait()
            self._change_accepted.clear()
            try:
                await self._write_if_due()
            except BriarforkError as error:
                # Retried after the next accepted change. Until then startup reads more changes.
                self._events.record(Event.SNAPSHOT_FAILED, fault=error.detail)

    async def _write_if_due(self) -> None:
        snapshot = (await self._reader.read()).snapshot
        if snapshot.generation < self._latest_generation + SNAPSHOT_INTERVAL:
            return
        # Another admin process may have written a newer snapshot.
        self._latest_generation = await self._snapshots.find_latest_generation()
        if snapshot.generation >= self._latest_generation + SNAPSHOT_INTERVAL:
            await self._snapshots.write(snapshot)
            self._latest_generation = snapshot.generation
