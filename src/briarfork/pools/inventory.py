"""Inventory of the registered backend servers and of those that accept new requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

from briarfork.pools.entry_order import EntryOrder
from briarfork.pools.entry_order import RemovedServer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briarfork.pools.instance import Instance
    from briarfork.pools.server import ServerAddress
    from briarfork.pools.server_report import ServerReport

# Entries that expired during an outage of the store are registered again within this time after
# the outage.
LAPSED_ENTRY_GRACE_S: Final = 2.2
# A limit ends with the first response that does not name it. A VM that sends the server nothing
# does not see that, so it forgets the limit after this time.
LIMIT_MEMORY_S: Final = 60.0
# A new owner of slots hears of a limit within this time, or from the server itself. Later, the
# owner knows better than a VM that was told earlier.
LIMIT_NEWS_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A limit that a server has named to this VM.

    Attributes:
        per_s: Requests per second that it accepts from all VMs together.
        named_at: Time at which it last named the limit, in seconds on the monotonic clock.
    """

    per_s: float
    named_at: float


@dataclass(slots=True)
class Inventory:
    """All registered servers.

    A server whose entry disappears is removed at once if the store is healthy. Shortly after an
    outage of the store the entry may only have expired, so the server is kept for a grace period
    in which it can register again.
    """

    _instances: dict[str, Instance] = field(default_factory=dict)
    # Names of the servers by service and zone, and the usable ones, which are collected on demand.
    _names: dict[str, dict[str, dict[str, None]]] = field(default_factory=dict)
    _usable: dict[tuple[str, str], list[Instance]] = field(default_factory=dict)
    _lapsed_until: dict[str, float] = field(default_factory=dict)
    _order: EntryOrder = field(default_factory=EntryOrder)
    _evacuated_zones: set[str] = field(default_factory=set)
    # Servers that said that they leave, with their start times as far as these are known.
    _leaving: dict[str, int | None] = field(default_factory=dict)
    _limits: dict[str, NamedLimit] = field(default_factory=dict)
    _paused_until: dict[str, float] = field(default_factory=dict)
    _zone_cold_until: dict[str, float] = field(default_factory=dict)

    def put(self, instance: Instance, now: float) -> bool:
        """Adds or replaces a server, unless its entry is older than what is known of it.

        Args:
            instance: The server according to its entry.
            now: Time, in seconds on the monotonic clock.

        Returns:
            Whether the entry is used. Otherwise it is held back.
        """
        if self._order.is_late(instance, self._instances.get(instance.name)):
            self._order.hold(instance, now)
            return False
        self._replace(instance)
        return True

    def _replace(self, instance: Instance) -> None:
        earlier = self._instances.get(instance.name)
        if earlier is not None and earlier.started_at_ms != instance.started_at_ms:
            self._forget_limits(instance.name)
        self._unlist(instance.name)
        self._update_leaving(instance)
        self._instances[instance.name] = instance
        zones = self._names.setdefault(instance.service, {})
        zones.setdefault(instance.zone, {})[instance.name] = None
        self._usable.pop((instance.service, instance.zone), None)
        self._lapsed_until.pop(instance.name, None)
        self._order.release(instance.name)

    def begin_era(self, now: float) -> None:
        """Prepares for entries of a store that was restored from an older copy.

        Args:
            now: Time, in seconds on the monotonic clock.
        """
        self._order.begin_era(now)
        # Servers that the copy lacks get a grace period of their own.
        self._lapsed_until.clear()

    def extend_lapsed(self, until: float) -> None:
        """Keeps servers whose entries have disappeared for longer, in which they can register.

        Args:
            until: Earliest end of their grace periods, in seconds on the monotonic clock.
        """
        self._lapsed_until = {name: max(end, until) for name, end in self._lapsed_until.items()}

    def remove(
        self,
        name: str,
        store_healthy: bool,
        now: float,
        recovered_at: float,
        grace_s: float = LAPSED_ENTRY_GRACE_S,
    ) -> None:
        """Removes a server whose entry has disappeared.

        Args:
            name: Name of the server.
            store_healthy: Whether the store had no recent outage; otherwise the server is kept for
                a grace period, which starts at the end of the outage.
            now: Time, in seconds on the monotonic clock.
            recovered_at: Time at which the last outage ended.
            grace_s: Length of the grace period, in seconds.
        """
        self._order.discard_held(name)
        if name in self._instances and not store_healthy:
            self._lapsed_until.setdefault(name, recovered_at + grace_s)
        elif name in self._instances:
            self._delete(name, now)
        elif store_healthy:
            self._order.confirm_removal(name, now)

    def withdraw(self, name: str, now: float) -> None:
        """Removes a server whose entry another writer has made invalid.

        Its next heartbeat brings it back.
        """
        self._order.discard_held(name)
        if name in self._instances:
            self._delete(name, now, is_gone=False)

    def list_names(self) -> list[str]:
        """Returns the names of all servers that have an entry."""
        return list({**self._instances, **dict.fromkeys(self._order.list_held())})

    def expire(self, now: float, entry_ttl_s: float) -> bool:
        """Removes servers whose grace period is over, and uses held entries that have lasted.

        Args:
            now: Time, in seconds on the monotonic clock.
            entry_ttl_s: Time after which an entry without heartbeats is removed, in seconds.

        Returns:
            Whether there were any.
        """
        expired = [name for name, until in self._lapsed_until.items() if until <= now]
        for name in expired:
            self._delete(name, now)
        lasting = self._order.take_lasting(now, entry_ttl_s)
        for instance in lasting:
            self._replace(instance)
        for name in [name for name in self._leaving if not self._is_known(name)]:
            del self._leaving[name]
        return bool(expired or lasting)

    def has_left(self, server: ServerAddress) -> bool:
        """Returns whether a server is known to accept no new requests at this address.

        A server that was never listed here may be new, so it counts as present.
        """
        if server.name in self._leaving:
            return True
        instance = self._instances.get(server.name)
        if instance is None:
            return self._order.is_removed(server.name)
        has_moved = (instance.address, instance.port) != (server.address, server.port)
        return has_moved or not self._is_usable(instance)

    def record_report(self, name: str, report: ServerReport, now: float) -> None:
        """Records what a server has said to this VM.

        Args:
            name: Name of the server.
            report: What it said with a response.
            now: Time, in seconds on the monotonic clock.
        """
        if report.pause_s > 0.0:
            self._paused_until[name] = max(self._paused_until.get(name, 0.0), now + report.pause_s)
        if report.is_leaving and name not in self._leaving:
            instance = self._instances.get(name)
            self._leaving[name] = instance.started_at_ms if instance else None
            self._discard_usable(name)
            if instance is None and not self._order.is_removed(name):
                self._order.record_removal(name, RemovedServer(now, None, is_gone=True))
        if report.limit_per_s == math.inf:
            self._limits.pop(name, None)
        elif report.limit_per_s is not None and name in self._instances:
            self._limits[name] = NamedLimit(report.limit_per_s, now)

    def find_limit(self, name: str, now: float) -> float:
        """Returns the requests per second that a server accepts, infinite if it names no limit."""
        limit = self._limits.get(name)
        is_known = limit is not None and now - limit.named_at <= LIMIT_MEMORY_S
        return limit.per_s if limit is not None and is_known else math.inf

    def find_recent_limit(self, name: str, now: float) -> float:
        """Returns a limit that may be news for the owner of the server's slots, else infinity."""
        limit = self._limits.get(name)
        is_recent = limit is not None and now - limit.named_at <= LIMIT_NEWS_S
        return limit.per_s if limit is not None and is_recent else math.inf

    def list_paused(self, now: float) -> frozenset[str]:
        """Returns the names of the servers that want no requests from this VM for now."""
        if not self._paused_until:
            return frozenset()
        self._paused_until = {
            name: until for name, until in self._paused_until.items() if until > now
        }
        return frozenset(self._paused_until)

    def evacuate(self, zones: set[str], cold_s: float, now: float) -> None:
        """Sets the evacuated zones, whose servers get no requests.

        Args:
            zones: All evacuated zones.
            cold_s: How long the servers of a zone are cold after its evacuation ends, in seconds.
            now: Time, in seconds on the monotonic clock.
        """
        for zone in self._evacuated_zones - zones:
            self._zone_cold_until[zone] = now + cold_s
        if self._evacuated_zones != zones:
            self._evacuated_zones = set(zones)
            self._usable.clear()

    def has_servers(self, service: str) -> bool:
        """Returns whether a service has servers, which need not accept new requests."""
        return service in self._names

    def list_zones(self, service: str) -> set[str]:
        """Returns the zones in which a service has servers that accept new requests."""
        return {zone for zone in self._names.get(service, ()) if self.list_usable(service, zone)}

    def list_usable(self, service: str, zone: str) -> Sequence[Instance]:
        """Returns the servers of a service in a zone that accept new requests."""
        usable = self._usable.get((service, zone))
        if usable is None:
            names = self._names.get(service, {}).get(zone, ())
            instances = [self._instances[name] for name in names]
            usable = [item for item in instances if self._is_usable(item)]
            self._usable[service, zone] = usable
        return usable

    def find_cold_until(self, instance: Instance) -> float:
        """Returns when the caches of a server are warm, in seconds on the monotonic clock."""
        return max(instance.cold_until, self._zone_cold_until.get(instance.zone, -math.inf))

    def _delete(self, name: str, now: float, *, is_gone: bool = True) -> None:
        position = self._instances[name].position
        self._unlist(name)
        self._lapsed_until.pop(name, None)
        self._forget_limits(name)
        self._order.record_removal(name, RemovedServer(now, position, is_gone))

    def _forget_limits(self, name: str) -> None:
        self._limits.pop(name, None)
        self._paused_until.pop(name, None)

    def _update_leaving(self, instance: Instance) -> None:
        """Forgets that a server leaves if it has been started again under its name."""
        if instance.name not in self._leaving:
            return
        started_at_ms = self._leaving[instance.name]
        if started_at_ms is None:
            self._leaving[instance.name] = instance.started_at_ms
        elif started_at_ms != instance.started_at_ms:
            del self._leaving[instance.name]

    def _is_known(self, name: str) -> bool:
        return name in self._instances or self._order.is_removed(name)

    def _discard_usable(self, name: str) -> None:
        instance = self._instances.get(name)
        if instance is not None:
            self._usable.pop((instance.service, instance.zone), None)

    def _unlist(self, name: str) -> None:
        self._discard_usable(name)
        instance = self._instances.pop(name, None)
        if instance is not None:
            self._remove_name(instance)

    def _remove_name(self, instance: Instance) -> None:
        zones = self._names[instance.service]
        del zones[instance.zone][instance.name]
        if not zones[instance.zone]:
            del zones[instance.zone]
        if not zones:
            del self._names[instance.service]

    def _is_usable(self, instance: Instance) -> bool:
        has_left = instance.draining or instance.name in self._leaving
        return not has_left and instance.zone not in self._evacuated_zones
