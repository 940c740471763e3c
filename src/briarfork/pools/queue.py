"""The queue in which requests wait for slots of a site's backend servers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.pools.selection import SELECTION
from briarfork.pools.server import Server

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from briarfork.configuration import SiteCapacity
    from briarfork.pools.server import ServerAddress

# Bounds the memory of the queue and the work of a burst; the expected wait refuses long before.
MAX_WAITING = 4096
# Expected run time before the first measurement.
INITIAL_RUN_TIME_S = 0.01


class Release(Enum):
    """How a request ended at the server, as far as the owner of the slots needs to know."""

    DONE = "done"
    NOT_RUN = "not-run"
    DRAINING = "draining"
    FAILED = "failed"
    UNUSED = "unused"


# Run times vary, so a request is refused at once unless twice the expected wait is left; without
# the margin half of the requests at the limit would be refused only when their time is over.
WAIT_MARGIN = 2.0


@dataclass(frozen=True, slots=True)
class PermitDemand:
    """A request that asks for a slot.

    Attributes:
        permit: Unique name of the permit.
        requester: Entry VM that asks.
        request_class: Short or long.
        expires_at: When the requester stops waiting, seconds.
        avoid: Servers that refused this request before.
    """

    permit: str
    requester: str
    request_class: RequestClass
    expires_at: float
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Grant:
    """A permit to send one request to one server."""

    demand: PermitDemand
    server: ServerAddress


@dataclass(frozen=True, slots=True)
class Refusal:
    """A demand that gets no permit; nothing was sent."""

    demand: PermitDemand
    reason: str


class PermitQueue:
    """Slots and waiting requests of one service at one site.

    Only the owner of the slots has one. Permits go to short requests first, in order of arrival
    within a class. A server never has more permits than slots, except for permits that a former
    owner granted and that requesters declare.
    """

    def __init__(self, capacity: SiteCapacity, mixed: bool, random: Random) -> None:
        self._capacity = capacity
        self._mixed = mixed
        self._random = random
        self._servers: dict[str, Server] = {}
        self._waiting: dict[RequestClass, OrderedDict[str, PermitDemand]] = {
            RequestClass.SHORT: OrderedDict(),
            RequestClass.LONG: OrderedDict(),
        }
        self._holders: dict[str, tuple[str, str]] = {}
        self._run_time_s = INITIAL_RUN_TIME_S

    @property
    def in_progress(self) -> int:
        """Number of permits granted and not released."""
        return len(self._holders)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def slots(self) -> int:
        """Slots of all servers that take new work."""
        return sum(server.slots for server in self._servers.values() if not server.leaving)

    def set_capacity(self, capacity: SiteCapacity, mixed: bool) -> None:
        """Applies the capacity of one server from the plan."""
        self._capacity = capacity
        self._mixed = mixed
        for server in self._servers.values():
            server.slots = capacity.slots
            server.long_slots = self._long_slots()

    def set_servers(self, live: Iterable[ServerAddress]) -> None:
        """Applies the list of live servers; servers that are missing get no new work."""
        listed = {address.vm: address for address in live}
        for vm, server in list(self._servers.items()):
            server.leaving = vm not in listed
            if server.leaving and not server.permits:
                del self._servers[vm]
        for vm, address in listed.items():
            if vm not in self._servers or self._servers[vm].address != address:
                held = self._servers[vm].permits if vm in self._servers else {}
                server = Server(address, self._capacity.slots, self._long_slots())
                server.permits = held
                self._servers[vm] = server

    def demand(self, demand: PermitDemand, now: float) -> list[Grant | Refusal]:
        """Adds a demand and returns what can be decided now."""
        if self.waiting >= MAX_WAITING:
            return [Refusal(demand, "the queue is full")]
        if not self._servers:
            return [Refusal(demand, "the site has no server")]
        wait_s = self.estimate_wait_s(demand.request_class)
        if now + WAIT_MARGIN * wait_s > demand.expires_at:
            return [Refusal(demand, f"the expected wait is {wait_s * 1000:.0f} ms")]
        self.enqueue(demand)
        return self.poll(now)

    def enqueue(self, demand: PermitDemand) -> None:
        """Adds a demand that the next poll decides."""
        self._waiting[demand.request_class][demand.permit] = demand

    def estimate_wait_s(self, request_class: RequestClass) -> float:
        """Returns the expected wait of a new demand."""
        ahead = len(self._waiting[RequestClass.SHORT])
        if request_class is RequestClass.LONG:
            ahead += len(self._waiting[RequestClass.LONG])
        return ahead * self._run_time_s / max(1, self.slots)

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Expires waiting requests and grants free slots."""
        decided: list[Grant | Refusal] = []
        for request_class in (RequestClass.SHORT, RequestClass.LONG):
            queue = self._waiting[request_class]
            for demand in [item for item in queue.values() if item.expires_at <= now]:
                del queue[demand.permit]
                decided.append(Refusal(demand, "no slot became free in time"))
            for demand in list(queue.values()):
                server = self._select(demand, now)
                if server is None:
                    break
                del queue[demand.permit]
                decided.append(self._grant(demand, server))
        return decided

    def release(self, permit: str, how: Release, elapsed_s: float, now: float) -> None:
        """Frees the slot of a permit; an unknown permit is ignored."""
        holder = self._holders.pop(permit, None)
        if holder is None:
            return
        server = self._servers[holder[1]]
        request_class = server.permits.pop(permit)
        if how is Release.DONE and request_class is RequestClass.SHORT:
            server.record_run_time(elapsed_s)
            self._run_time_s += 0.05 * (elapsed_s - self._run_time_s)
        if how is Release.NOT_RUN:
            server.pause(now)
        if how is Release.DRAINING:
            server.leaving = True
        if server.leaving and not server.permits:
            del self._servers[holder[1]]

    def cancel(self, permit: str, now: float) -> None:
        """Removes a waiting demand, or frees a permit that the requester no longer wants.

        A grant may be on its way while the requester gives up, so both cases occur.
        """
        for queue in self._waiting.values():
            queue.pop(permit, None)
        self.release(permit, Release.UNUSED, 0.0, now)

    def adopt(self, permit: str, requester: str, vm: str, request_class: RequestClass) -> None:
        """Takes over a permit that a former owner granted."""
        server = self._servers.get(vm)
        if server is not None and permit not in self._holders:
            server.permits[permit] = request_class
            self._holders[permit] = (requester, vm)

    def drop_requester(self, requester: str, now: float) -> None:
        """Frees all permits and demands of a requester whose stream is gone."""
        for queue in self._waiting.values():
            for permit in [p for p, item in queue.items() if item.requester == requester]:
                del queue[permit]
        for permit in [p for p, holder in self._holders.items() if holder[0] == requester]:
            self.release(permit, Release.FAILED, 0.0, now)

    def _select(self, demand: PermitDemand, now: float) -> Server | None:
        free = [
            server
            for vm, server in self._servers.items()
            if vm not in demand.avoid and server.has_room(demand.request_class, now)
        ]
        return SELECTION.get("permits")(free, self._random) if free else None

    def _grant(self, demand: PermitDemand, server: Server) -> Grant:
        server.permits[demand.permit] = demand.request_class
        self._holders[demand.permit] = (demand.requester, server.address.vm)
        return Grant(demand, server.address)

    def _long_slots(self) -> int:
        return max(1, self._capacity.slots - 1) if self._mixed else self._capacity.slots
