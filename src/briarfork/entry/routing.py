"""Selects the site of a request and acquires a permit there."""

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
# Errors of one site after which the request may succeed at another one.
FAILOVER_ERRORS = frozenset({ErrorKind.OVERLOADED, ErrorKind.NO_SERVER})


class Router:
    """Routes requests to sites.

    The assigned site comes first, then other sites within this VM's share of their headroom. A
    request that no site accepts is refused as not run.
    """

    def __init__(self, view: EntryView, permits: PermitClient, metrics: Metrics) -> None:
        self._view = view
        self._permits = permits
        self._metrics = metrics
        self._failover = Failover(view, permits)
        self._lookup_recoveries: dict[tuple[str, str], Recovery] = {}
        self._request_recoveries: dict[tuple[str, str], Recovery] = {}

    def accept_load(self, loads: Iterable[Load]) -> None:
        """Updates the headroom of sites from the loads that owners of slots have reported."""
        self._failover.accept_load(loads)

    def find_lookup_site(self, service: str, client: str) -> str:
        """Returns the site that a lookup returns to a client.

        Raises:
            NotRun: If the service is unknown or the client is not an address.
        """
        site = self._view.require_steering().assign(service, client, time.time())
        recovery = self._lookup_recoveries.setdefault((service, site), Recovery())
        if self._is_lost(service, site):
            recovery.record_failure(time.monotonic())
        else:
            recovery.record_success(time.monotonic())
            # The hash returns the same client groups first at every lookup, so that no client
            # switches back and forth.
            if (
                recovery.traffic_ratio == 1.0
                or hash_unit(f"{find_group(client)}") <= recovery.traffic_ratio
            ):
                return site
        return self._failover.choose_for_lookup(service, site, client) or site

    async def acquire(self, call: Call, service: Service, avoid: frozenset[str]) -> Permit:
        """Returns a permit for one attempt.

        Args:
            call: The request.
            service: The service of the request.
            avoid: Backend servers that earlier attempts of the request have used.

        Raises:
            NotRun: If no site accepts the request.
        """
        client = call.request.remote or UNKNOWN_CLIENT
        assigned, admitted = self._assign(service, client)
        refusal: NotRun | None = None
        if admitted:
            try:
                permit = await self._acquire_assigned(call, service, avoid, assigned)
            except NotRun as error:
                if error.kind not in FAILOVER_ERRORS:
                    raise
                refusal = error
                self._record_refusal(error, service.name, assigned.site)
            else:
                if permit.site == assigned.site:
                    recovery = self._find_recovery(service.name, assigned.site)
                    recovery.record_success(time.monotonic())
                return permit
        failover_permit = await self._failover.acquire(call, service, client, avoid, assigned.site)
        if failover_permit is not None:
            self._metrics.count(Metric.OVERFLOWS, service.name)
            return failover_permit
        if refusal is None and not self._is_lost(service.name, assigned.site):
            return await self._acquire_assigned(call, service, avoid, assigned)
        reason = refusal.detail if refusal else f"site {assigned.site!r} is unavailable"
        raise NotRun(ErrorKind.OVERLOADED, f"{reason}; no other site has headroom")

    def _assign(self, service: Service, client: str) -> tuple[SiteDecision, bool]:
        """Returns the assigned site, and whether the recovery after a loss admits the request."""
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
        return self._request_recoveries.setdefault((service, site), Recovery())

    def _record_refusal(self, error: NotRun, service: str, site: str) -> None:
        if isinstance(error, SiteUnreachable) or self._is_lost(service, site):
            self._find_recovery(service, site).record_failure(time.monotonic())

    def _is_lost(self, service: str, site: str) -> bool:
        """Returns whether a site has no backend server, or no entry VM that can own its slots."""
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
        """Acquires a permit at the receiving site at once, or else at the site before the shift.

        A moved request that waits longer could start together with requests that the cap admits
        later, so that the receiving site would get more than the cap within one second.
        """
        admitted_at = time.monotonic()
        move_deadline = Deadline(min(call.deadline.expires_at, admitted_at + MAX_MOVE_DELAY_S))
        try:
            permit = await self._acquire_at(assigned.site, call, service, avoid, move_deadline)
        except NotRun as refusal:
            if assigned.original_site is None:
                raise refusal
            self._record_refusal(refusal, service.name, assigned.site)
            return await self._acquire_at(
                assigned.original_site, call, service, avoid, call.deadline
            )
        if time.monotonic() - admitted_at <= MAX_MOVE_DELAY_S:
            return permit
        self._permits.release(permit, Release.UNUSED, 0.0)
        if assigned.original_site is None:
            raise NotRun(
                ErrorKind.OVERLOADED, "the receiving site of a shift granted no permit in time"
            )
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
        wait_deadline = Deadline(min(deadline.expires_at, half.expires_at))
        return await self._permits.acquire(service.name, site, request_class, wait_deadline, avoid)
