"""Parts of the operators' configuration as the running system uses them."""

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
    """Expected run time of a request; long requests never hold the last slot of a server."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Link:
    """A network link shared by all traffic between two regions.

    Attributes:
        regions: The two regions that it joins, sorted.
        gbit_s: Capacity in Gbit/s, each way.
        latency_ms: Round-trip time in milliseconds.
    """

    regions: tuple[str, str]
    gbit_s: float
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Site:
    """A location with backend servers, inside one availability zone."""

    name: str
    zone: str
    drain: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """Settings of the requests of a service whose path begins with a prefix."""

    prefix: str
    request_class: RequestClass
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ShiftLimits:
    """Limits of a traffic shift.

    Attributes:
        cap_rps: Requests a second that a shift may move to one receiving site, over all VMs.
        slope_percent_per_minute: How fast the share of a site may change, in percentage points.
        settled_generation: Shifts up to this generation are settled: the cap ends for them.
    """

    cap_rps: float
    slope_percent_per_minute: float
    settled_generation: int = 0


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """What one backend server of a service takes at one site.

    Attributes:
        slots: Requests that it runs at the same time.
        connections: Connections that it accepts.
    """

    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service and how its traffic is spread.

    Attributes:
        idempotent: Whether methods other than GET and HEAD are idempotent.
        spread: Weight for each site.
        capacity: Capacity of one backend server, for each site.
        regional_spread: Weights for the clients of one region, where they differ from `spread`.
        claims: Whether requests with an idempotency key are claimed in the store.
        selection: Name of the server selection policy.
        answer_bytes: Estimated size of an answer, for the share of links.
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
        """Returns the route with the longest prefix that matches the path."""
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
        """Returns whether a request with this method may run more than once."""
        return self.idempotent or method in ("GET", "HEAD", "OPTIONS")


@dataclass(frozen=True, slots=True, eq=False)
class ClientBlocks:
    """Blocks of client addresses and the region nearest to each.

    They stay in the form of the document: at 2.2 million blocks, one more object for each would
    take longer to build than the rest of the plan.

    Attributes:
        records: Maps with `prefix` and `region`.
    """

    records: Sequence[Mapping[str, str]] = ()

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return ((record["prefix"], record["region"]) for record in self.records)

    def __len__(self) -> int:
        return len(self.records)

    def is_same(self, other: ClientBlocks) -> bool:
        """Returns whether two sets of blocks are equal; quick for those of one document."""
        return self.records is other.records or self.records == other.records


@dataclass(frozen=True, slots=True)
class Plan:
    """The configuration rendered for the whole system at one point of the timeline."""

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
