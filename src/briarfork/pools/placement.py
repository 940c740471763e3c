"""Selects the server for a waiting request among those with a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from briarfork.pools.objects import ObjectIndex
from briarfork.pools.selection import PERMITS_POLICY
from briarfork.pools.selection import SELECTION_POLICIES
from briarfork.pools.selection import compute_affinity_score
from briarfork.pools.selection import select_by_affinity

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from briarfork.configuration import RequestClass
    from briarfork.pools.permit import SlotRequest
    from briarfork.pools.run_times import RunTimes
    from briarfork.pools.server import Server

# How long a request waits for a server that has its object cached, as a multiple of the mean run
# time. A run on a server without the object takes about three times as long.
AFFINITY_WAIT_FACTOR: Final = 1.0


class Placement:
    """The servers of one service at one site, and where to run a request on them.

    Attributes:
        servers: Servers by name, also those that leave and still run requests.
        active: Names of the servers that accept new requests.
        objects: Finds the servers that have recently handled an object.
    """

    def __init__(self, random: Random, run_times: RunTimes) -> None:
        """Creates a placement without servers.

        Args:
            random: Source of randomness for selection policies.
            run_times: Run times of short requests.
        """
        self.servers: dict[str, Server] = {}
        self.active: frozenset[str] = frozenset()
        self.objects = ObjectIndex()
        self._random = random
        self._run_times = run_times

    def remove_server(self, name: str) -> None:
        """Removes a server and forgets the objects that it has handled."""
        self.servers.pop(name, None)
        self.objects.remove_server(name)

    def find_free(self, request_class: RequestClass, now: float) -> dict[str, Server]:
        """Returns the servers that can accept a request of a class, by name."""
        return {
            name: server
            for name, server in self.servers.items()
            if server.can_accept(request_class, now)
        }

    def update_health(self, free: Mapping[str, Server], now: float) -> None:
        """Counts the overdue requests of free servers and reads their last reported slowness."""
        overdue_s = self._run_times.overdue_s
        for server in free.values():
            server.count_overdue(now, overdue_s)
            server.slowness = server.get_slowness(now)

    def find_caching_server(
        self, request: SlotRequest, free: Mapping[str, Server], now: float
    ) -> Server | None:
        """Returns a free server that has recently handled the object of a request."""
        caching = [
            free[name] for name in self.objects.list_servers(request.object_key) if name in free
        ]
        eligible = self._filter_eligible(request, caching)
        return max(
            (server for server in eligible if server.is_prompt(now)),
            key=lambda server: compute_affinity_score(request.object_key, server.address.name),
            default=None,
        )

    def _filter_eligible(self, request: SlotRequest, servers: list[Server]) -> list[Server]:
        """Returns the servers that a request may use: untried ones, or any if all were tried."""
        if not request.avoid or (not request.hedge and request.avoid >= self.active):
            return servers
        return [server for server in servers if server.address.name not in request.avoid]

    def select(self, request: SlotRequest, free: Mapping[str, Server], now: float) -> Server | None:
        """Returns the best free server, or None if the request waits for a better one."""
        eligible = self._filter_eligible(request, list(free.values()))
        if not eligible:
            return None
        if not request.object_key:
            return SELECTION_POLICIES.get(PERMITS_POLICY)(eligible, self._random)
        cached = self.find_caching_server(request, free, now)
        if cached is not None:
            return cached
        if now - request.asked_at < AFFINITY_WAIT_FACTOR * self._run_times.mean_s:
            names = self.objects.list_servers(request.object_key)
            caching = [item for item in map(self.servers.__getitem__, names) if not item.leaving]
            if any(item.is_prompt(now) for item in self._filter_eligible(request, caching)):
                return None
        return select_by_affinity(eligible, request.object_key)
