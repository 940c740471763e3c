"""Routes and services as the configuration in force states them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self is not RequestKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Share:
    """A service's part of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host whose path begins with a prefix.

    Attributes:
        prefix: Begins and ends with a slash.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Response time within which a caller is content.
        priority: Rank, 0 is the most urgent.
        shares: Services that the requests are spread over; one without a spread.
        max_attempts: Servers that one request may be sent to.
        sticky: Whether servers keep what they need for an object.
        regions: The only regions in which requests may run; empty means any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    sticky: bool = False
    regions: frozenset[str] = frozenset()

    def allows_region(self, region: str) -> bool:
        """Returns whether requests may run in a region."""
        return not self.regions or region in self.regions


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What the backend servers of a service tolerate.

    Attributes:
        connections: Connections that one server accepts from all callers together.
        cold_s: How long a server stays cold after its start.
        cold_per_s: Requests a second that a cold server takes.
    """

    name: str
    connections: int
    cold_s: float
    cold_per_s: float
