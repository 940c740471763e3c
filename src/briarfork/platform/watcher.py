"""Watches the store for the configuration, evacuations, backend servers and entry VMs."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from briarfork.border.busy_times import Work
from briarfork.border.events import Event
from briarfork.border.store import StoreUnavailable
from briarfork.platform.configuration_record import decode_configuration
from briarfork.platform.currency import CurrencyCheck
from briarfork.platform.names import CONFIGURATION_KEY
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.names import SERVER_PREFIX
from briarfork.platform.records import InvalidRecord
from briarfork.platform.registration_records import decode_instance
from briarfork.platform.registration_records import decode_member
from briarfork.platform.store import HistoryUnavailable
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog
    from briarfork.gateway.process import Gateway
    from briarfork.membership import Member
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import Item
    from briarfork.platform.store import StoreClient
    from briarfork.pools import Instance

# The empty prefix matches all keys, so that one call fetches any number of changes.
ALL_KEYS = ""
RETRY_S = 0.3
# Interval at which a waiting watch is checked. Two checks and a listing fit into the time after an
# outage of the store within which a VM must be up to date.
CHECK_INTERVAL_S = 1.0

HANDLERS: Registry[Callable[[StoreWatcher, Item], None]] = Registry("key prefix")


class StoreWatcher:
    """Applies the contents of the store and its changes to the gateway."""

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
        self._is_view_current = False
        self._currency = CurrencyCheck()
        # Only then is it worth a call to know that the configuration is the current one.
        self._is_strict = settings.max_configuration_age_s != math.inf

    async def run(self) -> None:
        """Reads all keys, then watches for changes; starts over if the history or store is lost."""
        while True:
            try:
                started = time.monotonic()
                listing = await self._store.list_keys(ALL_KEYS)
                self._replace(listing.items)
                self._currency.record_listing(listing.revision, started)
                self._publish_currency()
                self._is_view_current = True
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._follow(listing.revision))
                    if self._is_strict:
                        group.create_task(self._check_currency())
            except* HistoryUnavailable:
                self.events.record(Event.HISTORY_LOST)
            except* StoreUnavailable:
                self._is_view_current = False
                await asyncio.sleep(RETRY_S)

    async def _follow(self, revision: int) -> None:
        """Applies all changes after a revision.

        Raises:
            ExceptionGroup: With HistoryUnavailable or StoreUnavailable.
        """
        while True:
            async with asyncio.TaskGroup() as group:
                watch = group.create_task(self._store.watch(ALL_KEYS, revision))
                check = group.create_task(self._check_watch(revision))
                changes = await watch
                check.cancel()
            revision = changes.store_revision
            if changes.events:
                self._apply(changes.events)
            self._currency.record_applied(revision)
            self._publish_currency()
            if changes.events:
                await asyncio.sleep(self._settings.fetch_pause_s)

    async def _check_watch(self, revision: int) -> None:
        """Checks that a watch after a revision has no changes to return.

        An outage of the store can swallow a watch and leave its connection open. The first changes
        that a check finds may still be on their way.

        Raises:
            StoreUnavailable: If the watch is lost or the store does not answer.
        """
        missed_changes = False
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            has_changes = await self._store.read_revision() > revision
            if has_changes and missed_changes:
                reason = f"the watch after revision {revision} returned no changes"
                self._store.health.record_failure(reason)
                raise StoreUnavailable(reason)
            missed_changes = has_changes

    async def _check_currency(self) -> None:
        """Reads the store's revision, so that this VM can show that its configuration is current.

        It does not depend on pauses between changes, of which a large fleet leaves none.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._currency.is_waiting:
                continue
            self._currency.begin_read(time.monotonic())
            with suppress(StoreUnavailable):
                self._currency.record_read(await self._store.read_revision(stale=False))
                self._publish_currency()

    def _publish_currency(self) -> None:
        self.gateway.view.configuration_shown_at = self._currency.shown_at

    async def expire(self) -> None:
        """Removes servers whose entries expired in an outage, and uses held entries that last."""
        while True:
            await asyncio.sleep(RETRY_S)
            now = time.monotonic()
            # The grace period for registering again starts when the store is reachable again.
            inventory = self.gateway.view.inventory
            if self._is_view_current and inventory.expire(now, self._settings.entry_ttl_s):
                self.gateway.refresh()

    def is_store_healthy(self) -> bool:
        """Returns whether a missing entry means that its owner is gone."""
        return self._store.health.is_healthy()

    def find_recovery(self) -> float:
        """Returns when the store responded again after its last outage."""
        return self._store.health.find_recovery()

    def log_ignored_record(self, error: InvalidRecord) -> None:
        """Logs that an invalid record is ignored."""
        self.events.record(Event.RECORD_IGNORED, fault=error.detail)

    def log_held_entry(self, instance: Instance) -> None:
        """Logs that an entry older than what is known of its server is not used for now."""
        self.events.record(
            Event.ENTRY_HELD,
            server=instance.name,
            started_at_ms=instance.started_at_ms,
            sequence=instance.sequence,
            draining=instance.draining,
        )

    def _replace(self, items: list[Item]) -> None:
        present = {item.key for item in items}
        inventory = self.gateway.view.inventory
        now = time.monotonic()
        for name in inventory.list_names():
            if SERVER_PREFIX + name not in present:
                inventory.remove(name, self.is_store_healthy(), now, self.find_recovery())
        for name in [name for name in self.members if MEMBER_PREFIX + name not in present]:
            del self.members[name]
        self.evacuated = {zone for zone in self.evacuated if EVACUATION_PREFIX + zone in present}
        if MEMBER_PREFIX + self.gateway.settings.vm not in present:
            self.own_entry_removed.set()
        self._apply(items)

    def _apply(self, items: list[Item]) -> None:
        with self.gateway.busy_times.measure(Work.CHANGES):
            for item in items:
                prefix = next(
                    (name for name in HANDLERS.names() if item.key.startswith(name)), None
                )
                if prefix is not None:
                    HANDLERS.get(prefix)(self, item)
            self.gateway.replace_members(self.members)
            self.gateway.evacuate(self.evacuated)
            self.gateway.refresh()


