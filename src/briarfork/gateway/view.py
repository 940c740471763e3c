"""The gateway's view of the route table, the backend servers and the other entry VMs."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.configuration import SiteCapacity
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.spillover import estimate_remote_share
from briarfork.hashing import hash_to_fraction
from briarfork.membership import MemberState
from briarfork.membership import rank_members
from briarfork.membership import select_fast_members
from briarfork.pools import Inventory
from briarfork.pools import compute_affinity_score
from briarfork.routing import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings
    from briarfork.entry.slots import SlotKey
    from briarfork.gateway.location import Location
    from briarfork.gateway.retries import RetryLimits
    from briarfork.membership import Member
    from briarfork.pools import ServerAddress
    from briarfork.routing import RouteTable
    from briarfork.workspaces import Workspace

DEFAULT_MAX_CONNECTIONS = 100


class GatewayView:
    """The gateway's copy of the configuration and the fleet, kept while the store is unavailable.

    The gateway uses availability zones as the sites of slots.

    Attributes:
        stops_at: Time at which this VM breaks off requests in progress, in seconds on the monotonic
            clock; infinite unless it is stopping.
        max_configuration_age_s: Age of the configuration from which keys of workspaces are no
            longer accepted, infinite if they are accepted at any age.
        configuration_shown_at: Time at which the store last showed that the configuration is the
            current one, in seconds on the monotonic clock.
    """

    def __init__(
        self, settings: Settings, location: Location, retry_limits: RetryLimits, events: EventLog
    ) -> None:
        self.settings = settings
        self.location = location
        self.retry_limits = retry_limits
        self.inventory = Inventory()
        self.stops_at = math.inf
        self.max_configuration_age_s = math.inf
        self.configuration_shown_at = -math.inf
        self.members: dict[str, Member] = {}
        self._route_table: RouteTable | None = None
        self._events = events
        self._owners: dict[SlotKey, Member | None] = {}

    @property
    def has_route_table(self) -> bool:
        """Whether a route table is loaded."""
        return self._route_table is not None

    @property
    def caller_limits(self) -> CallerLimits:
        """Limits on callers, the default ones while no route table is loaded."""
        return self._route_table.limits if self._route_table else CallerLimits()

    def require_route_table(self) -> RouteTable:
        """Returns the current route table.

        Raises:
            NotRun: If this VM has no configuration yet.
        """
        if self._route_table is None:
            raise NotRun(ErrorKind.NO_CONFIGURATION, "this VM has no configuration yet")
        return self._route_table

    def is_configuration_current(self, now: float) -> bool:
        """Returns whether the keys of the configuration may be accepted."""
        return now - self.configuration_shown_at <= self.max_configuration_age_s

    def apply_route_table(self, table: RouteTable) -> bool:
        """Replaces the route table if the given one is newer, and returns whether it did."""
        if self._route_table is not None and table.version <= self._route_table.version:
            return False
        self._route_table = table
        self._events.record(Event.CONFIGURATION_IN_FORCE, generation=table.version)
        return True

    def replace_members(self, members: dict[str, Member]) -> None:
        """Replaces the registered entry VMs."""
        if members != self.members:
            self.members = members
            self._owners.clear()

    def list_capacities(self) -> list[tuple[SlotKey, SiteCapacity, bool]]:
        """Returns for each service and zone a server's capacity and if classes are mixed."""
        return [
            ((name, zone), self._find_site_capacity(name, zone), False)
            for name in self.list_used_services()
            for zone in self.location.regions
        ]

    def list_used_services(self) -> list[str]:
        """Returns the configured services that have a route or servers.

        A configuration may have 100,000 services that nobody uses.
        """
        table = self._route_table
        if table is None:
            return []
        return [
            name
            for name in table.services
            if name in table.routed_services or self.inventory.has_servers(name)
        ]

    def find_capacity(self, key: SlotKey) -> tuple[SiteCapacity, bool]:
        """Returns the capacity of one server of a service and zone, and if classes are mixed."""
        return self._find_site_capacity(*key), False

    def find_zone(self, site: str) -> str:
        """Returns the availability zone of a site, which is the site itself."""
        return site

    def find_owner(self, service: str, site: str) -> Member | None:
        """Returns the entry VM that owns the slots of a service in a zone.

        The owner is an entry VM of the zone. If none serves there, one of the region takes over,
        or else one of any region.
        """
        key = (service, site)
        if key not in self._owners:
            self._owners[key] = self._choose_owner(service, site)
        return self._owners[key]

    def list_servers(self, service: str, site: str) -> list[ServerAddress]:
        """Returns the servers that accept new requests."""
        return [item.to_server_address() for item in self.inventory.list_usable(service, site)]

    def find_limit(self, vm: str) -> float:
        """Returns the requests per second that a server accepts, infinite if it names no limit."""
        return self.inventory.find_limit(vm, time.monotonic())

    def find_recent_limit(self, vm: str) -> float:
        """Returns a limit that may be news for the owner of the server's slots, else infinity."""
        return self.inventory.find_recent_limit(vm, time.monotonic())

    def list_zone_entries(self, zone: str) -> list[Member]:
        """Returns the serving entry VMs of a zone."""
        return [item for item in self._list_serving() if item.zone == zone]

    def list_fast_entries(self) -> list[Member]:
        """Returns the serving entry VMs of all zones, without those with slow links."""
        return list(select_fast_members(self._list_serving()))

    def count_serving(self) -> int:
        """Returns the number of serving entry VMs."""
        return len(self._list_serving())

    def list_limits(self) -> Mapping[str, Workspace]:
        """Returns the workspaces that have a quota, by name."""
        workspaces = self._route_table.workspaces if self._route_table else None
        return workspaces.limited if workspaces is not None else {}

    def order_entries(self, zone: str, region: str) -> list[Member]:
        """Returns the serving entry VMs of the zone, else of the region, else of any region.

        VMs with slow links are left out if the others suffice.
        """
        serving = self._list_serving()
        near = [item for item in serving if item.zone == zone]
        if not near:
            regions = self.location.regions
            near = [item for item in serving if regions.get(item.zone) == region]
        return list(select_fast_members(near or serving))

    def rank_zones(self, service: str, object_key: str, zones: list[str]) -> list[str]:
        """Returns zones in an order that is the same for an object on every VM.

        Weighted rendezvous hashing ranks zones first in proportion to their slots. The same zone
        always gets the requests of other regions for an object, so its servers keep it cached.
        """

        def score(zone: str) -> float:
            slots = self._count_slots(service, zone)
            return -slots / math.log(hash_to_fraction(f"{object_key}|{zone}"))

        return sorted(zones, key=score, reverse=True)

    def rank_servers(
        self, service: str, zone: str, object_key: str, now: float
    ) -> list[ServerAddress]:
        """Returns warm servers in an order that is the same for an object on every VM.

        Servers that name a limit on their requests are left out: only their owner knows how many
        they get.
        """
        warm = [
            item
            for item in self.inventory.list_usable(service, zone)
            if self.inventory.find_cold_until(item) <= now
            and self.inventory.find_limit(item.name, now) == math.inf
        ]
        warm.sort(key=lambda item: compute_affinity_score(object_key, item.name), reverse=True)
        return [item.to_server_address() for item in warm]

    def estimate_remote_share(self, service: str) -> float:
        """Returns the initial share of a service's requests that is sent to other regions."""
        zones = self.location.regions
        local = [zone for zone in zones if self.location.is_local(zone)]
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
        region = self.location.regions.get(zone, "")
        ranked = rank_members(f"{service}|{zone}", self.order_entries(zone, region))
        return ranked[0] if ranked else None

    def _find_site_capacity(self, service: str, zone: str) -> SiteCapacity:
        slots = [item.slots for item in self.inventory.list_usable(service, zone)]
        policy = self._route_table.services.get(service) if self._route_table else None
        connections = policy.max_connections if policy else DEFAULT_MAX_CONNECTIONS
        return SiteCapacity(max(slots, default=1), connections)
