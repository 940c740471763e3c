"""The rendered configuration, as the running system uses it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence


class RequestClass(Enum):
    """Expected run time of a request; long requests never use the last slot of a server."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Link:
    """A network link shared by all traffic between two regions.

    Attributes:
        regions: The two regions that it connects, sorted.
        gbit_s: Capacity per direction in Gbit/s.
        latency_ms: Round-trip time in milliseconds.
    """

    regions: tuple[str, str]
    gbit_s: float
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Site:
    """A location with backend servers, within one availability zone.

    Attributes:
        name: Name of the site.
        zone: Its availability zone.
        drain: Whether its traffic is to be shifted to other sites.
    """

    name: str
    zone: str
    drain: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Settings for the requests of a service whose path starts with a prefix."""

    prefix: str
    request_class: RequestClass
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ShiftLimits:
    """Limits of a traffic shift.

    Attributes:
        cap_rps: Requests per second that a shift may move to one receiving site, over all VMs.
        slope_percent_per_minute: Maximum change of a site's share, in percentage points per
            minute.
        settled_generation: Shifts up to this generation are settled; the cap no longer applies
            to them.
    """

    cap_rps: float
    slope_percent_per_minute: float
    settled_generation: int = 0


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """Capacity of one backend server of a service at one site.

    Attributes:
        slots: Number of requests that it runs at the same time.
        connections: Number of connections that it accepts.
    """

    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the distribution of its traffic.

    Attributes:
        name: Name of the service.
        idempotent: Whether methods other than GET, HEAD and OPTIONS are idempotent.
        request_class: Request class of paths without a route.
        deadline_ms: Deadline of paths without a route, in milliseconds.
        spread: Weight by site.
        capacity: Capacity of one backend server, by site.
        shift: Limits of traffic shifts.
        regional_spread: Weights by site for each client region that does not use `spread`.
        claims: Whether requests with an idempotency key are claimed in the store.
        routes: Settings by path prefix.
        selection: Name of the server selection policy.
        answer_bytes: Estimated size of an answer in bytes, for the use of links.
    """

    name: str
    idempotent: bool
    request_class: RequestClass
    deadline_ms: int
    spread: dict[str, float]
    capacity: dict[str, SiteCapacity]
    shift: ShiftLimits
    regional_spread: dict[str, dict[str, float]] = field(default_factory=dict)
    claims: bool = True
    routes: tuple[Route, ...] = ()
    selection: str = "permits"
    answer_bytes: int = 0

    def find_route(self, path: str) -> Route:
        """Returns the route with the longest prefix of the path, or one with the defaults."""
        matching = [route for route in self.routes if path.startswith(route.prefix)]
        if matching:
            return max(matching, key=lambda route: len(route.prefix))
        return Route("/", self.request_class, self.deadline_ms)

    @property
    def is_mixed(self) -> bool:
        """Whether the service has both short and long requests."""
        classes = {self.request_class} | {route.request_class for route in self.routes}
        return len(classes) > 1

    def is_idempotent(self, method: str) -> bool:
        """Returns whether a request with this method may safely run more than once."""
        return self.idempotent or method in ("GET", "HEAD", "OPTIONS")


@dataclass(frozen=True, slots=True, eq=False)
class ClientBlocks:
    """Blocks of client addresses and the nearest region of each.

    The blocks are kept as in the document. With 2.2 million blocks, creating an object for each
    would take longer than building the rest of the plan.

    Attributes:
        records: Mappings with the keys `prefix` and `region`.
    """

    records: Sequence[Mapping[str, str]] = ()

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return ((record["prefix"], record["region"]) for record in self.records)

    def __len__(self) -> int:
        return len(self.records)

    def is_same(self, other: ClientBlocks) -> bool:
        """Returns whether two sets of blocks are equal; fast if they are from one document."""
        return self.records is other.records or self.records == other.records


@dataclass(frozen=True, slots=True)
class Plan:
    """The configuration of the whole system, rendered at one point of the timeline.

    Attributes:
        entry_vms: Upper bound on the number of entry VMs.
        lookup_ttl_s: Time for which clients may cache the answer to a lookup, in seconds.
        approval_required: Whether changes need an approver.
        regions: Availability zones by region.
        links: Network links between regions.
        client_blocks: Client address blocks and their regions.
        sites: Sites by name.
        services: Services by name.
    """

    entry_vms: int
    lookup_ttl_s: float
    approval_required: bool
    regions: dict[str, tuple[str, ...]]
    links: tuple[Link, ...]
    client_blocks: ClientBlocks
    sites: dict[str, Site]
    services: dict[str, Service]

    def find_region(self, zone: str) -> str | None:
        """Returns the region of an availability zone, or None for an unknown zone."""
        for region, zones in self.regions.items():
            if zone in zones:
                return region
        return None

    def find_link(self, first: str, second: str) -> Link | None:
        """Returns the link between two regions, if one is configured."""
        regions = tuple(sorted((first, second)))
        return next((link for link in self.links if link.regions == regions), None)
