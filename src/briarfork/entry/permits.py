"""Permits for backend server slots, as the request path asks for them."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from briarfork.entry.local import LocalChoice
from briarfork.entry.overflow import LOCAL_CHOICE
from briarfork.entry.overflow import Permit
from briarfork.entry.overflow import ask_in_turn
from briarfork.entry.slot_client import SlotClient
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.pools import PERMITS_POLICY
from briarfork.pools import Release
from briarfork.pools import SlotRequest

if TYPE_CHECKING:
    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotDesk
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.view import EntryView
    from briarfork.requests import Deadline


class PermitClient(SlotClient):
    """Acquires permits at a site and its siblings, by the selection policy of the service."""

    def __init__(self, view: EntryView, desk: SlotDesk) -> None:
        super().__init__(view, desk)
        self._entry_view = view
        self._choice = LocalChoice(view)

    async def acquire(
        self,
        service: str,
        site: str,
        request_class: RequestClass,
        deadline: Deadline,
        avoid: frozenset[str],
    ) -> Permit:
        """Waits for a permit until the deadline, at the site first and then in its region, too.

        Raises:
            NotRun: If there is none in time.
        """
        steering = self._entry_view.require_steering()
        policy = steering.plan.services[service].selection
        if policy != PERMITS_POLICY:
            demand = self.build_demand(request_class, deadline, avoid)
            server = self._choice.take((service, site), demand, policy)
            return self.keep(
                Permit(demand.permit, service, site, request_class, server, LOCAL_CHOICE)
            )
        siblings = steering.list_sibling_sites(service, site, time.time())
        keys = [(service, name) for name in (site, *siblings)]
        demands = {key: self.build_demand(request_class, deadline, avoid) for key in keys}
        return await self._ask_sites(demands, deadline)

    async def acquire_hedge(self, first: Permit, deadline: Deadline) -> Permit:
        """Acquires a permit for a second attempt at another server, without a wait for a slot.

        Raises:
            NotRun: If the load is too high or no other server of the region has a free slot.
        """
        steering = self._entry_view.require_steering()
        siblings = steering.list_sibling_sites(first.service, first.site, time.time())
        if steering.is_receiving_shift(first.service, first.site, time.time()):
            raise NotRun(ErrorKind.OVERLOADED, "a second attempt would count as moved by a shift")
        avoid = frozenset({first.server.vm})
        demands = {
            (first.service, site): replace(
                self.build_demand(first.request_class, deadline, avoid), hedge=True
            )
            for site in (first.site, *siblings)
        }
        return await self._ask_sites(demands, deadline)

    def release(
        self, permit: Permit, how: Release, elapsed_s: float, slowness: float = 0.0
    ) -> None:
        """Returns a permit."""
        if permit.owner == LOCAL_CHOICE:
            self._choice.release(permit.key, permit.name)
        super().release(permit, how, elapsed_s, slowness)

    async def _ask_sites(self, demands: dict[SlotKey, SlotRequest], deadline: Deadline) -> Permit:
        """Asks one site after the other and takes the first permit.

        Raises:
            NotRun: If all refuse.
        """
        asks = [partial(self.ask_site, key, demand, deadline) for key, demand in demands.items()]
        permits = await ask_in_turn(asks, self._return_unused)
        for permit in permits[1:]:
            self._return_unused(permit)
        return self.keep(permits[0])

    def _return_unused(self, permit: Permit) -> None:
        self.release(permit, Release.UNUSED, 0.0)
