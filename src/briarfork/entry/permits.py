"""Permits for slots of backend servers, as the request path acquires them."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from briarfork.entry.local import LocalSelector
from briarfork.entry.overflow import LOCAL_SELECTION
from briarfork.entry.overflow import Permit
from briarfork.entry.overflow import request_staggered
from briarfork.entry.slot_client import SlotClient
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.pools import NO_REPORT
from briarfork.pools import PERMITS_POLICY
from briarfork.pools import Release
from briarfork.pools import SlotRequest

if TYPE_CHECKING:
    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotKey
    from briarfork.entry.slots import SlotManager
    from briarfork.entry.view import EntryView
    from briarfork.pools import ServerReport
    from briarfork.requests import Deadline


class PermitClient(SlotClient):
    """Acquires permits at a site and the other sites of its region, by the selection policy."""

    def __init__(self, view: EntryView, slot_manager: SlotManager) -> None:
        super().__init__(view, slot_manager)
        self._entry_view = view
        self._local_selector = LocalSelector(view)

    async def acquire(
        self,
        service: str,
        site: str,
        request_class: RequestClass,
        deadline: Deadline,
        avoid: frozenset[str],
    ) -> Permit:
        """Waits for a permit until the deadline, at the site first and then also in its region.

        Raises:
            NotRun: If no permit is granted in time.
        """
        steering = self._entry_view.require_steering()
        policy = steering.plan.services[service].selection
        if policy != PERMITS_POLICY:
            slot_request = self.build_slot_request(request_class, deadline, avoid)
            server = self._local_selector.select((service, site), slot_request, policy)
            return self.track(
                Permit(slot_request.permit, service, site, request_class, server, LOCAL_SELECTION)
            )
        siblings = steering.list_sibling_sites(service, site, time.time())
        keys = [(service, name) for name in (site, *siblings)]
        slot_requests = {
            key: self.build_slot_request(request_class, deadline, avoid) for key in keys
        }
        return await self._request_at_sites(slot_requests, deadline)

    async def acquire_hedge(self, first: Permit, deadline: Deadline) -> Permit:
        """Acquires a permit for a hedged attempt at another server, without a wait for a slot.

        Raises:
            NotRun: If the load is too high or no other server of the region has a free slot.
        """
        steering = self._entry_view.require_steering()
        siblings = steering.list_sibling_sites(first.service, first.site, time.time())
        if steering.is_receiving_shift(first.service, first.site, time.time()):
            raise NotRun(
                ErrorKind.OVERLOADED, "a hedged attempt would count against the cap of a shift"
            )
        avoid = frozenset({first.server.name})
        slot_requests = {
            (first.service, site): replace(
                self.build_slot_request(first.request_class, deadline, avoid), hedge=True
            )
            for site in (first.site, *siblings)
        }
        return await self._request_at_sites(slot_requests, deadline)

    def release(
        self, permit: Permit, outcome: Release, elapsed_s: float, report: ServerReport = NO_REPORT
    ) -> None:
        """Releases a permit."""
        if permit.owner == LOCAL_SELECTION:
            self._local_selector.release(permit.key, permit.name)
        super().release(permit, outcome, elapsed_s, report)

    async def _request_at_sites(
        self, slot_requests: dict[SlotKey, SlotRequest], deadline: Deadline
    ) -> Permit:
        """Requests a permit at each site in turn and returns the first one granted.

        Raises:
            NotRun: If all sites refuse.
        """
        requesters = [
            partial(self.request_permit, key, slot_request, deadline)
            for key, slot_request in slot_requests.items()
        ]
        permits = await request_staggered(requesters, self._release_unused)
        for permit in permits[1:]:
            self._release_unused(permit)
        return self.track(permits[0])

    def _release_unused(self, permit: Permit) -> None:
        self.release(permit, Release.UNUSED, 0.0)
