"""Pools of backend servers: slots, permits and server selection."""

from briarfork.pools.inventory import Instance
from briarfork.pools.inventory import Inventory
from briarfork.pools.local import LocalPool
from briarfork.pools.permit import Grant
from briarfork.pools.permit import PermitDemand
from briarfork.pools.permit import Refusal
from briarfork.pools.permit import Release
from briarfork.pools.permit import Requester
from briarfork.pools.queue import PermitQueue
from briarfork.pools.run_times import RunTimes
from briarfork.pools.selection import PERMITS
from briarfork.pools.selection import SELECTION
from briarfork.pools.selection import rank_home
from briarfork.pools.server import Server
from briarfork.pools.server import ServerAddress

__all__ = [
    "PERMITS",
    "SELECTION",
    "Grant",
    "Instance",
    "Inventory",
    "LocalPool",
    "PermitDemand",
    "PermitQueue",
    "Refusal",
    "Release",
    "Requester",
    "RunTimes",
    "Server",
    "ServerAddress",
    "rank_home",
]
