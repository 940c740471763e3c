"""Grants the slots of a site's backend servers and queues requests until a slot is free."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.pools.backlog import Backlog
from briarfork.pools.cold_start import ColdStartLimiter
from briarfork.pools.demand import DemandCounter
from briarfork.pools.demand import RefusalCause
from briarfork.pools.forecast import WaitForecast
from briarfork.pools.forecast import compute_retry_s
from briarfork.pools.granting import Granting
from briarfork.pools.held_permits import HeldPermits
from briarfork.pools.permit import HeldPermit
from briarfork.pools.permit import Refusal
from briarfork.pools.permit import Release
from briarfork.pools.placement import Placement
from briarfork.pools.run_times import RunTimes
from briarfork.pools.server_report import NO_REPORT
from briarfork.pools.server_slots import ServerSlots

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from random import Random

    from briarfork.configuration import SiteCapacity
    from briarfork.pools.backlog import Ahead
    from briarfork.pools.permit import Grant
    from briarfork.pools.permit import Requester
    from briarfork.pools.permit import SlotRequest
    from briarfork.pools.server import ServerAddress
    from briarfork.pools.server_report import ServerReport

# Share of slots in use above which a hedged attempt would delay first attempts.
MAX_HEDGE_UTILIZATION = 0.9
# Bounds memory and the work that a burst causes. The check of the expected wait refuses requests
# long before this length is reached.
MAX_QUEUE_LENGTH = 4096
# Time between two checks of all waiting requests against the expected wait. The check looks at each
# request, and the interval is short against the wait of half an objective.
LATE_CHECK_INTERVAL_S = 0.02
MS_PER_S = 1000.0


class PermitQueue:
    """Slots and waiting requests of one service at one site.

    Only the VM that owns the slots keeps this queue. Permits are granted to short requests first,
    then by priority, then shared between workspaces, and in order of arrival without workspaces. A
    server never holds more permits than it has slots, except for permits that requesters declare
    after a change of owner.
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
        self._run_times = {request_class: RunTimes() for request_class in RequestClass}
        self._backlog = Backlog(self._run_times)
        self._late_check_at = 0.0
        self.demand = DemandCounter()
        self._placement = Placement(random, self._run_times[RequestClass.SHORT])
        self._servers = self._placement.servers
        self._held_permits = HeldPermits()
        self._slots = ServerSlots(self._placement, capacity, mixed, slow_start)
        self._granting = Granting(self._placement, self._held_permits)

    @property
    def in_progress(self) -> int:
        """Number of permits that are granted and not yet released."""
        return len(self._held_permits)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._backlog)

    @property
    def is_idle(self) -> bool:
        """Whether no permit is granted and no request waits."""
        return not self.in_progress and not self.waiting

    @property
    def slots(self) -> int:
        """Number of slots of all servers that accept new requests."""
        return self._slots.total

    def select_known(self, names: Iterable[str]) -> frozenset[str]:
        """Returns those of some names that are names of servers."""
        return frozenset(name for name in names if name in self._servers)

    def set_capacity(self, capacity: SiteCapacity, mixed: bool) -> None:
        """Applies the configured capacity of one server."""
        self._slots.set_capacity(capacity, mixed)

    def set_shares(self, slots: Mapping[str, int]) -> None:
        """Limits each server to a share of its slots."""
        self._slots.set_shares(slots)

    def set_servers(self, live: Iterable[ServerAddress]) -> None:
        """Applies the list of live servers; missing servers get no new requests."""
        self._slots.set_servers(live)

    def submit(self, request: SlotRequest, now: float) -> list[Grant | Refusal]:
        """Queues a request and returns all decisions that can be made now."""
        self.demand.record_request(request.workspace)
        if self.waiting >= MAX_QUEUE_LENGTH:
            return [self._refuse(request, RefusalCause.QUEUE_FULL, "the queue is full")]
        if not any(server.is_in_service(now) for server in self._servers.values()):
            return [self._refuse(request, RefusalCause.NO_SERVER, "the site has no server")]
        if request.hedge:
            return [self._decide_hedge(request, now)]
        ahead = self._backlog.measure_ahead(request, now)
        if self._build_forecast().refuses_new(ahead, request.expires_at - now):
            return [self._refuse_behind(request, RefusalCause.EXPECTED_WAIT, ahead)]
        self.enqueue(request)
        return self.poll(now)

    def _decide_hedge(self, request: SlotRequest, now: float) -> Grant | Refusal:
        if self.waiting or self.in_progress >= MAX_HEDGE_UTILIZATION * self.slots:
            reason = "hedged attempts are not allowed at this load"
            return self._refuse(request, RefusalCause.HEDGE, reason)
        free = self._placement.find_free(request.request_class, now)
        self._placement.update_health(free, now)
        server = self._placement.select(request, free, now)
        if server is None:
            return self._refuse(request, RefusalCause.HEDGE, "no other server has a free slot")
        return self._granting.grant(request, server, now)

    def enqueue(self, request: SlotRequest) -> None:
        """Queues a request, to be decided by the next call of `poll`."""
        self._backlog.add(request)

    def _build_forecast(self) -> WaitForecast:
        run_s = self._run_times[RequestClass.SHORT].mean_s
        return WaitForecast(self._slots.count_effective(run_s))

    def _refuse(
        self, request: SlotRequest, cause: RefusalCause, reason: str, wait_s: float = 0.0
    ) -> Refusal:
        self.demand.record_refusal(request.workspace, cause)
        return Refusal(request, reason, wait_s=wait_s)

    def _refuse_behind(self, request: SlotRequest, cause: RefusalCause, ahead: Ahead) -> Refusal:
        """Returns a refusal because of what is ahead, with the time at which to come back."""
        wait_s = self._build_forecast().compute_wait_s(ahead)
        reason = f"the expected wait is {wait_s * MS_PER_S:.0f} ms, {ahead.requests} are ahead"
        more_urgent = self._backlog.count_more_urgent(request)
        return self._refuse(request, cause, reason, compute_retry_s(wait_s, more_urgent))

    def _refuse_late(self, now: float) -> list[Refusal]:
        """Refuses waiting requests that others have overtaken, so that they are too late."""
        if now < self._late_check_at:
            return []
        self._late_check_at = now + LATE_CHECK_INTERVAL_S
        late = self._backlog.remove_late(self._build_forecast(), now)
        return [self._refuse_behind(item, RefusalCause.OVERTAKEN, ahead) for item, ahead in late]

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
        for request in self._backlog.expire(now):
            reason = "no slot became free in time"
            decided.append(self._refuse(request, RefusalCause.EXPIRED, reason))
        if not self.waiting:
            return decided
        free = self._placement.find_free(RequestClass.SHORT, now)
        for request_class, wait_queue in self._backlog.iterate_queues():
            if request_class is RequestClass.LONG:
                free = self._placement.find_free(RequestClass.LONG, now)
            decided += self._granting.grant_waiting(wait_queue, free, now)
        if self.waiting:
            decided += self._refuse_late(now)
        elif free:
            self._backlog.end_busy_period()
        return decided

    def remove_all_waiting(self) -> list[SlotRequest]:
        """Removes and returns all waiting requests after the slots moved to another owner."""
        return self._backlog.remove_matching(lambda _: True)

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
        self._backlog.remove(permit)
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
        return self._backlog.remove_matching(
            lambda item: item.requester.vm == requester.vm and item.requester != requester
        )

    def drop_requester(self, requester: Requester, silent: bool, now: float) -> list[SlotRequest]:
        """Removes and returns the waiting requests of a requester whose stream is lost.

        Its permits are kept for a time, because its requests may still run.
        """
        self._held_permits.orphan(requester, silent, now)
        return self._backlog.remove_matching(lambda item: item.requester == requester)

    def _free_orphans(self, now: float) -> None:
        for permit in self._held_permits.list_expired_orphans(now):
            self.release(permit, Release.CANCELLED, 0.0, now)
