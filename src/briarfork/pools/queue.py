"""Grants the slots of a site's backend servers and queues requests until a slot is free."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.pools.cold_start import ColdStartLimiter
from briarfork.pools.held_permits import HeldPermits
from briarfork.pools.permit import Grant
from briarfork.pools.permit import HeldPermit
from briarfork.pools.permit import Refusal
from briarfork.pools.permit import Release
from briarfork.pools.placement import Placement
from briarfork.pools.run_times import RunTimes
from briarfork.pools.server import Server
from briarfork.pools.server_report import NO_REPORT
from briarfork.pools.slow_start import SlowStart
from briarfork.pools.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from random import Random

    from briarfork.configuration import SiteCapacity
    from briarfork.pools.permit import Requester
    from briarfork.pools.permit import SlotRequest
    from briarfork.pools.server import ServerAddress
    from briarfork.pools.server_report import ServerReport

# Share of slots in use above which a hedged attempt would delay first attempts.
MAX_HEDGE_UTILIZATION = 0.9
# Bounds memory and the work that a burst causes. The check of the expected wait refuses requests
# long before this length is reached.
MAX_QUEUE_LENGTH = 4096
# Run times vary, so a request is refused at once unless twice the expected wait is left. With a
# factor of 1, half of the requests at the limit would be refused only after they had expired.
WAIT_SAFETY_FACTOR = 2.0
# Selects one of the free servers for a waiting request, or none.
FindServer = Callable[["SlotRequest", "Mapping[str, Server]", float], "Server | None"]
# Index of the request class in CLASS_ORDER and priority within the class; lower ranks go first.
QueueRank = tuple[int, int]
CLASS_ORDER = (RequestClass.SHORT, RequestClass.LONG)


class PermitQueue:
    """Slots and waiting requests of one service at one site.

    Only the VM that owns the slots keeps this queue. Permits are granted to short requests first,
    then by priority, and in order of arrival within a priority. A server never holds more permits
    than it has slots, except for permits that requesters declare after a change of owner.
    """

    def __init__(
        self, capacity: SiteCapacity, mixed: bool, random: Random, slow_start: bool = True
    ) -> None:
        """Creates a queue without servers.

        Args:
            capacity: Capacity of one server.
            mixed: Whether the service has both short and long requests.
            random: Source of randomness for selection policies.
            slow_start: Whether the slots of new servers are made available gradually. Not needed
                where servers report how long their caches stay cold.
        """
        self._capacity = capacity
        self._mixed = mixed
        self._slow_start = slow_start
        self._wait_queues: dict[QueueRank, WaitQueue] = {}
        self._run_times = {request_class: RunTimes() for request_class in RequestClass}
        self._placement = Placement(random, self._run_times[RequestClass.SHORT])
        self._servers = self._placement.servers
        self._held_permits = HeldPermits()
        self._first_list_applied = False

    @property
    def in_progress(self) -> int:
        """Number of permits that are granted and not yet released."""
        return len(self._held_permits)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(wait_queue) for wait_queue in self._wait_queues.values())

    @property
    def slots(self) -> int:
        """Number of slots of all servers that accept new requests."""
        return sum(
            min(server.slots, server.slow_start.current_limit or server.slots)
            for server in self._servers.values()
            if not server.leaving
        )

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

    def submit(self, request: SlotRequest, now: float) -> list[Grant | Refusal]:
        """Queues a request and returns all decisions that can be made now."""
        if self.waiting >= MAX_QUEUE_LENGTH:
            return [Refusal(request, "the queue is full")]
        if not any(server.is_in_service(now) for server in self._servers.values()):
            return [Refusal(request, "the site has no server")]
        if request.hedge:
            return [self._decide_hedge(request, now)]
        wait_s = self.estimate_wait_s(request.request_class, request.priority)
        if wait_s and now + WAIT_SAFETY_FACTOR * wait_s > request.expires_at:
            return [Refusal(request, f"the expected wait is {wait_s * 1000:.0f} ms", wait_s=wait_s)]
        self.enqueue(request)
        return self.poll(now)

    def _decide_hedge(self, request: SlotRequest, now: float) -> Grant | Refusal:
        if self.waiting or self.in_progress >= MAX_HEDGE_UTILIZATION * self.slots:
            return Refusal(request, "hedged attempts are not allowed at this load")
        free = self._placement.find_free(request.request_class, now)
        self._placement.update_health(free, now)
        server = self._placement.select(request, free, now)
        if server is None:
            return Refusal(request, "no other server has a free slot")
        return self._grant(request, server, now)

    def enqueue(self, request: SlotRequest) -> None:
        """Queues a request, to be decided by the next call of `poll`."""
        queue_rank = _get_queue_rank(request.request_class, request.priority)
        if queue_rank not in self._wait_queues:
            self._wait_queues[queue_rank] = WaitQueue()
            self._wait_queues = dict(sorted(self._wait_queues.items()))
        self._wait_queues[queue_rank].add(request)

    def estimate_wait_s(self, request_class: RequestClass, priority: int = 0) -> float:
        """Returns the expected wait of a new request in seconds, 0 while no run time is known."""
        own = _get_queue_rank(request_class, priority)
        wait_s = 0.0
        for queue_rank, wait_queue in self._wait_queues.items():
            if queue_rank <= own:
                wait_s += len(wait_queue) * self._run_times[CLASS_ORDER[queue_rank[0]]].mean_s
        run_s = self._run_times[RequestClass.SHORT].mean_s
        active = (server for server in self._servers.values() if not server.leaving)
        return wait_s / max(1.0, sum(server.count_effective_slots(run_s) for server in active))

    def limit_rate(
        self, name: str, per_s: float, now: float, *, share_phase: float | None = None
    ) -> None:
        """Sets how many requests per second a server accepts, infinite for no limit."""
        if name in self._servers:
            self._servers[name].limit_rate(per_s, now, share_phase=share_phase)

    def set_cold_start_limit(self, name: str, until: float, per_s: float) -> None:
        """Limits the requests per second to a server until its caches are warm.

        Args:
            name: Name of the server.
            until: Time at which the caches are warm, in seconds.
            per_s: Maximum number of requests per second.
        """
        server = self._servers.get(name)
        if server is None:
            return
        if server.cold_start_limiter is None:
            server.cold_start_limiter = ColdStartLimiter(until, per_s)
        else:
            server.cold_start_limiter.until = until

    def poll(self, now: float) -> list[Grant | Refusal]:
        """Releases orphaned permits, expires waiting requests and grants free slots."""
        decided: list[Grant | Refusal] = []
        self._free_orphans(now)
        for wait_queue in self._wait_queues.values():
            for request in wait_queue.expire(now):
                decided.append(Refusal(request, "no slot became free in time"))
        if not self.waiting:
            return decided
        free = self._placement.find_free(RequestClass.SHORT, now)
        for (class_index, _), wait_queue in self._wait_queues.items():
            if not wait_queue:
                continue
            if CLASS_ORDER[class_index] is RequestClass.LONG:
                free = self._placement.find_free(RequestClass.LONG, now)
            decided += self._grant_waiting(wait_queue, free, now)
        return decided

    def remove_all_waiting(self) -> list[SlotRequest]:
        """Removes and returns all waiting requests after the slots moved to another owner."""
        return self._remove_waiting(lambda _: True)

    def release(
        self,
        permit: str,
        how: Release,
        elapsed_s: float,
        now: float,
        report: ServerReport = NO_REPORT,
    ) -> None:
        """Frees the slot of a permit; an unknown permit is ignored.

        Args:
            permit: Name of the permit.
            how: How the request ended.
            elapsed_s: Run time of the request.
            now: Time, in seconds.
            report: What the server said with its response.
        """
        held = self._held_permits.pop(permit)
        if held is None:
            return
        server = self._servers[held.server]
        server.permits.pop(permit)
        server.record_slowness(report.slowness, now)
        if report.limit_per_s is not None:
            server.limit_rate(report.limit_per_s, now)
        elif how is Release.DONE:
            # The response would have named a limit.
            server.limit_rate(math.inf, now)
        if how is Release.DONE:
            server.reset_backoff()
            server.slow_start.record_response(now)
            self._run_times[held.request_class].record(elapsed_s)
            if held.request_class is RequestClass.SHORT:
                server.record_run_time(elapsed_s)
        elif how is Release.DRAINING:
            server.drain(now)
        elif how is Release.NOT_RUN:
            server.record_refusal(now)
        elif how is Release.FAILED:
            server.back_off(now)
        if server.leaving and not server.permits:
            self._placement.remove_server(held.server)

    def cancel(self, permit: str, now: float) -> None:
        """Removes a waiting request, or releases a permit that the requester no longer needs.

        The requester may cancel while a grant is in transit, so both cases occur.
        """
        for wait_queue in self._wait_queues.values():
            wait_queue.remove(permit)
        self.release(permit, Release.UNUSED, 0.0, now)

    def adopt(
        self,
        permit: str,
        requester: Requester,
        name: str,
        request_class: RequestClass,
        now: float,
        object_key: str = "",
        limit_per_s: float = math.inf,
    ) -> None:
        """Takes over a permit that a former owner granted or that was taken without an owner."""
        server = self._servers.get(name)
        if server is not None and limit_per_s != math.inf:
            server.limit_rate(limit_per_s, now)
        if self._held_permits.change_requester(permit, requester) or server is None:
            return
        server.start(permit, request_class, now)
        if object_key:
            self._placement.objects.add(object_key, name)
        self._held_permits.add(permit, HeldPermit(requester, name, request_class))

    def release_earlier_streams(self, requester: Requester, now: float) -> list[SlotRequest]:
        """Releases all permits of a VM's earlier streams that its new stream has not declared.

        Returns:
            The waiting requests of the earlier streams, which are removed.
        """
        for permit in self._held_permits.list_of_earlier_streams(requester):
            self.release(permit, Release.CANCELLED, 0.0, now)
        return self._remove_waiting(
            lambda item: item.requester.vm == requester.vm and item.requester != requester
        )

    def drop_requester(self, requester: Requester, silent: bool, now: float) -> list[SlotRequest]:
        """Removes and returns the waiting requests of a requester whose stream is lost.

        Its permits are kept for a time, because its requests may still run.
        """
        self._held_permits.orphan(requester, silent, now)
        return self._remove_waiting(lambda item: item.requester == requester)

    def _free_orphans(self, now: float) -> None:
        for permit in self._held_permits.list_expired_orphans(now):
            self.release(permit, Release.CANCELLED, 0.0, now)

    def _remove_waiting(self, match: Callable[[SlotRequest], bool]) -> list[SlotRequest]:
        removed = [
            item for wait_queue in self._wait_queues.values() for item in wait_queue if match(item)
        ]
        for request in removed:
            queue_rank = _get_queue_rank(request.request_class, request.priority)
            self._wait_queues[queue_rank].remove(request.permit)
        return removed

    def _grant_waiting(
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
        granted = self._grant_in_order(wait_queue, free, self._placement.find_caching_server, now)
        if wait_queue:
            self._placement.update_health(free, now)
        return granted + self._grant_in_order(wait_queue, free, self._placement.select, now)

    def _grant_in_order(
        self,
        wait_queue: WaitQueue,
        free: dict[str, Server],
        find_server: FindServer,
        now: float,
    ) -> list[Grant]:
        """Grants slots in order of arrival and removes full servers."""
        granted: list[Grant] = []
        for request in list(wait_queue):
            if not free:
                break
            server = find_server(request, free, now)
            if server is None:
                continue
            granted.append(self._grant(request, server, now))
            wait_queue.remove(request.permit)
            if not server.can_accept(request.request_class, now):
                del free[server.address.name]
        return granted

    def _grant(self, request: SlotRequest, server: Server, now: float) -> Grant:
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

    def _compute_long_slots(self, slots: int) -> int:
        return max(1, slots - 1) if self._mixed else slots


def _get_queue_rank(request_class: RequestClass, priority: int) -> QueueRank:
    return CLASS_ORDER.index(request_class), priority
