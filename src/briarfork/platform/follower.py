"""Follows the store: configuration, evacuations, backend servers and other entry VMs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.store import StoreUnavailable
from briarfork.platform.names import CONFIGURATION_KEY
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.names import SERVER_PREFIX
from briarfork.platform.records import UnreadableRecord
from briarfork.platform.records import decode_configuration
from briarfork.platform.records import decode_instance
from briarfork.platform.records import decode_member
from briarfork.platform.store import HistoryGone
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog
    from briarfork.gateway.process import Gateway
    from briarfork.membership import Member
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import Item
    from briarfork.platform.store import StoreClient

# One watch on all keys costs one call for any number of changes.
EVERYTHING = ""
RETRY_S = 0.3

HANDLERS: Registry[Callable[[Follower, Item], None]] = Registry("key prefix")


class Follower:
    """Applies what the store says to the gateway; one task keeps it."""

    def __init__(
        self, settings: PlatformSettings, gateway: Gateway, store: StoreClient, events: EventLog
    ) -> None:
        self.gateway = gateway
        self.events = events
        self.members: dict[str, Member] = {}
        self.evacuated: set[str] = set()
        self.own_entry_removed = asyncio.Event()
        self._settings = settings
        self._store = store
        self._lost = False

    async def run(self) -> None:
        """Reads everything, then watches; begins again when history or the store is lost."""
        while True:
            try:
                listing = await self._store.list_all(EVERYTHING)
                self._replace(listing.items)
                self._report_back()
                revision = listing.revision
                while True:
                    changes = await self._store.watch(EVERYTHING, revision)
                    revision = changes.store_revision
                    if changes.events:
                        self._apply(changes.events)
                        await asyncio.sleep(self._settings.changes_pause_s)
            except HistoryGone:
                self.events.record(Event.HISTORY_LOST)
            except StoreUnavailable as error:
                self._report_lost(error)
                await asyncio.sleep(RETRY_S)

    async def expire(self) -> None:
        """Drops servers whose entries lapsed during an outage and did not return."""
        while True:
            await asyncio.sleep(RETRY_S)
            now = time.monotonic()
            # The time in which entries return begins when the store is back.
            if not self._lost and self.gateway.view.inventory.expire(now):
                self.gateway.refresh()

    def is_store_sound(self) -> bool:
        """Returns whether a missing entry means that its writer is gone."""
        return self._store.is_sound(time.monotonic())

    def refuse(self, error: UnreadableRecord) -> None:
        """Logs a record that is ignored."""
        self.events.record(Event.RECORD_IGNORED, fault=error.detail)

    def _replace(self, items: list[Item]) -> None:
        present = {item.key for item in items}
        inventory = self.gateway.view.inventory
        now = time.monotonic()
        for name in inventory.list_names():
            if SERVER_PREFIX + name not in present:
                inventory.remove(name, self.is_store_sound(), now)
        for name in [name for name in self.members if MEMBER_PREFIX + name not in present]:
            del self.members[name]
        self.evacuated = {zone for zone in self.evacuated if EVACUATION_PREFIX + zone in present}
        if MEMBER_PREFIX + self.gateway.settings.vm not in present:
            self.own_entry_removed.set()
        self._apply(items)

    def _apply(self, items: list[Item]) -> None:
        for item in items:
            prefix = next((name for name in HANDLERS.names() if item.key.startswith(name)), None)
            if prefix is not None:
                HANDLERS.get(prefix)(self, item)
        self.gateway.accept_members(self.members)
        self.gateway.evacuate(self.evacuated)
        self.gateway.refresh()

    def _report_lost(self, error: StoreUnavailable) -> None:
        if not self._lost:
            self._lost = True
            self.events.record(Event.STORE_LOST, reason=error.detail)

    def _report_back(self) -> None:
        if self._lost:
            self._lost = False
            self.events.record(Event.STORE_BACK)


@HANDLERS.register(CONFIGURATION_KEY)
def apply_configuration(follower: Follower, item: Item) -> None:
    """Puts a configuration in force; an unreadable or removed one changes nothing."""
    if item.deleted:
        return
    try:
        follower.gateway.accept_table(decode_configuration(item.decode()))
    except UnreadableRecord as error:
        follower.refuse(error)


@HANDLERS.register(EVACUATION_PREFIX)
def apply_evacuation(follower: Follower, item: Item) -> None:
    """Notes that a zone is evacuated or taken back."""
    zone = item.key.removeprefix(EVACUATION_PREFIX)
    if item.deleted:
        follower.evacuated.discard(zone)
    else:
        follower.evacuated.add(zone)


@HANDLERS.register(SERVER_PREFIX)
def apply_server(follower: Follower, item: Item) -> None:
    """Adds, changes or removes a backend server; an unreadable entry names none."""
    name = item.key.removeprefix(SERVER_PREFIX)
    now = time.monotonic()
    inventory = follower.gateway.view.inventory
    if item.deleted:
        inventory.remove(name, follower.is_store_sound(), now)
        return
    try:
        inventory.put(decode_instance(name, item.decode(), now))
    except UnreadableRecord as error:
        follower.refuse(error)
        inventory.remove(name, store_healthy=True, now=now)


@HANDLERS.register(MEMBER_PREFIX)
def apply_member(follower: Follower, item: Item) -> None:
    """Adds, changes or removes an entry VM."""
    name = item.key.removeprefix(MEMBER_PREFIX)
    if item.deleted:
        follower.members.pop(name, None)
        if name == follower.gateway.settings.vm:
            follower.own_entry_removed.set()
        return
    try:
        follower.members[name] = decode_member(item.decode())
    except UnreadableRecord as error:
        follower.refuse(error)
