"""Routing: selects the route and the service of a request."""

from briarfork.routing.round_robin import WeightedRoundRobin
from briarfork.routing.route import RequestKind
from briarfork.routing.route import Route
from briarfork.routing.route import ServicePolicy
from briarfork.routing.route import TrafficShare
from briarfork.routing.table import CallerLimits
from briarfork.routing.table import RouteTable

__all__ = [
    "CallerLimits",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServicePolicy",
    "TrafficShare",
    "WeightedRoundRobin",
]
