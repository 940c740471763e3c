"""Routes and services of the current configuration."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """Kinds of requests, which differ in how they may be retried and placed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self not in (RequestKind.NON_IDEMPOTENT, RequestKind.UPLOAD)


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """The share of a route's requests that goes to one service, as a relative weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host whose path begins with a prefix.

    Attributes:
        prefix: Path prefix that begins and ends with a slash.
        timeout_s: Longest time that a caller waits for its response.
        objective_s: Response-time objective (SLO).
        priority: Priority of the requests, 0 is the highest.
        shares: Services that share the requests; a single one if traffic is not split.
        max_attempts: Maximum number of servers that one request may be sent to.
        sticky: Whether requests for an object prefer the same servers, which cache its data.
        regions: The only regions in which requests may run; empty allows all.
        public: Whether requests need no key of a workspace.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[TrafficShare, ...]
    max_attempts: int
    sticky: bool = False
    regions: frozenset[str] = frozenset()
    public: bool = False

    def allows_region(self, region: str) -> bool:
        """Returns whether requests may run in a region."""
        return not self.regions or region in self.regions


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Limits of the backend servers of a service.

    Attributes:
        max_connections: Connections that one server accepts from all clients together.
        cold_s: How long the caches of a server stay cold after its start.
        cold_per_s: Requests per second that a cold server accepts.
    """

    name: str
    max_connections: int
    cold_s: float
    cold_per_s: float
