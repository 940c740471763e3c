"""Chooses the site of a request and acquires a permit there."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.border.metrics import Metric
from briarfork.entry.failover import Failover
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import SiteUnreachable
from briarfork.pools import Release
from briarfork.requests import Deadline
from briarfork.steering import MAX_MOVE_DELAY_S
from briarfork.steering import Recovery
from briarfork.steering import SiteDecision
from briarfork.steering import find_group
from briarfork.steering import hash_unit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.messages import Load
    from briarfork.border.metrics import Metrics
    from briarfork.configuration import Service
    from briarfork.entry.delivery import Call
    from briarfork.entry.overflow import Permit
    from briarfork.entry.permits import PermitClient
    from briarfork.entry.view import EntryView

UNKNOWN_CLIENT = "0.0.0.0"
# Refusals that another site may make good.
REFUSED_BY_SITE = frozenset({ErrorKind.OVERLOADED, ErrorKind.NO_SERVER})


class Router:
    """Decides where a request goes.

    The assigned site comes first, then other sites within this VM's part of their headroom. What
    none of them takes is refused as not run.
    """

    def __init__(self, view: EntryView, permits: PermitClient, metrics: Metrics) -> None:
        self._view = view
        self._permits = permits
        self._metrics = metrics
        self._failover = Failover(view, permits)
        self._returned: dict[tuple[str, str], Recovery] = {}
        self._recoveries: dict[tuple[str, str], Recovery] = {}

    def accept_load(self, loads: Iterable[Load]) -> None:
        """Takes the loads that owners of slots have reported."""
        self._failover.accept_load(loads)

    def find_lookup_site(self, service: str, client: str) -> str:
        """Returns the site to which a lookup directs a client.

        Raises:
            NotRun: If the service is unknown or the client is not an address.
        """
        site = self._view.require_steering().assign(service, client, time.time())
        returned = self._returned.setdefault((service, site), Recovery())
        if self._is_lost(service, site):
            returned.record_failure(time.monotonic())
        else:
            returned.record_success(time.monotonic())
            # The same client groups return first at every lookup, so no client goes to and fro.
            if (
                returned.traffic_ratio == 1.0
                or hash_unit(f"{find_group(client)}") <= returned.traffic_ratio
            ):
                return site
        return self._failover.choose_for_lookup(service, site, client) or site

    async def acquire(self, call: Call, service: Service, avoid: frozenset[str]) -> Permit:
        """Returns a permit for one attempt.

        Args:
            call: The request.
            service: Its service.
            avoid: Backend servers that earlier attempts of the request have used.

        Raises:
            NotRun: If no site can take the request.
        """
        client = call.request.remote or UNKNOWN_CLIENT
        assigned, admitted = self._assign(service, client)
        refused: NotRun | None = None
        if admitted:
            try:
                permit = await self._acquire_assigned(call, service, avoid, assigned)
            except NotRun as error:
                if error.kind not in REFUSED_BY_SITE:
                    raise
                refused = error
                self._note_refusal(error, service.name, assigned.site)
            else:
                if permit.site == assigned.site:
                    recovery = self._find_recovery(service.name, assigned.site)
                    recovery.record_success(time.monotonic())
                return permit
        permit_elsewhere = await self._failover.acquire(call, service, client, avoid, assigned.site)
        if permit_elsewhere is not None:
            self._metrics.count(Metric.OVERFLOWS, service.name)
            return permit_elsewhere
        if refused is None and not self._is_lost(service.name, assigned.site):
            return await self._acquire_assigned(call, service, avoid, assigned)
        reason = refused.detail if refused else f"site {assigned.site!r} is lost"
        raise NotRun(ErrorKind.OVERLOADED, f"{reason}; no other site has headroom")

    def _assign(self, service: Service, client: str) -> tuple[SiteDecision, bool]:
        """Returns the site of a request, and whether it may go there after a loss of the site."""
        steering = self._view.require_steering()
        assigned = steering.assign_request(service.name, client, time.time(), time.monotonic())
        if assigned.capped:
            self._metrics.count(Metric.SHIFT_HELD_BACK, service.name)
        admitted = self._find_recovery(service.name, assigned.site).admit()
        if assigned.moved and assigned.original_site is not None and not admitted:
            assigned = SiteDecision(assigned.original_site)
            admitted = self._find_recovery(service.name, assigned.site).admit()
        return assigned, admitted

    def _find_recovery(self, service: str, site: str) -> Recovery:
        return self._recoveries.setdefault((service, site), Recovery())

    def _note_refusal(self, error: NotRun, service: str, site: str) -> None:
        if isinstance(error, SiteUnreachable) or self._is_lost(service, site):
            self._find_recovery(service, site).record_failure(time.monotonic())

    def _is_lost(self, service: str, site: str) -> bool:
        """Returns whether a site has no server, or no entry VM that could own its slots."""
        return (
            not self._view.list_servers(service, site)
            or self._view.find_owner(service, site) is None
        )

    async def _acquire_assigned(
        self, call: Call, service: Service, avoid: frozenset[str], assigned: SiteDecision
    ) -> Permit:
        if assigned.moved:
            return await self._acquire_moved(call, service, avoid, assigned)
        return await self._acquire_at(assigned.site, call, service, avoid, call.deadline)

    async def _acquire_moved(
        self, call: Call, service: Service, avoid: frozenset[str], assigned: SiteDecision
    ) -> Permit:
        """Acquires a permit at a receiving site at once, or at the site before the shift.

        A moved request that waited longer could start together with requests that the cap admits
        later, and the receiving site would get more than the cap in one second.
        """
        admitted_at = time.monotonic()
        soon = Deadline(min(call.deadline.expires_at, admitted_at + MAX_MOVE_DELAY_S))
        try:
            permit = await self._acquire_at(assigned.site, call, service, avoid, soon)
        except NotRun as refused:
            if assigned.original_site is None:
                raise refused
            self._note_refusal(refused, service.name, assigned.site)
            return await self._acquire_at(
                assigned.original_site, call, service, avoid, call.deadline
            )
        if time.monotonic() - admitted_at <= MAX_MOVE_DELAY_S:
            return permit
        self._permits.release(permit, Release.UNUSED, 0.0)
        if assigned.original_site is None:
            raise NotRun(ErrorKind.OVERLOADED, "the permit of a moved request came too late")
        return await self._acquire_at(assigned.original_site, call, service, avoid, call.deadline)

    async def _acquire_at(
        self,
        site: str,
        call: Call,
        service: Service,
        avoid: frozenset[str],
        deadline: Deadline,
    ) -> Permit:
        request_class = service.find_route(call.path).request_class
        half = call.deadline.halve(time.monotonic())
        limit = Deadline(min(deadline.expires_at, half.expires_at))
        return await self._permits.acquire(service.name, site, request_class, limit, avoid)
