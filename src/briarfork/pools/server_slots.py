"""The slots of a service's servers at one site, as listed and configured."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.pools.server import Server
from briarfork.pools.slow_start import SlowStart

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarfork.configuration import SiteCapacity
    from briarfork.pools.placement import Placement
    from briarfork.pools.server import ServerAddress


class ServerSlots:
    """Applies the list of servers and their capacity to the servers of a placement."""

    def __init__(
        self, placement: Placement, capacity: SiteCapacity, mixed: bool, slow_start: bool
    ) -> None:
        """Creates the slots of no server; the arguments are those of `PermitQueue`."""
        self._placement = placement
        self._servers = placement.servers
        self._capacity = capacity
        self._mixed = mixed
        self._slow_start = slow_start
        self._first_list_applied = False

    @property
    def total(self) -> int:
        """Number of slots of all servers that accept new requests."""
        return sum(
            min(server.slots, server.slow_start.current_limit or server.slots)
            for server in self._servers.values()
            if not server.leaving
        )

    def count_effective(self, run_s: float) -> float:
        """Returns how many requests of a run time can run at once, at least 1."""
        active = (server for server in self._servers.values() if not server.leaving)
        return max(1.0, sum(server.count_effective_slots(run_s) for server in active))

    def set_capacity(self, capacity: SiteCapacity, mixed: bool) -> None:
        """Applies the configured capacity of one server."""
        self._capacity = capacity
        self._mixed = mixed
        for server in self._servers.values():
            server.slots = server.address.slots or capacity.slots
            server.long_slots = self._compute_long_slots(server.slots)

    def set_shares(self, slots: Mapping[str, int]) -> None:
        """Limits each server to a share of its slots.

        If the service has both short and long requests, long ones leave one slot of the share free.
        """
        for name, server in self._servers.items():
            server.slots = slots.get(name, 0)
            server.long_slots = max(0, server.slots - 1) if self._mixed else server.slots

    def set_servers(self, live: Iterable[ServerAddress]) -> None:
        """Applies the list of live servers; missing servers get no new requests."""
        listed = {address.name: address for address in live}
        for name, server in list(self._servers.items()):
            server.leaving = name not in listed
            if server.leaving and not server.permits:
                self._placement.remove_server(name)
        for name, address in listed.items():
            if name not in self._servers or self._servers[name].address != address:
                held = self._servers[name].permits if name in self._servers else {}
                slots = address.slots or self._capacity.slots
                server = Server(address, slots, self._compute_long_slots(slots))
                server.permits = held
                # Servers on the first list may have run for long; those added later are new.
                server.slow_start = SlowStart(cold=self._first_list_applied and self._slow_start)
                self._placement.remove_server(name)
                self._servers[name] = server
        self._placement.active = frozenset(listed)
        self._first_list_applied = self._first_list_applied or bool(self._servers)

    def _compute_long_slots(self, slots: int) -> int:
        return max(1, slots - 1) if self._mixed else slots