@HANDLERS.register(CONFIGURATION_KEY)
def apply_configuration(watcher: StoreWatcher, item: Item) -> None:
    """Applies a configuration; a removed or invalid one leaves the current one in effect."""
    if item.deleted:
        return
    try:
        watcher.gateway.apply_route_table(decode_configuration(item.decode()))
    except InvalidRecord as error:
        watcher.log_ignored_record(error)


@HANDLERS.register(EVACUATION_PREFIX)
def apply_evacuation(watcher: StoreWatcher, item: Item) -> None:
    """Starts or ends the evacuation of a zone."""
    zone = item.key.removeprefix(EVACUATION_PREFIX)
    if item.deleted:
        watcher.evacuated.discard(zone)
    else:
        watcher.evacuated.add(zone)


@HANDLERS.register(SERVER_PREFIX)
def apply_server(watcher: StoreWatcher, item: Item) -> None:
    """Adds, updates or removes a backend server; an invalid entry removes the server."""
    name = item.key.removeprefix(SERVER_PREFIX)
    now = time.monotonic()
    inventory = watcher.gateway.view.inventory
    if item.deleted:
        inventory.remove(name, watcher.is_store_healthy(), now, watcher.find_recovery())
        return
    try:
        instance = decode_instance(name, item.decode(), now)
    except InvalidRecord as error:
        watcher.log_ignored_record(error)
        inventory.withdraw(name, now)
        return
    if not inventory.put(instance, now):
        watcher.log_held_entry(instance)


@HANDLERS.register(MEMBER_PREFIX)
def apply_member(watcher: StoreWatcher, item: Item) -> None:
    """Adds, updates or removes an entry VM."""
    name = item.key.removeprefix(MEMBER_PREFIX)
    if item.deleted:
        watcher.members.pop(name, None)
        if name == watcher.gateway.settings.vm:
            watcher.own_entry_removed.set()
        return
    try:
        watcher.members[name] = decode_member(item.decode())
    except InvalidRecord as error:
        watcher.log_ignored_record(error)
