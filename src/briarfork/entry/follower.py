"""Follows the store and the list of VMs on behalf of the control process."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from briarfork.border.changelog import ChangeLog
from briarfork.border.events import Event
from briarfork.border.messages import Changes
from briarfork.border.messages import StoreState
from briarfork.border.messages import VmList
from briarfork.border.messages import split_changes
from briarfork.border.messages import split_records
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.messages import ListedVm
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
        self._asked = asyncio.Event()
        self._generation = 0
        self._listed: dict[str, ListedVm] | None = None
        self._reachable = True

    def set_enabled(self, enabled: bool, generation: int) -> None:
        """Begins after a generation, or stops.

        A control process that restarted names a lower generation and is sent all after it again.
        """
        self._generation = generation
        self._listed = None
        self._asked.set()
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def follow_changes(self) -> None:
        """Hands on every change that the store accepts."""
        while True:
            await self._enabled.wait()
            self._asked.clear()
            async with asyncio.TaskGroup() as group:
                reading = group.create_task(self._keep_reading())
                # A waiting watch ends at once when control asks for something else.
                await self._asked.wait()
                reading.cancel()

    async def _keep_reading(self) -> None:
        backoff_s = 0.0
        while True:
            try:
                await self._read_and_watch()
                backoff_s = 0.0
            except BriarforkError as error:
                self._set_reachable(False, error)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s + 0.1)
                # Jitter keeps the followers of all zones from returning in step after an outage.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))

    async def follow_list(self) -> None:
        """Hands on every change of the list of VMs, the whole list after each request."""
        while True:
            await self._enabled.wait()
            try:
                listed = {vm.vm: vm for vm in await self._platform.list_vms()}
            except BriarforkError:
                pass
            else:
                self._hand_on_list(listed)
            await asyncio.sleep(self._process.settings.timeouts.list_s)

    def _hand_on_list(self, listed: dict[str, ListedVm]) -> None:
        known, self._listed = self._listed, listed
        if known is None:
            for part, more in split_records(list(listed.values())):
                self._process.control.send(VmList(part, None, more))
            return
        changed = [vm for name, vm in listed.items() if known.get(name) != vm]
        removed = [name for name in known if name not in listed]
        if listed and (changed or removed):
            for part, more in split_records(changed):
                self._process.control.send(VmList(part, removed, more))

    async def _read_and_watch(self) -> None:
        """Reads what is new and waits for more, until the store turns out to be another state."""
        revision = 0
        while True:
            changes, revision = await self._log.read_after(self._generation)
            self._set_reachable(True)
            if not changes:
                break
            self._hand_on(changes)
        await self._report_generation()
        while True:
            changes, found = await self._log.watch(revision)
            self._set_reachable(True)
            if found < revision:
                # The store was restored to an older state, whose revisions count from there.
                return
            revision = found
            self._hand_on(changes)

    def _hand_on(self, changes: list[Change]) -> None:
        if changes:
            self._generation = max(self._generation, changes[-1].generation)
            for batch in split_changes(changes):
                self._process.control.send(Changes(batch))

    async def _report_generation(self) -> None:
        """Lets control compare the store with what it has, which may be newer."""
        expected = self._generation
        generation = await self._log.find_latest_generation(expected)
        self._process.control.send(StoreState(True, generation, expected))

    def _set_reachable(self, reachable: bool, error: BriarforkError | None = None) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = Event.STORE_BACK if reachable else Event.STORE_LOST
        self._process.events.record(event, reason=error or "none")
        if not reachable:
            self._process.control.send(StoreState(False))
