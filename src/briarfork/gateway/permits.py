"""Acquires slots for requests: in this VM's zone first, then in its region, then elsewhere."""

from __future__ import annotations

import math
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.configuration import RequestClass
from briarfork.entry.overflow import Permit
from briarfork.entry.slot_client import SlotClient
from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import ErrorKind
from briarfork.gateway.refusals import RefusalCache
from briarfork.gateway.refusals import RefusalSummary
from briarfork.gateway.spillover import RemoteShareController
from briarfork.gateway.spillover import SpilloverLimit
from briarfork.gateway.zones import LARGE_BODY_BYTES
from briarfork.gateway.zones import ZoneOrder
from briarfork.gateway.zones import list_zones
from briarfork.pools import NO_REPORT
from briarfork.pools import Release
from briarfork.pools import ServerReport
from briarfork.requests import Deadline

if TYPE_CHECKING:
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.slots import SlotManager
    from briarfork.errors import NotRun
    from briarfork.gateway.view import GatewayView
    from briarfork.pools import PermitQueue
    from briarfork.pools import RefusalCause
    from briarfork.pools import SlotRequest
    from briarfork.routing import Route
    from briarfork.workspaces import Workspace

# Fraction of the latency objective that a request may wait for a slot in this VM's zone. The rest
# is left for the run, which takes a third of the objective when the server has the object cached.
OWN_ZONE_WAIT_FRACTION = 0.5
# Lower in other zones, where the request also needs time for the network.
OTHER_ZONE_WAIT_FRACTION = 0.35
# An overloaded server of another region is not used again for this time.
OVERLOADED_SERVER_BACKOFF_S = 0.3
# Longest wait for the owner of the slots to grant or refuse a hedged attempt.
HEDGE_PERMIT_TIMEOUT_S = 0.1
# Smaller changes of a remote share are not logged.
MIN_LOGGED_SHARE_CHANGE = 0.1
# From this remote share on, a region is short of servers and the caches of one zone are too small
# for all objects, so objects are distributed over the region's zones. Below it, objects stay in
# their caller's zone, because traffic between zones is charged.
CACHE_SHARING_MIN_REMOTE_SHARE = 0.05
# Permits for servers that have left that a request returns before the zone counts as full.
MAX_RETURNED_PERMITS = 3
# Servers of a remote zone that are tried for an object; more would duplicate it in their caches.
MAX_REMOTE_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class SlotRequirements:
    """The constraints on the slot for one attempt.

    Attributes:
        object_key: Key of the object that the request concerns, empty if unknown.
        deadline: Deadline of the request.
        avoid: Servers that the request was already sent to.
        body_bytes: Length of the request body.
        workspace: Workspace of the caller, None if it has none.
    """

    route: Route
    service: str
    object_key: str
    deadline: Deadline
    avoid: frozenset[str]
    body_bytes: int = 0
    workspace: Workspace | None = None

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty without one."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def weight(self) -> float:
        """Weight among the workspaces that share scarce slots: the rate of the quota."""
        if self.workspace is None or not self.workspace.has_quota:
            return 1.0
        return self.workspace.rate_per_s

    @property
    def is_large(self) -> bool:
        """Whether the bytes of the body, not the caches of servers, decide on the zone."""
        return self.body_bytes >= LARGE_BODY_BYTES


