"""Traffic steering: the site that serves a client under the current plan."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.steering.assignment import Assignment
from briarfork.steering.assignment import find_group
from briarfork.steering.blocks import BlockTable
from briarfork.steering.shift import ShiftCap

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarfork.configuration import Plan
    from briarfork.steering.history import ShiftKey
    from briarfork.steering.shift import Shares
    from briarfork.steering.shift import Shift


@dataclass(frozen=True, slots=True)
class SiteDecision:
    """The site chosen for one request.

    Attributes:
        site: Name of the chosen site.
        moved: Whether a shift moved the request there; it must then start within
            `MAX_MOVE_DELAY_S`.
        original_site: Site assigned before the unsettled shifts, or None if it was removed.
        capped: Whether a shift cap kept the request from the site that it is assigned to.
    """

    site: str
    moved: bool = False
    original_site: str | None = None
    capped: bool = False


class Steering:
    """Assigns clients to sites under one plan and its shifts.

    A new instance is built whenever the plan changes. It reuses the caps of the previous instance,
    and its block table and assignments where their inputs are unchanged.
    """

    def __init__(
        self,
        plan: Plan,
        shifts: Mapping[ShiftKey, Shift],
        now: float,
        previous: Steering | None = None,
    ) -> None:
        self.plan = plan
        self._shifts = dict(shifts)
        self._started_at: float = previous._started_at if previous else now
        self._caps: dict[tuple[str, str], ShiftCap] = previous._caps if previous else {}
        if previous is not None and plan.client_blocks.is_same(previous.plan.client_blocks):
            blocks = previous._blocks
        else:
            blocks = BlockTable(plan.client_blocks)
        self._blocks: BlockTable = blocks
        self._assignments: dict[ShiftKey, list[Assignment]] = {}
        for key, shift in self._shifts.items():
            previous_shift = previous._shifts.get(key) if previous else None
            previous_assignments = previous._assignments[key] if previous and previous_shift else []
            self._assignments[key] = _build_assignments(
                key[0], shift, previous_shift, previous_assignments
            )

    def find_region(self, address: str) -> str | None:
        """Returns the region of a client address, or None if no client block contains it.

        Raises:
            NotRun: If `address` is not an IP address.
        """
        try:
            return self._blocks.find_region(address)
        except ValueError as error:
            raise NotRun(
                ErrorKind.BAD_REQUEST, f"client: expected an IP address, found {address!r}"
            ) from error

    def compute_shares(self, service: str, region: str | None, now: float) -> Shares:
        """Returns the traffic share of each site of a service, for the clients of a region.

        Raises:
            NotRun: If the service is not configured.
        """
        return self._shifts[self._resolve_shift_key(service, region)].compute_shares(now)

    def assign(self, service: str, client: str, now: float) -> str:
        """Returns the site that lookups of a client resolve to, without regard to shift caps."""
        key = self._resolve_shift_key(service, self.find_region(client))
        progress = self._shifts[key].current.compute_progress(now)
        return self._assignments[key][-1].find_site(find_group(client), progress)

    def assign_request(
        self, service: str, client: str, wall_now: float, now: float
    ) -> SiteDecision:
        """Returns the site for one request, subject to the shift caps.

        The unsettled shifts are applied in order. A shift moves the request only if the cap of
        the receiving site admits it; otherwise the request stays at its site before that shift.

        Args:
            service: Name of the service.
            client: IP address of the client.
            wall_now: Wall-clock time in seconds since the epoch, for scheduled changes.
            now: Monotonic time in seconds, for the caps.

        Raises:
            NotRun: If the service is not configured, or if the original site was removed and no
                cap admits the request to another site.
        """
        key = self._resolve_shift_key(service, self.find_region(client))
        group = find_group(client)
        shift = self._shifts[key]
        progress = shift.current.compute_progress(wall_now)
        current = self._assignments[key][-1].find_site(group, progress)
        if not shift.list_origins(wall_now):
            return SiteDecision(current)
        candidates = [item.find_site(group, 0.0) for item in self._assignments[key]]
        original_site = self._resolve_site(candidates[0])
        site, charged_cap = original_site, None
        for candidate in (*candidates[1:], current):
            if candidate == site or self._resolve_site(candidate) is None:
                continue
            cap = self._get_cap(service, candidate)
            if self._admit(service, cap, now):
                if charged_cap is not None:
                    charged_cap.undo_last_admission()
                site, charged_cap = candidate, cap
        if site is None:
            raise NotRun(
                ErrorKind.OVERLOADED,
                f"site {candidates[0]!r} was removed and the shift cap is exhausted",
            )
        return SiteDecision(site, charged_cap is not None, original_site, site != current)

    def list_sibling_sites(self, service: str, site: str, wall_now: float) -> list[str]:
        """Returns the other sites in the region that may take a request assigned to a site.

        The list is empty while a shift is unsettled: its cap bounds all requests that leave their
        original site, and a request sent to a sibling would count as moved.
        """
        region = self.plan.find_region(self.plan.sites[site].zone)
        shift = self._shifts[self._resolve_shift_key(service, region)]
        if shift.list_origins(wall_now):
            return []
        return [
            other
            for other, share in shift.compute_shares(wall_now).items()
            if share > 0
            and other != site
            and self.plan.find_region(self.plan.sites[other].zone) == region
        ]

    def admit_overflow(
        self, service: str, client: str, site: str, wall_now: float, now: float
    ) -> bool:
        """Returns whether a request may overflow to a site, and counts it against the site's cap.

        A site that receives a shift admits overflow under the cap of the shift, because its
        caches are equally cold for both. Other sites have no cap.
        """
        key = self._resolve_shift_key(service, self.find_region(client))
        if not self._is_gaining_share(key, site, wall_now):
            return True
        return self._admit(service, self._get_cap(service, site), now)

    def is_receiving_shift(self, service: str, site: str, wall_now: float) -> bool:
        """Returns whether an unsettled shift of the service moves requests to a site."""
        keys = [key for key in self._shifts if key[0] == service]
        return any(self._is_gaining_share(key, site, wall_now) for key in keys)

    def _is_gaining_share(self, key: ShiftKey, site: str, wall_now: float) -> bool:
        """Returns whether the unsettled shifts have raised the share of a site."""
        shift = self._shifts[key]
        if not shift.list_origins(wall_now):
            return False
        original_share = shift.ramps[0].origin.get(site, 0.0)
        return shift.compute_shares(wall_now).get(site, 0.0) > original_share

    def _resolve_shift_key(self, service: str, region: str | None) -> ShiftKey:
        """Returns the key of the region's own shift, or else of the service's default shift."""
        for key in ((service, region), (service, None)):
            if key in self._shifts:
                return key
        raise NotRun(ErrorKind.UNKNOWN_SERVICE, f"service {service!r} is not configured")

    def _resolve_site(self, site: str) -> str | None:
        """Returns the name of a site, or None if the site is not in the plan."""
        return site if site in self.plan.sites else None

    def _get_cap(self, service: str, site: str) -> ShiftCap:
        cap = self._caps.get((service, site))
        if cap is None:
            cap = self._caps[service, site] = ShiftCap(self._started_at)
        return cap

    def _admit(self, service: str, cap: ShiftCap, now: float) -> bool:
        limits = self.plan.services[service].shift
        return cap.admit(limits.cap_rps, self.plan.entry_vms, now)


def _build_assignments(
    service: str,
    shift: Shift,
    previous_shift: Shift | None,
    previous_assignments: Sequence[Assignment],
) -> list[Assignment]:
    """Returns one assignment per ramp; only that of the current ramp changes over time.

    Args:
        service: Name of the service.
        shift: The shift in force.
        previous_shift: The shift that it replaces, if any.
        previous_assignments: Assignments of that shift; their results are reused where possible.
    """
    ramp_shares = [(ramp.origin, ramp.origin) for ramp in shift.ramps[:-1]]
    ramp_shares.append((shift.current.origin, shift.current.target))
    assignments = []
    for origin, target in ramp_shares:
        reusable = next(
            (a for a in previous_assignments if a.origin == origin and a.target == target), None
        )
        assignments.append(
            reusable
            or Assignment(
                service,
                origin,
                target,
                _get_known_winners(origin, shift, previous_shift, previous_assignments),
            )
        )
    return assignments


def _get_known_winners(
    origin: Shares,
    shift: Shift,
    previous_shift: Shift | None,
    previous_assignments: Sequence[Assignment],
) -> dict[int, str]:
    """Returns the winning sites by client group under `origin`, if already computed."""
    for assignment in previous_assignments:
        if assignment.origin == origin:
            return assignment.list_winners(0.0)
    start_at = shift.current.start_at
    if previous_shift is not None and previous_shift.compute_shares(start_at) == origin:
        return previous_assignments[-1].list_winners(
            previous_shift.current.compute_progress(start_at)
        )
    return {}
