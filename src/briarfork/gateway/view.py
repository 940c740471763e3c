"""What a gateway knows: routes in force, backend servers and the other entry VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.configuration import SiteCapacity
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.spill import estimate_remote_share
from briarfork.hashing import hash_to_fraction
from briarfork.membership import MemberState
from briarfork.membership import rank_members
from briarfork.pools import Inventory
from briarfork.pools import compute_affinity_score

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings
    from briarfork.entry.slots import SlotKey
    from briarfork.gateway.place import Place
    from briarfork.gateway.repeats import RepeatBounds
    from briarfork.membership import Member
    from briarfork.pools import ServerAddress
    from briarfork.routing import RouteTable

DEFAULT_CONNECTIONS = 100


class GatewayView:
    """The gateway's copy of the configuration and of the fleet; it survives a loss of the store.

    The site of a slot is an availability zone.
    """

    def __init__(
        self, settings: Settings, place: Place, repeat_bounds: RepeatBounds, events: EventLog
    ) -> None:
        self.settings = settings
        self.place = place
        self.repeat_bounds = repeat_bounds
        self.inventory = Inventory()
        self.members: dict[str, Member] = {}
        self._table: RouteTable | None = None
        self._events = events
        self._owners: dict[SlotKey, Member | None] = {}

    @property
    def has_table(self) -> bool:
        """Whether a configuration is known."""
        return self._table is not None

    def require_table(self) -> RouteTable:
        """Returns the routes in force.

        Raises:
            NotRun: If this VM has no configuration.
        """
        if self._table is None:
            raise NotRun(ErrorKind.NO_CONFIGURATION, "this VM has no configuration yet")
        return self._table

    def accept_table(self, table: RouteTable) -> bool:
        """Puts a configuration in force unless it is older than the present one."""
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._events.record(Event.CONFIGURATION_IN_FORCE, generation=table.version)
        return True

    def accept_members(self, members: dict[str, Member]) -> None:
        """Replaces the entry VMs that others know of."""
        self.members = members
        self._owners.clear()

    def list_capacities(self) -> list[tuple[SlotKey, SiteCapacity, bool]]:
        """Returns each service and zone, what a server takes there, and if classes are mixed."""
        services = self._table.services if self._table else {}
        return [
            ((name, zone), self._find_site_capacity(name, zone), False)
            for name in services
            for zone in self.place.regions
        ]

    def find_capacity(self, key: SlotKey) -> tuple[SiteCapacity, bool]:
        """Returns what a server of a service takes in a zone, and if classes are mixed."""
        return self._find_site_capacity(*key), False

    def find_zone(self, site: str) -> str:
        """Returns the availability zone of a site, which is the site itself."""
        return site

    def find_owner(self, service: str, site: str) -> Member | None:
        """Returns the entry VM that owns the slots of a service in a zone.

        It is in the zone; if none serves there, one of the region or of any region takes over.
        """
        key = (service, site)
        if key not in self._owners:
            self._owners[key] = self._choose_owner(service, site)
        return self._owners[key]

    def list_servers(self, service: str, site: str) -> list[ServerAddress]:
        """Returns the servers that take new requests."""
        return [item.to_server_address() for item in self.inventory.list_usable(service, site)]

    def list_zone_entries(self, zone: str) -> list[Member]:
        """Returns the entry VMs of a zone that can own slots."""
        return [item for item in self._list_serving() if item.zone == zone]

    def order_entries(self, zone: str, region: str) -> list[Member]:
        """Returns the entry VMs that a caller may use: of its zone, its region or any."""
        serving = self._list_serving()
        near = [item for item in serving if item.zone == zone]
        if not near:
            regions = self.place.regions
            near = [item for item in serving if regions.get(item.zone) == region]
        return near or serving

    def rank_zones(self, service: str, object_key: str, zones: list[str]) -> list[str]:
        """Returns zones in an order that is the same for an object on every VM.

        Zones come first in proportion to their slots (weighted rendezvous hashing), so that the
        servers of a zone keep the objects that other regions ask them for.
        """

        def score(zone: str) -> float:
            slots = self._count_slots(service, zone)
            return -slots / math.log(hash_to_fraction(f"{object_key}|{zone}"))

        return sorted(zones, key=score, reverse=True)

    def rank_servers(
        self, service: str, zone: str, object_key: str, now: float
    ) -> list[ServerAddress]:
        """Returns warm servers in an order that is the same for an object on every VM."""
        warm = [
            item
            for item in self.inventory.list_usable(service, zone)
            if self.inventory.find_cold_until(item) <= now
        ]
        warm.sort(key=lambda item: compute_affinity_score(object_key, item.name), reverse=True)
        return [item.to_server_address() for item in warm]

    def estimate_remote_share(self, service: str) -> float:
        """Returns the share of a service's requests that leaves the region at first."""
        zones = self.place.regions
        local = [zone for zone in zones if self.place.is_local(zone)]
        serving = self._list_serving()
        return estimate_remote_share(
            sum(self._count_slots(service, zone) for zone in local),
            sum(self._count_slots(service, zone) for zone in zones),
            sum(1 for item in serving if item.zone in local),
            len(serving),
        )

    def _count_slots(self, service: str, zone: str) -> int:
        return sum(item.slots for item in self.inventory.list_usable(service, zone))

    def _list_serving(self) -> list[Member]:
        return [
            item
            for item in self.members.values()
            if item.state is MemberState.LIVE and item.serving
        ]

    def _choose_owner(self, service: str, zone: str) -> Member | None:
        region = self.place.regions.get(zone, "")
        ranked = rank_members(f"{service}|{zone}", self.order_entries(zone, region))
        return ranked[0] if ranked else None

    def _find_site_capacity(self, service: str, zone: str) -> SiteCapacity:
        slots = [item.slots for item in self.inventory.list_usable(service, zone)]
        policy = self._table.services.get(service) if self._table else None
        connections = policy.connections if policy else DEFAULT_CONNECTIONS
        return SiteCapacity(max(slots, default=1), connections)