class GatewayPermits(SlotClient):
    """Requests a slot from one zone after another until one grants it."""

    def __init__(self, view: GatewayView, slot_manager: SlotManager) -> None:
        super().__init__(view, slot_manager)
        self._gateway_view = view
        self._refusal_cache = RefusalCache()
        self._spillover_limit = SpilloverLimit()
        self._share_controllers: dict[str, RemoteShareController] = {}
        self._backoff_until: dict[str, float] = {}
        self._logged_shares: dict[str, float] = {}

    async def acquire(self, request: SlotRequirements) -> Permit:
        """Returns a permit for one attempt.

        Raises:
            SlotRefused: If no zone has a free slot; the request was not sent.
        """
        local, remote = self._require_zones(request)
        started = time.monotonic()
        self._spillover_limit.record_request(started)
        if not local or not remote:
            return await self._request_from_zones(local or remote, request)
        controller = self._find_share_controller(request.service, started)
        self._log_share(request.service, controller.compute(started))
        if not request.is_large and controller.sends_remote(request.object_key, started):
            permit = self.take_remote_slot(remote, request)
            if permit is not None:
                return permit
        try:
            granted = await self._request_from_zones(local, request)
        except SlotRefused:
            controller.record_local(region_full=True)
            if not self._spillover_limit.allows_spillover(time.monotonic()):
                raise
            self._spillover_limit.record_spillover(time.monotonic())
            permit = self.take_remote_slot(remote, request)
            if permit is None:
                raise
            return permit
        controller.record_local(region_full=False)
        return granted

    def check_room(self, request: SlotRequirements) -> None:
        """Checks whether a zone may grant a slot, before the body of a request is collected.

        Raises:
            SlotRefused: If the service has no server, or if all zones are known to be full.
        """
        local, remote = self._require_zones(request)
        now = time.monotonic()
        if local and remote and self._may_leave_region(request, now):
            return
        summary = RefusalSummary()
        for zone in local or remote:
            refused = self._find_refusal(zone, request, now)
            if refused is None:
                return
            summary.add(refused)
        raise summary.build(request.deadline.remaining_s(now))

    def _find_refusal(self, zone: str, request: SlotRequirements, now: float) -> SlotRefused | None:
        key = (request.service, zone)
        return self._refusal_cache.find(key, request.route.priority, request.workspace_name, now)

    def _may_leave_region(self, request: SlotRequirements, now: float) -> bool:
        share = self._find_share_controller(request.service, now).compute(now)
        has_share = share > 0.0 and not request.is_large
        return has_share or self._spillover_limit.allows_spillover(now)

    def record_refusal(
        self, key: SlotKey, priority: int, wait_s: float, workspace: str = "", detail: str = ""
    ) -> None:
        """Remembers for a short time that a zone refused a request of a priority."""
        refused = SlotRefused(ErrorKind.OVERLOADED, detail, wait_s)
        self._refusal_cache.record(key, priority, workspace, refused, time.monotonic())

    async def acquire_hedge(self, route: Route, first: Permit) -> Permit | None:
        """Returns a permit for a hedged attempt, or None if no slot is granted.

        Only the zones of this region are asked, and only for other servers. The permit never waits
        in a queue and is refused at high load.
        """
        local = list_zones(self._gateway_view, route, first.service, object_key="").local
        if first.site not in local:
            return None
        for zone in local:
            wait_deadline = Deadline(time.monotonic() + HEDGE_PERMIT_TIMEOUT_S)
            slot_request = self.build_slot_request(
                RequestClass.SHORT, wait_deadline, frozenset({first.server.name}), route.priority
            )
            decision = await self.request_permit(
                (first.service, zone), replace(slot_request, hedge=True), wait_deadline
            )
            if isinstance(decision, Permit) and not self._return_if_unusable(decision):
                return self.track(decision)
        return None

    def release(
        self, permit: Permit, outcome: Release, elapsed_s: float, report: ServerReport = NO_REPORT
    ) -> None:
        """Releases a permit and records what the server said.

        The owner is told of a missing limit only if it ends one that it or this VM knows: owners of
        an earlier version reject messages with a limit.
        """
        inventory = self._gateway_view.inventory
        known_limit = min(permit.limit_per_s, self._gateway_view.find_limit(permit.server.name))
        inventory.record_report(permit.server.name, report, time.monotonic())
        if report.limit_per_s == known_limit == math.inf:
            report = replace(report, limit_per_s=None)
        if report.is_leaving:
            outcome = Release.DRAINING
        super().release(permit, outcome, elapsed_s, report)

    def count_waiting(self, service: str) -> int:
        """Returns the number of requests waiting for slots of a service that this VM owns."""
        return sum(queue.waiting for queue in self._list_queues(service))

    def count_refusals(self, service: str) -> Counter[RefusalCause]:
        """Returns the number of refused requests for slots of a service that this VM owns."""
        counts: Counter[RefusalCause] = Counter()
        for queue in self._list_queues(service):
            counts.update(queue.demand.refusals)
        return counts

    def _list_queues(self, service: str) -> list[PermitQueue]:
        queues = [
            self._slot_manager.find_queue((service, zone))
            for zone in self._gateway_view.location.regions
        ]
        return [queue for queue in queues if queue is not None]

    def find_remote_share(self, service: str) -> float:
        """Returns the share of a service's requests that is sent to other regions."""
        controller = self._share_controllers.get(service)
        return controller.compute(time.monotonic()) if controller else 0.0

    def record_load(
        self, permit: Permit, service: str, overloaded: bool, utilization: float = 1.0
    ) -> None:
        """Records the load of a server of another region; servers of this region are ignored.

        Args:
            permit: The permit of the request.
            service: The service.
            overloaded: Whether the server refused the request, failed or had others waiting.
            utilization: Fraction of the server's slots in use.
        """
        if self._gateway_view.location.is_local(permit.site):
            return
        now = time.monotonic()
        if overloaded:
            self._backoff_until[permit.server.name] = now + OVERLOADED_SERVER_BACKOFF_S
        self._find_share_controller(service, now).record_remote(overloaded, utilization)

    def take_remote_slot(self, zones: list[str], request: SlotRequirements) -> Permit | None:
        """Takes a slot in another region without asking, or returns None if none seems free.

        The round trip to the owner of the slots would take as long as the run itself.
        """
        now = time.monotonic()
        avoid = request.avoid | self._gateway_view.inventory.list_paused(now)
        for zone in zones:
            ranked = self._gateway_view.rank_servers(request.service, zone, request.object_key, now)
            for server in ranked[:MAX_REMOTE_CANDIDATES]:
                if server.name in avoid or self._backoff_until.get(server.name, 0.0) > now:
                    continue
                slot_request = self.build_slot_request(
                    RequestClass.SHORT,
                    request.deadline,
                    request.avoid,
                    request.route.priority,
                    request.object_key,
                    request.workspace_name,
                    request.weight,
                )
                return self.acquire_optimistically((request.service, zone), slot_request, server)
        return None

    async def _request_from_zones(self, zones: list[str], request: SlotRequirements) -> Permit:
        """Requests a slot from each zone in turn.

        Raises:
            SlotRefused: If all zones refuse.
        """
        summary = RefusalSummary()
        for zone in zones:
            key = (request.service, zone)
            now = time.monotonic()
            refused = self._find_refusal(zone, request, now)
            if refused is not None:
                summary.add(refused)
                continue
            wait_deadline = self._find_wait_deadline(request, zone, now)
            slot_request = self.build_slot_request(
                RequestClass.SHORT,
                wait_deadline,
                request.avoid | self._gateway_view.inventory.list_paused(now),
                request.route.priority,
                request.object_key if request.route.sticky else "",
                request.workspace_name,
                request.weight,
            )
            decision = await self._request_usable(key, slot_request, wait_deadline)
            if isinstance(decision, Permit):
                return self.track(decision)
            if isinstance(decision, SlotRefused):
                priority, name = request.route.priority, request.workspace_name
                self.record_refusal(key, priority, decision.wait_s, name, decision.detail)
                summary.add(decision)
        raise summary.build(request.deadline.remaining_s(time.monotonic()))

    async def _request_usable(
        self, key: SlotKey, slot_request: SlotRequest, deadline: Deadline
    ) -> Permit | NotRun:
        """Requests a permit that agrees with what this VM knows of the server.

        An owner that is cut off from the store grants servers that have left since, and a new owner
        does not know the limits that servers have named.
        """
        for _ in range(MAX_RETURNED_PERMITS):
            decision = await self.request_permit(key, slot_request, deadline)
            if not isinstance(decision, Permit) or not self._return_if_unusable(decision):
                return decision
            slot_request = replace(
                slot_request,
                permit=self.build_permit_name(),
                avoid=slot_request.avoid | {decision.server.name},
            )
        return SlotRefused(ErrorKind.OVERLOADED, "the owner grants only unusable servers")

    def _return_if_unusable(self, permit: Permit) -> bool:
        """Returns a permit that this VM must not use; tells whether it did."""
        if permit.server.name in self._gateway_view.inventory.list_paused(time.monotonic()):
            self.release(permit, Release.UNUSED, 0.0)
            return True
        return self._release_if_left(permit) or self._release_if_limited(permit)

    def _release_if_limited(self, permit: Permit) -> bool:
        """Releases a permit if its owner does not know the server's limit; returns whether it did.

        The release tells the owner. Shares of slots apply the limits that this VM knows.
        """
        limit_per_s = self._gateway_view.find_recent_limit(permit.server.name)
        if permit.is_local or limit_per_s == math.inf or permit.limit_per_s != math.inf:
            return False
        # The server has not named its limit again, so this VM's record of it stays as it is.
        super().release(permit, Release.UNUSED, 0.0, ServerReport(limit_per_s=limit_per_s))
        return True

    def _release_if_left(self, permit: Permit) -> bool:
        """Releases a permit if its server has left; returns whether it did.

        The release makes the owner pause the server, for a short time only, because this VM may be
        the one that is behind.
        """
        if not self._gateway_view.inventory.has_left(permit.server):
            return False
        self.release(permit, Release.FAILED, 0.0)
        self._slot_manager.events.record(
            Event.PERMIT_RETURNED, owner=permit.owner, server=permit.server.name, zone=permit.site
        )
        return True

    def _require_zones(self, request: SlotRequirements) -> ZoneOrder:
        """Returns the zones for a request.

        Raises:
            SlotRefused: If no zone has a server.
        """
        remote_share = self.find_remote_share(request.service)
        zones = list_zones(
            self._gateway_view,
            request.route,
            request.service,
            request.object_key,
            request.body_bytes,
            shares_objects=remote_share >= CACHE_SHARING_MIN_REMOTE_SHARE,
        )
        if zones.is_empty:
            raise SlotRefused(ErrorKind.NO_SERVER, f"service {request.service!r} has no server")
        return zones

    def _find_share_controller(self, service: str, now: float) -> RemoteShareController:
        controller = self._share_controllers.get(service)
        if controller is None:
            initial = self._gateway_view.estimate_remote_share(service)
            controller = self._share_controllers[service] = RemoteShareController(initial, now)
        return controller

    def _log_share(self, service: str, value: float) -> None:
        if abs(value - self._logged_shares.get(service, 0.0)) >= MIN_LOGGED_SHARE_CHANGE:
            self._logged_shares[service] = value
            self._slot_manager.events.record(
                Event.REMOTE_SHARE_MOVED, service=service, share=round(value, 2)
            )

    def _find_wait_deadline(self, request: SlotRequirements, zone: str, now: float) -> Deadline:
        is_own_zone = zone == self._gateway_view.location.zone
        fraction = OWN_ZONE_WAIT_FRACTION if is_own_zone else OTHER_ZONE_WAIT_FRACTION
        wait_s = min(fraction * request.route.objective_s, request.deadline.remaining_s(now) / 2)
        return Deadline(now + wait_s)
