"""Applies what the store holds to the gateway, also when an older copy of it was restored."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from briarfork.border.busy_times import Work
from briarfork.border.events import Event
from briarfork.membership import RegisteredMembers
from briarfork.platform.configuration_record import decode_configuration
from briarfork.platform.names import CONFIGURATION_KEY
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.names import SERVER_PREFIX
from briarfork.platform.records import InvalidRecord
from briarfork.platform.registration_records import decode_instance
from briarfork.platform.registration_records import decode_member
from briarfork.pools import Evacuations
from briarfork.pools.inventory import LAPSED_ENTRY_GRACE_S
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog
    from briarfork.gateway.process import Gateway
    from briarfork.membership import Member
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import Listing
    from briarfork.platform.store_health import StoreHealth
    from briarfork.platform.store_messages import Item
    from briarfork.pools import Instance

HANDLERS: Registry[Callable[[StoreContents, Item], None]] = Registry("key prefix")


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
        # Era of the latest listing, None before the first one, and when the latest era began here.
        self._era: int | None = None
        self._era_began_at = -math.inf
        # Whether the store has shown this VM's configuration or a newer one in this era.
        self._has_configuration = True

    def replace(self, listing: Listing) -> None:
        """Applies a listing of all keys."""
        now = time.monotonic()
        is_first_of_era = self._era is not None and self._era != listing.position.era
        self._era = listing.position.era
        if is_first_of_era:
            self._begin_era(now)
        else:
            self._record_outage()
        present = {item.key for item in listing.items}
        self._remove_missing_servers(present, now)
        if MEMBER_PREFIX + self.gateway.settings.vm not in present:
            self.own_entry_removed.set()
        zones = {
            item.key.removeprefix(EVACUATION_PREFIX): item.revision
            for item in listing.items
            if item.key.startswith(EVACUATION_PREFIX)
        }
        self.evacuations.replace(zones, listing.position.revision)
        self.members.replace(self._decode_members(listing.items), now)
        listed = (EVACUATION_PREFIX, MEMBER_PREFIX)
        self.apply([item for item in listing.items if not item.key.startswith(listed)])
        if is_first_of_era:
            self._log_overruled()

    def apply(self, items: list[Item]) -> None:
        """Applies changes, or items of a listing."""
        with self.gateway.busy_times.measure(Work.CHANGES):
            for item in items:
                prefix = next(
                    (name for name in HANDLERS.names() if item.key.startswith(name)), None
                )
                if prefix is not None:
                    HANDLERS.get(prefix)(self, item)
            self.gateway.replace_members(self.members.current)
            self.gateway.evacuate(self.evacuations.zones)
            self.gateway.refresh()

    def end_unseen_evacuations(self, events: list[Item]) -> None:
        """Ends evacuations whose keys were deleted between a restore and the first listing."""
        for item in events:
            if item.deleted and item.key.startswith(EVACUATION_PREFIX):
                zone = item.key.removeprefix(EVACUATION_PREFIX)
                self.evacuations.end_unseen(zone, item.revision)
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

    def log_ignored_record(self, error: InvalidRecord) -> None:
        """Logs that an invalid record is ignored."""
        self._events.record(Event.RECORD_IGNORED, fault=error.detail)

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

    def decode_member(self, item: Item) -> Member | None:
        """Returns the entry VM of an entry, None if the entry is invalid, which is logged."""
        try:
            return decode_member(item.decode())
        except InvalidRecord as error:
            self.log_ignored_record(error)
            return None

    def _begin_era(self, now: float) -> None:
        """Prepares for a listing of a store that was restored from an older copy."""
        self._era_began_at = now
        self._has_configuration = False
        self.evacuations.begin_era()
        self.members.begin_era(now)
        self.gateway.view.inventory.begin_era(now)

    def _record_outage(self) -> None:
        """Gives VMs and servers that a restored store lacks the time that an outage took."""
        ended_at = self.health.find_recovery()
        if -math.inf < self._era_began_at < ended_at:
            self.members.record_outage(ended_at)
            self.gateway.view.inventory.extend_lapsed(ended_at + LAPSED_ENTRY_GRACE_S)

    def _remove_missing_servers(self, present: set[str], now: float) -> None:
        inventory = self.gateway.view.inventory
        # Servers that the copy lacks write their entries again with one of their next heartbeats.
        grace_s = max(self._entry_ttl_s, LAPSED_ENTRY_GRACE_S)
        is_restored = now < self._era_began_at + grace_s
        for name in inventory.list_names():
            if SERVER_PREFIX + name in present:
                continue
            if is_restored:
                inventory.remove(name, False, now, self._era_began_at, grace_s)
            else:
                inventory.remove(name, self.health.is_healthy(), now, self.health.find_recovery())

    def _decode_members(self, items: list[Item]) -> dict[str, Member | None]:
        members: dict[str, Member | None] = {}
        for item in items:
            if item.key.startswith(MEMBER_PREFIX):
                name = item.key.removeprefix(MEMBER_PREFIX)
                members[name] = self.decode_member(item)
        return members

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
def apply_configuration(contents: StoreContents, item: Item) -> None:
    """Applies a configuration; a removed or invalid one leaves the current one in effect."""
    if item.deleted:
        return
    try:
        table = decode_configuration(item.decode())
    except InvalidRecord as error:
        contents.log_ignored_record(error)
        return
    contents.gateway.apply_route_table(table)
    contents.record_configuration(table.version)


@HANDLERS.register(EVACUATION_PREFIX)
def apply_evacuation(contents: StoreContents, item: Item) -> None:
    """Starts or ends the evacuation of a zone."""
    zone = item.key.removeprefix(EVACUATION_PREFIX)
    if item.deleted:
        contents.evacuations.end(zone, item.revision)
    else:
        contents.evacuations.start(zone, item.revision)


@HANDLERS.register(SERVER_PREFIX)
def apply_server(contents: StoreContents, item: Item) -> None:
    """Adds, updates or removes a backend server; an invalid entry removes the server."""
    name = item.key.removeprefix(SERVER_PREFIX)
    now = time.monotonic()
    inventory = contents.gateway.view.inventory
    if item.deleted:
        inventory.remove(name, contents.health.is_healthy(), now, contents.health.find_recovery())
        return
    try:
        instance = decode_instance(name, item.decode(), now)
    except InvalidRecord as error:
        contents.log_ignored_record(error)
        inventory.withdraw(name, now)
        return
    if not inventory.put(instance, now):
        contents.log_held_entry(instance)


@HANDLERS.register(MEMBER_PREFIX)
def apply_member(contents: StoreContents, item: Item) -> None:
    """Adds, updates or removes an entry VM."""
    name = item.key.removeprefix(MEMBER_PREFIX)
    if item.deleted:
        contents.members.remove(name, time.monotonic())
        if name == contents.gateway.settings.vm:
            contents.own_entry_removed.set()
        return
    member = contents.decode_member(item)
    if member is not None:
        contents.members.put(name, member)
