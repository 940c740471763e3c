"""Grants free slots to waiting requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.pools.permit import Grant
from briarfork.pools.permit import HeldPermit

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarfork.pools.held_permits import HeldPermits
    from briarfork.pools.permit import SlotRequest
    from briarfork.pools.placement import Placement
    from briarfork.pools.server import Server
    from briarfork.pools.wait_queue import WaitQueue

# Selects one of the free servers for a waiting request, or none.
FindServer = Callable[["SlotRequest", "Mapping[str, Server]", float], "Server | None"]


class Granting:
    """Decides which waiting requests get the free slots of which servers."""

    def __init__(self, placement: Placement, held_permits: HeldPermits) -> None:
        self._placement = placement
        self._held_permits = held_permits

    def grant_waiting(
        self, wait_queue: WaitQueue, free: dict[str, Server], now: float
    ) -> list[Grant]:
        """Grants free slots, first to requests whose objects are cached on a free server.

        Strict order of arrival would give a slot to a request that takes three times as long on
        that server, and the next request in the queue would do the same on another server.

        Only free servers are looked at for each waiting request: with hundreds of both, looking at
        all servers would occupy the event loop for longer than the time between two releases.

        Args:
            wait_queue: Waiting requests of one class and priority.
            free: Servers that can accept a request of the class; full ones are removed.
            now: Time, in seconds.
        """
        if not free:
            # The usual case under load: the order of the waiting requests is not needed.
            return []
        cached = wait_queue.iterate_cached(free, self._placement.objects.servers)
        find_caching = self._placement.find_caching_server
        granted = self._grant_in_order(wait_queue, cached, free, find_caching, now)
        if not wait_queue or not free:
            return granted
        self._placement.update_health(free, now)
        others = wait_queue.iterate_in_order()
        return granted + self._grant_in_order(wait_queue, others, free, self._placement.select, now)

    def _grant_in_order(
        self,
        wait_queue: WaitQueue,
        requests: Iterable[SlotRequest],
        free: dict[str, Server],
        find_server: FindServer,
        now: float,
    ) -> list[Grant]:
        """Grants slots to requests in order and removes full servers."""
        granted: list[Grant] = []
        for request in requests:
            server = find_server(request, free, now)
            if server is None:
                continue
            granted.append(self.grant(request, server, now))
            wait_queue.serve(request.permit, now)
            if not server.can_accept(request.request_class, now):
                del free[server.address.name]
                if not free:
                    break
        return granted

    def grant(self, request: SlotRequest, server: Server, now: float) -> Grant:
        """Grants a slot of a server."""
        server.start(request.permit, request.request_class, now)
        server.record_grant(now)
        if request.object_key:
            self._placement.objects.add(request.object_key, server.address.name)
        self._held_permits.add(
            request.permit,
            HeldPermit(
                request.requester, server.address.name, request.request_class, request.expires_at
            ),
        )
        return Grant(request, server.address, server.limit_per_s)
