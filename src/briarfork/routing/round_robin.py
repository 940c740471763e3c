"""Distributes the requests of a route over services in proportion to their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briarfork.routing.route import Route


class WeightedRoundRobin:
    """Smooth weighted round robin, which keeps the proportions in every short window.

    Example:
        >>> from briarfork.routing import RequestKind, Route, TrafficShare
        >>> shares = (TrafficShare("a", 3), TrafficShare("b", 1))
        >>> route = Route("r", "h", "/", RequestKind.IDEMPOTENT, 1, 1, 1, shares, 1)
        >>> round_robin = WeightedRoundRobin()
        >>> [round_robin.choose(route) for _ in range(4)]
        ['a', 'a', 'b', 'a']
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.setdefault(route.name, {})
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service]).service
        credits[chosen] -= sum(share.weight for share in route.shares)
        return chosen

    def reset(self) -> None:
        """Discards the state of all routes after a change of weights."""
        self._credits.clear()
