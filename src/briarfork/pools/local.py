"""Selection of servers on one entry VM's own knowledge, without an owner of the slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.pools.selection import SELECTION
from briarfork.pools.server import Server

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from briarfork.configuration import RequestClass
    from briarfork.pools.server import ServerAddress


class LocalPool:
    """Servers of one service at one site, with the requests that this VM alone has sent.

    The slots of the servers are not checked, because requests of other VMs are not known; a
    server that has no free slot refuses, and the request is sent to another one.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: dict[str, Server] = {}
        self._holders: dict[str, str] = {}

    def set_servers(self, live: Iterable[ServerAddress]) -> None:
        """Applies the list of live servers."""
        listed = {address.vm: address for address in live}
        for vm in [vm for vm in self._servers if vm not in listed]:
            del self._servers[vm]
        for vm, address in listed.items():
            if vm not in self._servers or self._servers[vm].address != address:
                self._servers[vm] = Server(address, 0, 0)

    def choose(
        self,
        policy: str,
        permit: str,
        request_class: RequestClass,
        avoid: frozenset[str],
        now: float,
    ) -> ServerAddress | None:
        """Returns the server for a request, or None if the site has no server.

        Servers to avoid are chosen only if there is no other.
        """
        servers = [server for vm, server in self._servers.items() if vm not in avoid]
        servers = servers or list(self._servers.values())
        if not servers:
            return None
        server = SELECTION.get(policy)(servers, self._random)
        server.start(permit, request_class, now)
        self._holders[permit] = server.address.vm
        return server.address

    def release(self, permit: str) -> None:
        """Counts the end of a request."""
        server = self._servers.get(self._holders.pop(permit, ""))
        if server is not None:
            server.permits.pop(permit, None)
