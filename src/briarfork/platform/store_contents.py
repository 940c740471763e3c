"""Applies what the store holds to the gateway, also when an older copy of it was restored."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from briarfork.border.busy_times import Work
from briarfork.border.events import Event
from briarfork.membership import Member
from briarfork.membership import RegisteredMembers
from briarfork.platform.listing import Listing
from briarfork.platform.names import CONFIGURATION_KEY
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.names import SERVER_PREFIX
from briarfork.pools import Evacuations
from briarfork.pools import Instance
from briarfork.pools.inventory import LAPSED_ENTRY_GRACE_S
from briarfork.registry import Registry
from briarfork.routing import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog
    from briarfork.gateway.process import Gateway
    from briarfork.platform.listing import Page
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store_entries import StoreEntry
    from briarfork.platform.store_era import StorePosition
    from briarfork.platform.store_health import StoreHealth

HANDLERS: Registry[Callable[[StoreContents, StoreEntry], None]] = Registry("key prefix")


class StoreContents:
    """What this VM knows from the store.

    A store that is restored from an older copy begins a new era. Until it holds them again or newer
    ones, this VM keeps the configuration, the evacuations, the members, and what it knows of
    servers that drain or have ended.

    Attributes:
        own_entry_removed: Set when this VM is not registered.
    """

    def __init__(
        self, settings: PlatformSettings, gateway: Gateway, health: StoreHealth, events: EventLog
    ) -> None:
        self.gateway = gateway
        self.health = health
        self.members = RegisteredMembers(settings.lease_s)
        self.evacuations = Evacuations()
        self.own_entry_removed = asyncio.Event()
        self._events = events
        self._entry_ttl_s = settings.entry_ttl_s
        # Eras of the latest listing and of the latest complete one, None before the first one, and
        # when the latest era began here.
        self._era: int | None = None
        self._listed_era: int | None = None
        self._era_began_at = -math.inf
        # Whether the store has shown this VM's configuration or a newer one in this era.
        self._has_configuration = True
        # The listing in progress, None if there is none.
        self._listing: Listing | None = None

    @property
    def is_listing(self) -> bool:
        """Whether a listing has begun and has not ended."""
        return self._listing is not None

    def is_new_era(self, era: int) -> bool:
        """Returns whether an era is not that of the latest complete listing.

        Before there is one, the pages of the first listing count.
        """
        known = self._era if self._listed_era is None else self._listed_era
        return known is not None and known != era

    def apply_page(self, page: Page) -> None:
        """Applies a page of a listing of all keys, and what the listing shows to be missing."""
        now = time.monotonic()
        if self._listing is None or page.is_first:
            self._listing = self._begin_listing(page.position, now)
        listing = self._listing
        if listing.is_first_of_era:
            # VMs that register behind the pages are only seen once the listing has ended.
            self.members.begin_era(now)
        entries = listing.add_page(page.entries)
        self._remove_missing_servers(listing.keys, page.last_key, now)
        self._show_page(entries, now)
        if page.is_last:
            self._finish_listing(listing, now)
        # The entries of the other kinds have been shown.
        shown = (EVACUATION_PREFIX, MEMBER_PREFIX)
        self._apply([entry for entry in entries if entry.prefix not in shown])
        if page.is_last and listing.is_first_of_era:
            self._log_overruled()

    def apply(self, entries: list[StoreEntry]) -> None:
        """Applies changes."""
        if self._listing is not None:
            self._listing.add_changes(entries)
        self._apply(entries)

    def _apply(self, entries: list[StoreEntry]) -> None:
        with self.gateway.busy_times.measure(Work.CHANGES):
            for entry in entries:
                HANDLERS.get(entry.prefix)(self, entry)
            self.gateway.replace_members(self.members.current)
            self.gateway.evacuate(self.evacuations.zones)
            self.gateway.refresh()
        self.gateway.log_first_readiness()

    def end_unseen_evacuations(self, entries: list[StoreEntry]) -> None:
        """Ends evacuations whose keys were deleted between a restore and the first listing."""
        for entry in entries:
            if entry.deleted and entry.prefix == EVACUATION_PREFIX:
                self.evacuations.end_unseen(entry.name, entry.revision)
        self.apply([])

    def expire(self, now: float) -> None:
        """Removes what was kept after an outage or a restore of the store, and uses what lasts.

        Args:
            now: Time, in seconds on the monotonic clock.
        """
        if self.members.expire(now):
            self.gateway.replace_members(self.members.current)
            self.gateway.refresh()
        if self.gateway.view.inventory.expire(now, self._entry_ttl_s):
            self.gateway.refresh()

    def log_if_invalid(self, entry: StoreEntry) -> None:
        """Logs that a record is ignored if it is invalid."""
        if entry.error is not None:
            self._events.record(Event.RECORD_IGNORED, fault=entry.error.detail)

    def log_held_entry(self, instance: Instance) -> None:
        """Logs that an entry older than what is known of its server is not used for now."""
        self._events.record(
            Event.ENTRY_HELD,
            server=instance.name,
            started_at_ms=instance.started_at_ms,
            sequence=instance.sequence,
            draining=instance.draining,
        )

    def record_configuration_shown(self, at: float) -> None:
        """Records that a read of the store has shown that no newer configuration exists.

        A store that was restored to an older configuration does not show that: a newer one than
        that of this VM may have been lost as well.
        """
        if self._has_configuration:
            self.gateway.view.configuration_shown_at = at

    def record_configuration(self, version: int) -> None:
        """Records the version of the configuration that the store holds."""
        if self.gateway.view.has_route_table:
            in_force = self.gateway.view.require_route_table().version
            self._has_configuration = self._has_configuration or version >= in_force

    def _begin_era(self, now: float) -> None:
        """Prepares for a listing of a store that was restored from an older copy."""
        self._era_began_at = now
        self._has_configuration = False
        self.evacuations.begin_era()
        self.members.begin_era(now)
        self.gateway.view.inventory.begin_era(now)

    def _begin_listing(self, position: StorePosition, now: float) -> Listing:
        is_first_of_era = self.is_new_era(position.era)
        if is_first_of_era and self._era != position.era:
            self._begin_era(now)
        else:
            self._record_outage()
        self._era = position.era
        return Listing(position, is_first_of_era)

    def _show_page(self, entries: list[StoreEntry], now: float) -> None:
        """Applies the evacuations and entry VMs of a page, before the listing has ended."""
        for entry in entries:
            if entry.prefix == EVACUATION_PREFIX:
                self.evacuations.show(entry.name, entry.revision)
            elif isinstance(entry.record, Member):
                self.members.show(entry.name, entry.record, now)
            elif entry.prefix == MEMBER_PREFIX:
                self.log_if_invalid(entry)

    def _finish_listing(self, listing: Listing, now: float) -> None:
        """Removes the evacuations and entry VMs that the store no longer holds."""
        self._listing = None
        self._listed_era = listing.position.era
        if MEMBER_PREFIX + self.gateway.settings.vm not in listing.keys:
            self.own_entry_removed.set()
        self.evacuations.replace(listing.evacuations, listing.position.revision)
        self.members.replace(listing.members, now)
        self.gateway.is_synchronized = True

    def _record_outage(self) -> None:
        """Gives VMs and servers that a restored store lacks the time that an outage took."""
        ended_at = self.health.find_recovery()
        if -math.inf < self._era_began_at < ended_at:
            self.members.record_outage(ended_at)
            self.gateway.view.inventory.extend_lapsed(ended_at + LAPSED_ENTRY_GRACE_S)

    def _remove_missing_servers(self, present: set[str], last_key: str, now: float) -> None:
        """Removes the servers without an entry, as far as the listing is complete."""
        inventory = self.gateway.view.inventory
        # Servers that the copy lacks write their entries again with one of their next heartbeats.
        grace_s = max(self._entry_ttl_s, LAPSED_ENTRY_GRACE_S)
        is_restored = now < self._era_began_at + grace_s
        for name in inventory.list_names():
            key = SERVER_PREFIX + name
            if key in present or key > last_key:
                continue
            if is_restored:
                inventory.remove(name, False, now, self._era_began_at, grace_s)
            else:
                inventory.remove(name, self.health.is_healthy(), now, self.health.find_recovery())

    def _log_overruled(self) -> None:
        fields = {
            "evacuations_kept": self.evacuations.list_kept(),
            "evacuations_ignored": self.evacuations.list_ignored(),
            "members_kept": self.members.list_kept(),
            "members_held": self.members.list_held(),
            "configuration_kept": not self._has_configuration,
        }
        if any(fields.values()):
            self._events.record(Event.STORE_COPY_OVERRULED, era=self._era, **fields)


@HANDLERS.register(CONFIGURATION_KEY)
def apply_configuration(contents: StoreContents, entry: StoreEntry) -> None:
    """Applies a configuration; a removed or invalid one leaves the current one in effect."""
    contents.log_if_invalid(entry)
    if isinstance(entry.record, RouteTable):
        contents.gateway.apply_route_table(entry.record)
        contents.record_configuration(entry.record.version)


@HANDLERS.register(EVACUATION_PREFIX)
def apply_evacuation(contents: StoreContents, entry: StoreEntry) -> None:
    """Starts or ends the evacuation of a zone."""
    if entry.deleted:
        contents.evacuations.end(entry.name, entry.revision)
    else:
        contents.evacuations.start(entry.name, entry.revision)


@HANDLERS.register(SERVER_PREFIX)
def apply_server(contents: StoreContents, entry: StoreEntry) -> None:
    """Adds, updates or removes a backend server; an invalid entry removes the server."""
    now = time.monotonic()
    inventory, health = contents.gateway.view.inventory, contents.health
    if entry.deleted:
        inventory.remove(entry.name, health.is_healthy(), now, health.find_recovery())
    elif isinstance(entry.record, Instance):
        if not inventory.put(entry.record, now):
            contents.log_held_entry(entry.record)
    else:
        contents.log_if_invalid(entry)
        inventory.withdraw(entry.name, now)


@HANDLERS.register(MEMBER_PREFIX)
def apply_member(contents: StoreContents, entry: StoreEntry) -> None:
    """Adds, updates or removes an entry VM."""
    if entry.deleted:
        contents.members.remove(entry.name, time.monotonic())
        if entry.name == contents.gateway.settings.vm:
            contents.own_entry_removed.set()
        return
    contents.log_if_invalid(entry)
    if isinstance(entry.record, Member):
        contents.members.put(entry.name, entry.record)
