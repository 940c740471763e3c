"""Server selection by a single entry VM, without an owner of the slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.pools.selection import SELECTION_POLICIES
from briarfork.pools.server import Server

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from briarfork.configuration import RequestClass
    from briarfork.pools.server import ServerAddress


class LocalPool:
    """Servers of one service at one site, and the requests that this VM has sent to them.

    Free slots are not checked, because the requests of other VMs are unknown. A server without a
    free slot refuses the request, which is then sent to another server.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: dict[str, Server] = {}
        self._server_by_permit: dict[str, str] = {}

    def set_servers(self, live: Iterable[ServerAddress]) -> None:
        """Applies the list of live servers."""
        listed = {address.name: address for address in live}
        for name in [name for name in self._servers if name not in listed]:
            del self._servers[name]
        for name, address in listed.items():
            if name not in self._servers or self._servers[name].address != address:
                self._servers[name] = Server(address, 0, 0)

    def choose(
        self,
        policy: str,
        permit: str,
        request_class: RequestClass,
        avoid: frozenset[str],
        now: float,
    ) -> ServerAddress | None:
        """Selects a server and records the request there.

        Args:
            policy: Registered name of the selection policy.
            permit: Name under which `release` ends the request.
            request_class: Short or long.
            avoid: Servers that are selected only if the site has no other.
            now: Time, in seconds.

        Returns:
            The address of the server, or None if the site has no server.
        """
        servers = [server for name, server in self._servers.items() if name not in avoid]
        servers = servers or list(self._servers.values())
        if not servers:
            return None
        server = SELECTION_POLICIES.get(policy)(servers, self._random)
        server.start(permit, request_class, now)
        self._server_by_permit[permit] = server.address.name
        return server.address

    def release(self, permit: str) -> None:
        """Records the end of a request; an unknown permit is ignored."""
        server = self._servers.get(self._server_by_permit.pop(permit, ""))
        if server is not None:
            server.permits.pop(permit, None)
