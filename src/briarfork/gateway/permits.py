"""Where a request gets its slot: the own zone first, then the region, then other regions."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.configuration import RequestClass
from briarfork.entry.slot_client import SlotClient
from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import ErrorKind
from briarfork.gateway.spill import Refusals
from briarfork.gateway.spill import SpillLimit
from briarfork.requests import Deadline
from briarfork.routing import RequestKind

if TYPE_CHECKING:
    from briarfork.entry.overflow import Permit
    from briarfork.entry.slots import SlotDesk
    from briarfork.gateway.view import GatewayView
    from briarfork.routing import Route

# Part of the objective that a request may wait for a slot in its own zone; the rest is for the
# run itself.
WAIT_SHARE = 0.5
# Elsewhere a request pays for the way as well.
REMOTE_WAIT_SHARE = 0.2


class GatewayPermits(SlotClient):
    """Asks zone after zone until one grants a slot."""

    def __init__(self, view: GatewayView, desk: SlotDesk) -> None:
        super().__init__(view, desk)
        self._gateway_view = view
        self._refusals = Refusals()
        self._spill = SpillLimit()

    async def acquire(
        self, route: Route, service: str, object_key: str, deadline: Deadline, avoid: frozenset[str]
    ) -> Permit:
        """Returns a permit for one attempt.

        Raises:
            SlotRefused: If no zone has room; nothing was sent.
        """
        zones = self._list_zones(route, service)
        if not zones:
            raise SlotRefused(ErrorKind.NO_SERVER, f"service {service!r} has no server")
        self._spill.count(time.monotonic())
        refusal = SlotRefused(ErrorKind.OVERLOADED, "no zone has room")
        for zone in zones:
            key = (service, zone)
            now = time.monotonic()
            wait_s = self._refusals.find_wait(key, route.priority, now)
            if wait_s > 0.0:
                refusal = _choose_sooner(refusal, wait_s)
                continue
            if not self._may_ask(zone, zones, now):
                continue
            limit = self._limit_wait(route, zone, deadline, now)
            demand = self.build_demand(
                RequestClass.SHORT, limit, avoid, route.priority, object_key if route.sticky else ""
            )
            answer = await self.ask_site(key, demand, limit)
            if not isinstance(answer, SlotRefused):
                if not self._gateway_view.place.is_local(zone):
                    self._spill.spend(time.monotonic())
                return self.keep(answer)
            self._refusals.record(key, route.priority, answer.wait_s, time.monotonic())
            refusal = _choose_sooner(refusal, answer.wait_s)
        raise refusal

    def _list_zones(self, route: Route, service: str) -> list[str]:
        place = self._gateway_view.place
        zones = place.order(
            zone
            for zone in self._gateway_view.inventory.list_zones(service)
            if route.allows_region(place.regions.get(zone, ""))
        )
        if route.kind is RequestKind.DOWNLOAD:
            # Large answers stay in the zone if it has any server, because links are limited.
            return zones[:1]
        return zones

    def _may_ask(self, zone: str, zones: list[str], now: float) -> bool:
        place = self._gateway_view.place
        has_local = any(place.is_local(other) for other in zones)
        return place.is_local(zone) or not has_local or self._spill.allows(now)

    def _limit_wait(self, route: Route, zone: str, deadline: Deadline, now: float) -> Deadline:
        own = zone == self._gateway_view.place.zone
        share = WAIT_SHARE if own else REMOTE_WAIT_SHARE
        wait_s = min(share * route.objective_s, deadline.remaining_s(now) / 2)
        return Deadline(now + wait_s)


def _choose_sooner(refusal: SlotRefused, wait_s: float) -> SlotRefused:
    if wait_s > 0.0 and (refusal.wait_s == 0.0 or wait_s < refusal.wait_s):
        return SlotRefused(refusal.kind, refusal.detail, wait_s)
    return refusal
