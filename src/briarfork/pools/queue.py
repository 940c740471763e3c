"""The queue in which requests wait for slots of a site's backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.pools.cold import ColdPace
from briarfork.pools.permit import Grant
from briarfork.pools.permit import Holding
from briarfork.pools.permit import Refusal
from briarfork.pools.permit import Release
from briarfork.pools.run_times import RunTimes
from briarfork.pools.selection import PERMITS
from briarfork.pools.selection import SELECTION
from briarfork.pools.selection import rank_home
from briarfork.pools.selection import select_home
from briarfork.pools.server import Server
from briarfork.pools.slow_start import SlowStart
from briarfork.pools.waiting import WaitingLine

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from random import Random

    from briarfork.configuration import SiteCapacity
    from briarfork.pools.permit import PermitDemand
    from briarfork.pools.permit import Requester
    from briarfork.pools.server import ServerAddress

# Share of the slots in use above which a second attempt would delay first ones.
HEDGE_LOAD = 0.9
# Bounds the memory of the queue and the work of a burst; the expected wait refuses long before.
MAX_WAITING = 4096
# A requester whose stream closed declares its permits again within this time, unless it died; a
# dead one has closed its connections to the servers, so its requests are cancelled there.
ORPHAN_GRACE_S = 2.0
# Run times vary, so a request is refused at once unless twice the expected wait is left; without
# the margin half of the requests at the limit would be refused only when their time is over.
WAIT_MARGIN = 2.0
# A request waits for the server that has its object in its caches for this part of the mean run
# time; a run without them takes about three times as long.
AFFINITY_WAIT = 1.0
# Position of a class and priority within it; lower ones go first.
Rank = tuple[int, int]
CLASS_ORDER = (RequestClass.SHORT, RequestClass.LONG)


class PermitQueue:
    """Slots and waiting requests of one service at one site.

    Only the owner of the slots has one. Permits go to short requests first, then by priority, and
    in order of arrival within a priority. A server never has more permits than slots, except for
    permits that a former owner granted and that requesters declare.
    """

    def __init__(
        self, capacity: SiteCapacity, mixed: bool, random: Random, slow_start: bool = True
    ) -> None:
        """Creates a queue without servers.

        Args:
            capacity: What one server takes.
            mixed: Whether the service has both short and long requests.
            random: Breaks ties.
            slow_start: Whether new servers get their slots step by step. Not needed where servers
                state how long they stay cold.
        """
        self._capacity = capacity
        self._mixed = mixed
        self._random = random
        self._servers: dict[str, Server] = {}
        self._slow_start = slow_start
        self._lines: dict[Rank, WaitingLine] = {}
        self._run_times = {request_class: RunTimes() for request_class in RequestClass}
        self._holdings: dict[str, Holding] = {}
        self._next_orphan = math.inf
        self._listed = False

    @property
    def in_progress(self) -> int:
        """Number of permits granted and not released."""
        return len(self._holdings)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(line) for line in self._lines.values())

    @property
    def slots(self) -> int:
        """Slots of all servers that take new work."""
        return sum(
            min(server.slots, server.slow_start.bound or server.slots)
            for server in self._servers.values()
            if not server.leaving
        )

    def set_capacity(self, capacity: SiteCapacity, mixed: bool) -> None:
        """Applies the capacity of one server from the plan."""
        self._capacity = capacity
        self._mixed = mixed
        for server in self._servers.values():
            server.slots = server.address.slots or capacity.slots
            server.long_slots = self._find_long_slots(server.slots)

    def set_shares(self, slots: Mapping[str, int]) -> None:
        """Limits each server to a part of its slots; long requests leave one of the part free."""
        for vm, server in self._servers.items():
            server.slots = slots.get(vm, 0)
            server.long_slots = max(0, server.slots - 1) if self._mixed else server.slots

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
                slots = address.slots or self._capacity.slots
                server = Server(address, slots, self._find_long_slots(slots))
                server.permits = held
                # The first list shows servers that have run all along; later ones are new.
                server.slow_start = SlowStart(cold=self._listed and self._slow_start)
                self._servers[vm] = server
        self._listed = self._listed or bool(self._servers)

    def demand(self, demand: PermitDemand, now: float) -> list[Grant | Refusal]:
        """Adds a demand and returns what can be decided now."""
        if self.waiting >= MAX_WAITING:
            return [Refusal(demand, "the queue is full")]
        if not any(server.stays(now) for server in self._servers.values()):
            return [Refusal(demand, "the site has no server")]
        if demand.hedge:
            return [self._decide_hedge(demand, now)]
        wait_s = self.estimate_wait_s(demand.request_class, demand.priority)
        if wait_s and now + WAIT_MARGIN * wait_s > demand.expires_at:
            return [Refusal(demand, f"the expected wait is {wait_s * 1000:.0f} ms", wait_s=wait_s)]
        self.enqueue(demand)
        return self.poll(now)

    def _decide_hedge(self, demand: PermitDemand, now: float) -> Grant | Refusal:
        if self.waiting or self.in_progress >= HEDGE_LOAD * self.slots:
            return Refusal(demand, "no second attempts at this load")
        server = self._select(demand, now)
        if server is None:
            return Refusal(demand, "no other server has a free slot")
        return self._grant(demand, server, now)

    def enqueue(self, demand: PermitDemand) -> None:
        """Adds a demand that the next poll decides."""
        rank = _find_rank(demand.request_class, demand.priority)
        if rank not in self._lines:
            self._lines[rank] = WaitingLine()
            self._lines = dict(sorted(self._lines.items()))
        self._lines[rank].add(demand)

    def estimate_wait_s(self, request_class: RequestClass, priority: int = 0) -> float:
        """Returns the expected wait of a new demand, 0 while no run time is known."""
        own = _find_rank(request_class, priority)
        wait_s = 0.0
        for rank, line in self._lines.items():
            if rank <= own:
                wait_s += len(line) * self._run_times[CLASS_ORDER[rank[0]]].mean_s
        return wait_s / max(1, self.slots)

    def set_cold(self, vm: str, until: float, per_s: float) -> None:
        """Bounds the requests a second to a server until its caches are warm."""
        server = self._servers.get(vm)
        if server is None:
            return
        if server.cold is None:
            server.cold = ColdPace(until, per_s)
        else:
            server.cold.until = until

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Frees orphaned permits, expires waiting requests and grants free slots."""
        decided: list[Grant | Refusal] = []
        self._free_orphans(now)
        for line in self._lines.values():
            for demand in line.expire(now):
                decided.append(Refusal(demand, "no slot became free in time"))
            decided += self._grant_waiting(line, now)
        return decided

    def withdraw_all(self) -> list[PermitDemand]:
        """Removes and returns all waiting demands, because the slots have another owner."""
        return self._remove_demands(lambda _: True)

    def release(
        self, permit: str, how: Release, elapsed_s: float, now: float, slowness: float = 0.0
    ) -> None:
        """Frees the slot of a permit; an unknown permit is ignored."""
        holding = self._holdings.pop(permit, None)
        if holding is None:
            return
        server = self._servers[holding.vm]
        server.permits.pop(permit)
        server.record_slowness(slowness, now)
        if how is Release.DONE:
            server.resume()
            server.slow_start.record_answer(now)
            self._run_times[holding.request_class].record(elapsed_s)
            if holding.request_class is RequestClass.SHORT:
                server.record_run_time(elapsed_s)
        elif how is Release.DRAINING:
            server.drain(now)
        elif how is Release.NOT_RUN:
            server.refuse(now)
        elif how is Release.FAILED:
            server.pause(now)
        if server.leaving and not server.permits:
            del self._servers[holding.vm]

    def cancel(self, permit: str, now: float) -> None:
        """Removes a waiting demand, or frees a permit that the requester no longer wants.

        A grant may be on its way while the requester gives up, so both cases occur.
        """
        for line in self._lines.values():
            line.remove(permit)
        self.release(permit, Release.UNUSED, 0.0, now)

    def adopt(
        self,
        permit: str,
        requester: Requester,
        vm: str,
        request_class: RequestClass,
        now: float,
        object_key: str = "",
    ) -> None:
        """Takes over a permit that a former owner granted, or that needed no owner."""
        server = self._servers.get(vm)
        if permit in self._holdings:
            self._holdings[permit].requester = requester
            self._holdings[permit].orphaned_until = math.inf
        elif server is not None:
            server.start(permit, request_class, now)
            if object_key:
                server.objects.add(object_key)
            self._holdings[permit] = Holding(requester, vm, request_class)

    def settle_requester(self, requester: Requester, now: float) -> list[PermitDemand]:
        """Frees what earlier streams of a VM held, after the new stream has declared the rest.

        Returns:
            The demands of the earlier streams, which no longer wait.
        """
        earlier = {
            holding.requester
            for holding in self._holdings.values()
            if holding.requester.vm == requester.vm and holding.requester != requester
        }
        for permit in [p for p, item in self._holdings.items() if item.requester in earlier]:
            self.release(permit, Release.CANCELLED, 0.0, now)
        return self._remove_demands(
            lambda item: item.requester.vm == requester.vm and item.requester != requester
        )

    def drop_requester(self, requester: Requester, silent: bool, now: float) -> list[PermitDemand]:
        """Removes the demands of a requester whose stream is gone and returns them.

        Its permits are kept as orphans, because its requests may still run: until it declares
        them again, for a short time if the stream was closed, and until the request has ended at
        the latest if the stream went silent, because a process that is paused or cut off keeps
        its connections to the servers.
        """
        for holding in self._holdings.values():
            if holding.requester == requester:
                grace_end = now + ORPHAN_GRACE_S
                known_end = holding.expires_at if holding.expires_at < math.inf else grace_end
                holding.orphaned_until = max(known_end, grace_end) if silent else grace_end
                self._next_orphan = min(self._next_orphan, holding.orphaned_until)
        return self._remove_demands(lambda item: item.requester == requester)

    def _free_orphans(self, now: float) -> None:
        if now < self._next_orphan:
            return
        ended = [p for p, holding in self._holdings.items() if holding.orphaned_until <= now]
        for permit in ended:
            self.release(permit, Release.CANCELLED, 0.0, now)
        ends = (holding.orphaned_until for holding in self._holdings.values())
        self._next_orphan = min(ends, default=math.inf)

    def _remove_demands(self, match: Callable[[PermitDemand], bool]) -> list[PermitDemand]:
        removed = [demand for line in self._lines.values() for demand in line if match(demand)]
        for demand in removed:
            rank = _find_rank(demand.request_class, demand.priority)
            self._lines[rank].remove(demand.permit)
        return removed

    def _grant_waiting(self, line: WaitingLine, now: float) -> list[Grant | Refusal]:
        """Grants free slots, first to requests whose objects the servers have in their caches.

        In order of arrival alone, the slot would go to a request that takes three times as long
        there, and the next one in the line would do the same elsewhere.
        """
        granted: list[Grant | Refusal] = []
        for demand in [item for item in line if item.object_key]:
            server = self._find_known(demand, now)
            if server is not None:
                granted.append(self._grant(demand, server, now))
                line.remove(demand.permit)
        for demand in line:
            server = self._select(demand, now)
            if server is not None:
                granted.append(self._grant(demand, server, now))
            elif not demand.avoid and not demand.object_key:
                break
        for decision in granted:
            line.remove(decision.demand.permit)
        return granted

    def _find_known(self, demand: PermitDemand, now: float) -> Server | None:
        """Returns a free server that has handled the object of a demand."""
        servers = self._list_allowed(demand)
        for server in _list_warm(demand.object_key, servers, now):
            if server.has_room(demand.request_class, now):
                return server
        return None

    def _list_allowed(self, demand: PermitDemand) -> list[Server]:
        takers = [server for server in self._servers.values() if not server.leaving]
        fresh = [server for server in takers if server.address.vm not in demand.avoid]
        return fresh if fresh or demand.hedge else takers

    def _select(self, demand: PermitDemand, now: float) -> Server | None:
        allowed = self._list_allowed(demand)
        free = [s for s in allowed if s.has_room(demand.request_class, now)]
        if not free:
            return None
        overdue_s = self._run_times[RequestClass.SHORT].overdue_s
        for server in free:
            server.count_overdue(now, overdue_s)
            server.slowness = server.find_slowness(now)
        if demand.object_key:
            warm = _list_warm(demand.object_key, allowed, now)
            known = [server for server in warm if server in free]
            if known:
                return known[0]
            if warm and now - demand.asked_at < self._find_affinity_wait_s():
                return None
            return select_home(free, demand.object_key)
        return SELECTION.get(PERMITS)(free, self._random)

    def _find_affinity_wait_s(self) -> float:
        return AFFINITY_WAIT * self._run_times[RequestClass.SHORT].mean_s

    def _grant(self, demand: PermitDemand, server: Server, now: float) -> Grant:
        server.start(demand.permit, demand.request_class, now)
        if demand.object_key:
            server.objects.add(demand.object_key)
        self._holdings[demand.permit] = Holding(
            demand.requester, server.address.vm, demand.request_class, demand.expires_at
        )
        return Grant(demand, server.address)

    def _find_long_slots(self, slots: int) -> int:
        return max(1, slots - 1) if self._mixed else slots


def _list_warm(object_key: str, servers: list[Server], now: float) -> list[Server]:
    """Returns the servers that have handled an object, its home first.

    Going back to the home once it is free keeps copies in other caches from displacing theirs.
    """
    sound = [
        server
        for server in servers
        if object_key in server.objects and not server.overdue and now >= server.paused_until
    ]
    return sorted(sound, key=lambda server: rank_home(object_key, server.address.vm), reverse=True)


def _find_rank(request_class: RequestClass, priority: int) -> Rank:
    return CLASS_ORDER.index(request_class), priority
