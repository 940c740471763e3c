"""The route table of one version of the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.routing.route import Route
    from briarfork.routing.route import ServicePolicy
    from briarfork.workspaces import WorkspaceDirectory


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and time of a caller's requests.

    Attributes:
        header_bytes: Maximum size of all headers of a request.
        body_bytes: Maximum size of a request body.
        header_s: Maximum time for sending the headers.
        idle_s: Maximum time that a kept-alive connection may stay idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteTable:
    """Finds the route of a request by host and longest prefix.

    Attributes:
        routed_services: Names of the services that routes name.
        workspaces: Workspaces by key, None if the configuration has none.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServicePolicy],
        limits: CallerLimits,
        workspaces: WorkspaceDirectory | None = None,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.workspaces = workspaces
        self.routed_services: set[str] = set()
        self._routes: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.routed_services.update(share.service for share in route.shares)
            self._routes.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        prefixes = self._routes.get(host)
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def list_routes(self, host: str) -> list[Route]:
        """Returns the routes of a host."""
        return list(self._routes.get(host, {}).values())
