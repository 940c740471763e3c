"""Pools of backend servers: slots, permits and server selection."""

from briarfork.pools.demand import RefusalCause
from briarfork.pools.evacuations import Evacuations
from briarfork.pools.instance import Instance
from briarfork.pools.inventory import Inventory
from briarfork.pools.local import LocalPool
from briarfork.pools.permit import Grant
from briarfork.pools.permit import Refusal
from briarfork.pools.permit import Release
from briarfork.pools.permit import Requester
from briarfork.pools.permit import SlotRequest
from briarfork.pools.queue import PermitQueue
from briarfork.pools.run_times import RunTimes
from briarfork.pools.selection import PERMITS_POLICY
from briarfork.pools.selection import SELECTION_POLICIES
from briarfork.pools.selection import compute_affinity_score
from briarfork.pools.server import Server
from briarfork.pools.server import ServerAddress
from briarfork.pools.server_report import NO_REPORT
from briarfork.pools.server_report import ServerReport

__all__ = [
    "NO_REPORT",
    "PERMITS_POLICY",
    "SELECTION_POLICIES",
    "Evacuations",
    "Grant",
    "Instance",
    "Inventory",
    "LocalPool",
    "PermitQueue",
    "Refusal",
    "RefusalCause",
    "Release",
    "Requester",
    "RunTimes",
    "Server",
    "ServerAddress",
    "ServerReport",
    "SlotRequest",
    "compute_affinity_score",
]
