"""Follows the store and the platform's list of VMs on behalf of the control process."""

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
from briarfork.border.store import ResponseTooLarge
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.messages import ListedVm
    from briarfork.border.platform import Platform
    from briarfork.border.store import Store
    from briarfork.entry.process import EntryProcess
    from briarfork.timeline import Change

MAX_BACKOFF_S = 5.0


class Follower:
    """Forwards changes of the store and of the list of VMs while the control process wants them."""

    def __init__(self, process: EntryProcess, store: Store, platform: Platform) -> None:
        self._process = process
        self._log = ChangeLog(store)
        self._platform = platform
        self._enabled = asyncio.Event()
        self._instructions_changed = asyncio.Event()
        self._generation = 0
        self._known_vms: dict[str, ListedVm] | None = None
        self._faulty_vms: set[str] = set()
        self._reachable = True
        self._listed = True

    def set_enabled(self, enabled: bool, generation: int) -> None:
        """Starts to follow after a generation, or stops.

        A restarted control process names a lower generation and gets all later changes again.
        """
        self._generation = generation
        self._known_vms = None
        self._instructions_changed.set()
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def follow_changes(self) -> None:
        """Forwards every change that the store accepts."""
        while True:
            await self._enabled.wait()
            self._instructions_changed.clear()
            async with asyncio.TaskGroup() as group:
                reader = group.create_task(self._read_with_backoff())
                # Ends a waiting watch as soon as the control process sends new instructions.
                await self._instructions_changed.wait()
                reader.cancel()

    async def _read_with_backoff(self) -> None:
        backoff_s = 0.0
        while True:
            try:
                await self._read_and_watch()
                backoff_s = 0.0
            except BriarforkError as error:
                self._set_reachable(False, error)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s + 0.1)
                # Jitter keeps the followers of all zones from retrying in lockstep after an outage.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))

    async def follow_list(self) -> None:
        """Forwards changes of the list of VMs, and the whole list after each new instruction."""
        while True:
            await self._enabled.wait()
            try:
                listing = await self._platform.list_vms()
            except BriarforkError as error:
                self._set_listed(False, error)
            else:
                self._set_listed(True)
                self._report_faults(listing.faults)
                self._forward_list(listing.vms | self._find_unchanged(listing.faults))
            await asyncio.sleep(self._process.settings.timeouts.list_s)

    def _set_listed(self, listed: bool, error: BriarforkError | None = None) -> None:
        if listed != self._listed:
            self._listed = listed
            event = Event.LIST_BACK if listed else Event.LIST_LOST
            self._process.events.record(event, reason=error or "none")

    def _report_faults(self, faults: dict[str, str]) -> None:
        """Logs which entries are invalid when that changes, with the first one."""
        if faults.keys() != self._faulty_vms:
            self._faulty_vms = set(faults)
            for vm, fault in list(faults.items())[:1]:
                self._process.events.record(
                    Event.VM_IGNORED, member=vm, fault=fault, entries=len(faults)
                )

    def _find_unchanged(self, faults: dict[str, str]) -> dict[str, ListedVm]:
        """Returns the VMs that stay as they were, because their entries are invalid now."""
        known = self._known_vms or {}
        return {vm: known[vm] for vm in faults if vm in known}

    def _forward_list(self, vms: dict[str, ListedVm]) -> None:
        known, self._known_vms = self._known_vms, vms
        if known is None:
            for part, more in split_records(list(vms.values())):
                self._process.control.send(VmList(part, None, more))
            return
        changed = [vm for name, vm in vms.items() if known.get(name) != vm]
        removed = [name for name in known if name not in vms]
        if vms and (changed or removed):
            for part, more in split_records(changed):
                self._process.control.send(VmList(part, removed, more))

    async def _read_and_watch(self) -> None:
        """Forwards stored and new changes, until all have to be read again.

        That is so if the store was restored to an older state, or if the new changes are too long
        for one response.
        """
        revision = 0
        while True:
            page = await self._log.read_after(self._generation)
            self._set_reachable(True)
            revision = page.revision
            if not page.changes:
                break
            await self._forward_changes(page.changes)
        await self._report_generation()
        while True:
            try:
                changes, current_revision = await self._log.watch(revision)
            except ResponseTooLarge:
                self._process.events.record(Event.CHANGES_TOO_LONG)
                return
            self._set_reachable(True)
            if current_revision < revision:
                # The store was restored to an older state and counts revisions from there.
                return
            revision = current_revision
            await self._forward_changes(changes)

    async def _forward_changes(self, changes: list[Change]) -> None:
        """Sends changes batch by batch, because the send buffer of the stream is bounded."""
        for batch in split_changes(changes):
            self._process.control.send(Changes(batch))
            self._generation = max(self._generation, batch[-1].generation)
            await self._process.control.wait_until_accepted(batch[-1].generation)

    async def _report_generation(self) -> None:
        """Lets the control process compare the store with its own changes, which may be newer."""
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
