"""Routing: which service a request belongs to and the rules that bind it."""

from briarfork.routing.route import RequestKind
from briarfork.routing.route import Route
from briarfork.routing.route import ServicePolicy
from briarfork.routing.route import Share
from briarfork.routing.spread import Spread
from briarfork.routing.table import CallerLimits
from briarfork.routing.table import RouteTable

__all__ = [
    "CallerLimits",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServicePolicy",
    "Share",
    "Spread",
]
