"""Lists the availability zones whose servers a request may use, in the order to ask them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from briarfork.routing import RequestKind

if TYPE_CHECKING:
    from briarfork.gateway.view import GatewayView
    from briarfork.routing import Route

# Larger bodies go to the nearest zone that grants a slot: their way costs more than a cold run.
LARGE_BODY_BYTES = 16384


class ZoneOrder(NamedTuple):
    """Zones that have a server of the service and are allowed for the route.

    Attributes:
        local: Zones of this region, the one to ask first in front.
        remote: Zones of other regions.
    """

    local: list[str]
    remote: list[str]

    @property
    def is_empty(self) -> bool:
        """Whether no zone has a server."""
        return not self.local and not self.remote


def list_zones(
    view: GatewayView,
    route: Route,
    service: str,
    object_key: str,
    body_bytes: int = 0,
    shares_objects: bool = False,
) -> ZoneOrder:
    """Returns the zones for a request.

    Args:
        view: This VM's view of the servers.
        route: Route of the request.
        service: Service of the request.
        object_key: Key of the object that the request concerns, empty if unknown.
        body_bytes: Length of the request body.
        shares_objects: Whether the zones of this region share the objects, each in one zone, in
            place of having all objects in each zone.
    """
    location = view.location
    allowed = [
        zone
        for zone in view.inventory.list_zones(service)
        if route.allows_region(location.regions.get(zone, ""))
    ]
    local = location.sort_by_distance(zone for zone in allowed if location.is_local(zone))
    elsewhere = [zone for zone in allowed if not location.is_local(zone)]
    remote = view.rank_zones(service, object_key, elsewhere)
    if route.kind is RequestKind.DOWNLOAD:
        # Downloads use only the nearest zone with a server, because links between zones have
        # limited bandwidth.
        return ZoneOrder(local[:1], []) if local else ZoneOrder([], remote[:1])
    if shares_objects and route.sticky and object_key and body_bytes < LARGE_BODY_BYTES:
        preferred = view.rank_zones(service, object_key, local)[:1]
        local = preferred + [zone for zone in local if zone not in preferred]
    return ZoneOrder(local, remote)
