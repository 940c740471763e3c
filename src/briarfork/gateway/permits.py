"""Where a request gets its slot: the own zone first, then the region, then other regions."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.configuration import RequestClass
from briarfork.entry.overflow import Permit
from briarfork.entry.slot_client import SlotClient
from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import ErrorKind
from briarfork.gateway.spill import Refusals
from briarfork.gateway.spill import RemoteShare
from briarfork.gateway.spill import SpillLimit
from briarfork.requests import Deadline
from briarfork.routing import RequestKind

if TYPE_CHECKING:
    from briarfork.entry.slots import SlotManager
    from briarfork.gateway.view import GatewayView
    from briarfork.routing import Route

# Part of the objective that a request may wait for a slot in its own zone; the rest is for the
# run itself, which takes a third of the objective where the object is in the server's caches.
WAIT_SHARE = 0.5
# Elsewhere a request pays for the way as well.
REMOTE_WAIT_SHARE = 0.35
# A server of another region that had requests waiting gets none from here for this time.
FULL_S = 0.3
# Longest wait for an owner's decision on a second attempt.
HEDGE_WAIT_S = 0.1
# Change of a remote share that is worth a line in the log.
LOGGED_STEP = 0.1
# Remote share from which a region is short of servers, so that each zone's caches are too small
# for all objects and the zones share them. Otherwise objects stay in their callers' zone, because
# links between zones are paid for.
SCARCE_SHARE = 0.05
# Servers of a zone that may take an object; more would spread it over too many caches.
REMOTE_CHOICES = 2


@dataclass(frozen=True, slots=True)
class SlotNeed:
    """What one attempt needs a slot for.

    Attributes:
        object_key: Names the object that the request concerns, empty if unknown.
        deadline: When the request is given up.
        avoid: Servers that it was sent to.
    """

    route: Route
    service: str
    object_key: str
    deadline: Deadline
    avoid: frozenset[str]


class GatewayPermits(SlotClient):
    """Asks zone after zone until one grants a slot."""

    def __init__(self, view: GatewayView, desk: SlotManager) -> None:
        super().__init__(view, desk)
        self._gateway_view = view
        self._refusals = Refusals()
        self._spill = SpillLimit()
        self._remote_shares: dict[str, RemoteShare] = {}
        self._full_until: dict[str, float] = {}
        self._logged_shares: dict[str, float] = {}

    async def acquire(self, need: SlotNeed) -> Permit:
        """Returns a permit for one attempt.

        Raises:
            SlotRefused: If no zone has room; nothing was sent.
        """
        local, remote = self.list_zones(need.route, need.service, need.object_key)
        if not local and not remote:
            raise SlotRefused(ErrorKind.NO_SERVER, f"service {need.service!r} has no server")
        started = time.monotonic()
        self._spill.count(started)
        if not local or not remote:
            return await self._ask_all(local or remote, need)
        share = self._find_share(need.service, started)
        self._log_share(need.service, share.find(started))
        if share.takes(need.object_key, started):
            permit = self._take_remote(remote, need)
            if permit is not None:
                return permit
        try:
            asked = await self._ask_all(local, need)
        except SlotRefused:
            share.record(pressed=True)
            if not self._spill.allows(time.monotonic()):
                raise
            self._spill.spend(time.monotonic())
            permit = self._take_remote(remote, need)
            if permit is None:
                raise
            return permit
        share.record(pressed=False)
        return asked

    async def acquire_hedge(self, route: Route, first: Permit) -> Permit | None:
        """Returns a permit for a second attempt beside a slow one, or None.

        It comes from the region, never waits, and is refused at high load and at the same server.
        """
        local, _ = self.list_zones(route, first.service, "")
        if first.site not in local:
            return None
        for zone in local:
            limit = Deadline(time.monotonic() + HEDGE_WAIT_S)
            demand = self.build_demand(
                RequestClass.SHORT, limit, frozenset({first.server.vm}), route.priority
            )
            answer = await self.request_permit(
                (first.service, zone), replace(demand, hedge=True), limit
            )
            if isinstance(answer, Permit):
                return self.track(answer)
        return None

    def count_waiting(self, service: str) -> int:
        """Returns the requests that wait for slots of a service that this VM owns."""
        queues = [
            self._slot_manager.find_queue((service, zone))
            for zone in self._gateway_view.place.regions
        ]
        return sum(queue.waiting for queue in queues if queue is not None)

    def find_remote_share(self, service: str) -> float:
        """Returns the share of a service's requests that leaves the region."""
        share = self._remote_shares.get(service)
        return share.find(time.monotonic()) if share else 0.0

    def record_load(self, permit: Permit, service: str, full: bool, busy: float = 1.0) -> None:
        """Takes note of how a server of another region was loaded.

        Args:
            permit: The permit of the request.
            service: The service.
            full: Whether it refused the request, failed or had others waiting.
            busy: Share of its slots in use.
        """
        if self._gateway_view.place.is_local(permit.site):
            return
        now = time.monotonic()
        if full:
            self._full_until[permit.server.vm] = now + FULL_S
        self._find_share(service, now).record_remote(full, busy)

    def _take_remote(self, zones: list[str], need: SlotNeed) -> Permit | None:
        """Takes a slot in another region without asking, or returns None if none seems free.

        The way to the owner of the slots and back would take as long as the run itself.
        """
        now = time.monotonic()
        for zone in zones:
            ranked = self._gateway_view.rank_servers(need.service, zone, need.object_key, now)
            for server in ranked[:REMOTE_CHOICES]:
                if server.vm in need.avoid or self._full_until.get(server.vm, 0.0) > now:
                    continue
                demand = self.build_demand(
                    RequestClass.SHORT,
                    need.deadline,
                    need.avoid,
                    need.route.priority,
                    need.object_key,
                )
                return self.acquire_optimistically((need.service, zone), demand, server)
        return None

    async def _ask_all(self, zones: list[str], need: SlotNeed) -> Permit:
        """Asks zones in turn.

        Raises:
            SlotRefused: If all refuse.
        """
        refusal = SlotRefused(ErrorKind.OVERLOADED, "no zone has room")
        for zone in zones:
            key = (need.service, zone)
            now = time.monotonic()
            wait_s = self._refusals.find_wait(key, need.route.priority, now)
            if wait_s > 0.0:
                refusal = _choose_sooner(refusal, wait_s)
                continue
            limit = self._limit_wait(need, zone, now)
            demand = self.build_demand(
                RequestClass.SHORT,
                limit,
                need.avoid,
                need.route.priority,
                need.object_key if need.route.sticky else "",
            )
            answer = await self.request_permit(key, demand, limit)
            if isinstance(answer, Permit):
                return self.track(answer)
            wait_s = answer.wait_s if isinstance(answer, SlotRefused) else 0.0
            self._refusals.record(key, need.route.priority, wait_s, time.monotonic())
            refusal = _choose_sooner(refusal, wait_s)
        raise refusal

    def list_zones(
        self, route: Route, service: str, object_key: str
    ) -> tuple[list[str], list[str]]:
        """Returns the zones of the own region, nearest first, and those of other regions."""
        place = self._gateway_view.place
        allowed = [
            zone
            for zone in self._gateway_view.inventory.list_zones(service)
            if route.allows_region(place.regions.get(zone, ""))
        ]
        local = place.order(zone for zone in allowed if place.is_local(zone))
        remote = self._gateway_view.rank_zones(
            service, object_key, [zone for zone in allowed if not place.is_local(zone)]
        )
        if route.kind is RequestKind.DOWNLOAD:
            # Large answers stay as near as there is any server, because links are limited.
            return (local[:1], []) if local else ([], remote[:1])
        if route.sticky and object_key and self.find_remote_share(service) >= SCARCE_SHARE:
            home = self._gateway_view.rank_zones(service, object_key, local)[:1]
            local = home + [zone for zone in local if zone not in home]
        return local, remote

    def _find_share(self, service: str, now: float) -> RemoteShare:
        share = self._remote_shares.get(service)
        if share is None:
            initial = self._gateway_view.estimate_remote_share(service)
            share = self._remote_shares[service] = RemoteShare(initial, now)
        return share

    def _log_share(self, service: str, value: float) -> None:
        if abs(value - self._logged_shares.get(service, 0.0)) >= LOGGED_STEP:
            self._logged_shares[service] = value
            self._slot_manager.events.record(
                Event.REMOTE_SHARE_MOVED, service=service, share=round(value, 2)
            )

    def _limit_wait(self, need: SlotNeed, zone: str, now: float) -> Deadline:
        own = zone == self._gateway_view.place.zone
        share = WAIT_SHARE if own else REMOTE_WAIT_SHARE
        wait_s = min(share * need.route.objective_s, need.deadline.remaining_s(now) / 2)
        return Deadline(now + wait_s)


def _choose_sooner(refusal: SlotRefused, wait_s: float) -> SlotRefused:
    if wait_s > 0.0 and (refusal.wait_s == 0.0 or wait_s < refusal.wait_s):
        return SlotRefused(refusal.kind, refusal.detail, wait_s)
    return refusal
