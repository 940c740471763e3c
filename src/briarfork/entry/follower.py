"""Follows the store and the list of VMs on behalf of the control process."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from briarfork.border.changelog import ChangeLog
from briarfork.border.events import Event
from briarfork.border.messages import Changes
from briarfork.border.messages import StoreState
from briarfork.border.messages import VmList
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.platform import Platform
    from briarfork.border.store import Store
    from briarfork.entry.process import EntryProcess
    from briarfork.timeline import Change

MAX_BACKOFF_S = 5.0


class Follower:
    """Reads the platform while the control process asks for it."""

    def __init__(self, process: EntryProcess, store: Store, platform: Platform) -> None:
        self._process = process
        self._log = ChangeLog(store)
        self._platform = platform
        self._enabled = asyncio.Event()
        self._generation = 0
        self._reachable = True

    def set_enabled(self, enabled: bool, generation: int) -> None:
        """Begins after a generation, or stops."""
        self._generation = max(self._generation, generation)
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def follow_changes(self) -> None:
        """Hands on every change that the store accepts."""
        backoff_s = 0.0
        while True:
            await self._enabled.wait()
            try:
                await self._read_and_watch()
                backoff_s = 0.0
            except BriarforkError as error:
                self._set_reachable(False, error)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s + 0.1)
                # Jitter keeps the followers of all zones from returning in step after an outage.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))

    async def follow_list(self) -> None:
        """Hands on every change of the list of VMs."""
        known: object = None
        while True:
            await self._enabled.wait()
            try:
                vms = await self._platform.list_vms()
            except BriarforkError:
                pass
            else:
                if vms != known:
                    known = vms
                    self._process.control.send(VmList(vms, time.time()))
            await asyncio.sleep(self._process.settings.timeouts.list_s)

    async def _read_and_watch(self) -> None:
        revision = 0
        while True:
            changes, revision = await self._log.read_after(self._generation)
            self._set_reachable(True)
            if not changes:
                break
            self._hand_on(changes)
        await self._report_generation()
        while self._enabled.is_set():
            changes, revision = await self._log.watch(revision)
            self._set_reachable(True)
            self._hand_on(changes)

    def _hand_on(self, changes: list[Change]) -> None:
        if changes:
            self._generation = max(self._generation, changes[-1].generation)
            self._process.control.send(Changes(changes))

    async def _report_generation(self) -> None:
        """Lets control compare the store with what it has, which may be newer."""
        generation = await self._log.find_generation(self._generation)
        self._process.control.send(StoreState(True, generation))

    def _set_reachable(self, reachable: bool, error: BriarforkError | None = None) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = Event.STORE_BACK if reachable else Event.STORE_LOST
        self._process.events.record(event, reason=error or "none")
        if not reachable:
            self._process.control.send(StoreState(False))
