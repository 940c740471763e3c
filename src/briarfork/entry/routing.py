"""Chooses the site of a request and acquires a permit there."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.border.metrics import Metric
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.pools import Release
from briarfork.requests import Deadline
from briarfork.steering import MOVE_DELAY_S

if TYPE_CHECKING:
    from briarfork.border.metrics import Metrics
    from briarfork.configuration import Service
    from briarfork.entry.delivery import Call
    from briarfork.entry.overflow import Permit
    from briarfork.entry.permits import PermitClient
    from briarfork.entry.view import EntryView
    from briarfork.steering import Assigned

UNKNOWN_CLIENT = "0.0.0.0"


class Router:
    """Decides where a request goes."""

    def __init__(self, view: EntryView, permits: PermitClient, metrics: Metrics) -> None:
        self._view = view
        self._permits = permits
        self._metrics = metrics

    async def acquire(self, call: Call, service: Service, avoid: frozenset[str]) -> Permit:
        """Returns a permit for one attempt.

        Args:
            call: The request.
            service: Its service.
            avoid: Backend servers that earlier attempts of the request have used.

        Raises:
            NotRun: If no site can take the request.
        """
        steering = self._view.require_steering()
        client = call.request.remote or UNKNOWN_CLIENT
        assigned = steering.assign_request(service.name, client, time.time(), time.monotonic())
        if assigned.held_back:
            self._metrics.count(Metric.SHIFT_HELD_BACK, service.name)
        if assigned.moved:
            return await self._acquire_moved(call, service, avoid, assigned)
        return await self._acquire_at(assigned.site, call, service, avoid, call.deadline)

    async def _acquire_moved(
        self, call: Call, service: Service, avoid: frozenset[str], assigned: Assigned
    ) -> Permit:
        """Acquires a permit at a receiving site at once, or at the site before the shift.

        A moved request that waited longer could start together with requests that the cap admits
        later, and the receiving site would get more than the cap in one second.
        """
        admitted_at = time.monotonic()
        soon = Deadline(min(call.deadline.expires_at, admitted_at + MOVE_DELAY_S))
        try:
            permit = await self._acquire_at(assigned.site, call, service, avoid, soon)
        except NotRun as refused:
            if assigned.home is None:
                raise refused
            return await self._acquire_at(assigned.home, call, service, avoid, call.deadline)
        if time.monotonic() - admitted_at <= MOVE_DELAY_S:
            return permit
        self._permits.release(permit, Release.UNUSED, 0.0)
        if assigned.home is None:
            raise NotRun(ErrorKind.OVERLOADED, "the permit of a moved request came too late")
        return await self._acquire_at(assigned.home, call, service, avoid, call.deadline)

    async def _acquire_at(
        self,
        site: str,
        call: Call,
        service: Service,
        avoid: frozenset[str],
        deadline: Deadline,
    ) -> Permit:
        request_class = service.find_route(call.path).request_class
        return await self._permits.acquire(service.name, site, request_class, deadline, avoid)
