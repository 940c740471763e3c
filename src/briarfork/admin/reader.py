"""The timeline as the store has it, checked against all that was read before."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from briarfork.border.changelog import READ_LIMIT
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

RECENT_S = 1.0


class TimelineReader:
    """Keeps a timeline up to date with the store.

    Every read begins with the last change that is known, so a store that was restored to an older
    state or holds another history is noticed before anything is built on it.
    """

    def __init__(self, log: ChangeLog, snapshots: SnapshotStore, events: EventLog) -> None:
        self._log = log
        self._snapshots = snapshots
        self._events = events
        self._timeline = Timeline()
        self._read_at = -math.inf
        self._reading = asyncio.Lock()

    async def read(self) -> Timeline:
        """Returns the timeline as the store has it now.

        Raises:
            StoreUnavailable: If the store does not answer.
            BriarforkError: With kind `conflict` if the store contradicts what was read before.
        """
        if self._timeline.generation == 0:
            await self._read_snapshot()
        while True:
            known = self._timeline.generation
            changes, _ = await self._log.read_after(max(0, known - 1))
            found = changes[0].generation if changes else 0
            if known and found != known:
                raise self._refuse(known, found or await self._log.find_generation(known))
            self._append(changes)
            if len(changes) < READ_LIMIT:
                compact_timeline(self._timeline, time.time())
                self._read_at = time.monotonic()
                return self._timeline

    async def _read_snapshot(self) -> None:
        try:
            snapshot = await self._snapshots.read()
        except StoreUnavailable:
            raise
        except BriarforkError as error:
            # The changes hold all that a snapshot does; reading them takes longer.
            self._events.record(Event.SNAPSHOT_FAILED, fault=error.detail)
            return
        if snapshot is not None:
            self._timeline.restore(snapshot)

    async def read_recent(self) -> Timeline:
        """Returns the timeline as of at most a second ago.

        Requests that are refused then cost the store nothing, however many there are.

        Raises:
            StoreUnavailable: If the store does not answer.
            BriarforkError: With kind `conflict` if the store contradicts what was read before.
        """
        async with self._reading:
            if time.monotonic() > self._read_at + RECENT_S:
                await self.read()
        return self._timeline

    def accept(self, change: Change) -> None:
        """Remembers a change that this process has written.

        A read that was under way during the write may have brought it, and others after it.
        """
        self._timeline.append(change)

    def _append(self, changes: list[Change]) -> None:
        # Another request of this process may have appended the same changes during the read.
        for change in changes:
            if self._timeline.append(change) not in (AppendResult.ADDED, AppendResult.KNOWN):
                raise self._refuse(self._timeline.generation, change.generation)

    def _refuse(self, known: int, found: int) -> BriarforkError:
        self._events.record(Event.STORE_BEHIND, store=found, own=known)
        history = "another history" if found >= known else f"only {found} generations"
        return BriarforkError(
            ErrorKind.CONFLICT,
            f"the store contradicts what was read before: expected its history to go on from "
            f"generation {known}, found {history}; nothing is accepted until the store has its "
            "full history again",
        )
