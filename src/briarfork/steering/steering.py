"""Steering of clients: from a client address to a site, and to entry VMs for a look-up."""

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
class Assigned:
    """The site for one request.

    Attributes:
        site: Where it goes.
        moved: Whether a shift moved it there, so that it has to start within `MOVE_DELAY_S`.
        home: Where it belonged before the shifts, or None if that site is gone.
        held_back: Whether a cap kept it from the site to which a shift would move it.
    """

    site: str
    moved: bool = False
    home: str | None = None
    held_back: bool = False


class Steering:
    """Assigns clients to sites under one plan and its shifts.

    A new instance is built when the plan changes. Caps, assignments and the table of blocks are
    carried over as far as they are unchanged.
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
            before = previous._shifts.get(key) if previous else None
            known = previous._assignments[key] if previous and before else []
            self._assignments[key] = _build_assignments(key[0], shift, before, known)

    def find_region(self, address: str) -> str | None:
        """Returns the region of a client address.

        Raises:
            NotRun: If the text is not an address.
        """
        try:
            return self._blocks.find_region(address)
        except ValueError as error:
            raise NotRun(
                ErrorKind.BAD_REQUEST, f"client: expected an IP address, found {address!r}"
            ) from error

    def find_shares(self, service: str, region: str | None, now: float) -> Shares:
        """Returns the shares of a service's sites for clients of a region.

        Raises:
            NotRun: If the service is unknown.
        """
        return self._shifts[self._find_key(service, region)].find_shares(now)

    def assign(self, service: str, client: str, now: float) -> str:
        """Returns the site to which a client's lookups are directed."""
        key = self._find_key(service, self.find_region(client))
        progress = self._shifts[key].current.find_progress(now)
        return self._assignments[key][-1].find_site(find_group(client), progress)

    def assign_request(self, service: str, client: str, wall_now: float, now: float) -> Assigned:
        """Returns the site for one request, with the cap of shifts applied.

        The request follows the unsettled shifts in order. Each that would move it needs the cap
        of the receiving site; without it the request stays where the shift found it.

        Args:
            service: Name of the service.
            client: Address of the client.
            wall_now: Time of day, on which the timeline is scheduled.
            now: Monotonic time, on which the cap is counted.

        Raises:
            NotRun: If the service is unknown, or the request's former site is gone and no cap
                admits it elsewhere.
        """
        key = self._find_key(service, self.find_region(client))
        group = find_group(client)
        shift = self._shifts[key]
        progress = shift.current.find_progress(wall_now)
        current = self._assignments[key][-1].find_site(group, progress)
        if not shift.list_origins(wall_now):
            return Assigned(current)
        stages = [item.find_site(group, 0.0) for item in self._assignments[key]]
        home = self._keep_known(stages[0])
        site, spent = home, None
        for stage in (*stages[1:], current):
            if stage == site or self._keep_known(stage) is None:
                continue
            cap = self._find_cap(service, stage)
            if self._admit(service, cap, now):
                if spent is not None:
                    spent.take_back()
                site, spent = stage, cap
        if site is None:
            raise NotRun(
                ErrorKind.OVERLOADED,
                f"the former site {stages[0]!r} is gone and the cap of the shift is spent",
            )
        return Assigned(site, spent is not None, home, site != current)

    def find_siblings(self, service: str, site: str, wall_now: float) -> list[str]:
        """Returns the other sites of the region that may take a request assigned to a site.

        There are none after a shift: its cap bounds the requests that leave their earlier site,
        and a request that overflows would count as moved.
        """
        region = self.plan.find_region(self.plan.sites[site].zone)
        shift = self._shifts[self._find_key(service, region)]
        if shift.list_origins(wall_now):
            return []
        return [
            other
            for other, share in shift.find_shares(wall_now).items()
            if share > 0
            and other != site
            and self.plan.find_region(self.plan.sites[other].zone) == region
        ]

    def admit_overflow(
        self, service: str, client: str, site: str, wall_now: float, now: float
    ) -> bool:
        """Returns whether a request may go to a site because its own cannot take it.

        A site to which a shift moves traffic takes all additional requests under one cap: its
        caches are as cold for these as for those of the shift.
        """
        key = self._find_key(service, self.find_region(client))
        if not self._gains(key, site, wall_now):
            return True
        return self._admit(service, self._find_cap(service, site), now)

    def is_receiving(self, service: str, site: str, wall_now: float) -> bool:
        """Returns whether an open shift of the service moves requests to a site."""
        keys = [key for key in self._shifts if key[0] == service]
        return any(self._gains(key, site, wall_now) for key in keys)

    def _gains(self, key: ShiftKey, site: str, wall_now: float) -> bool:
        shift = self._shifts[key]
        if not shift.list_origins(wall_now):
            return False
        before = shift.ramps[0].origin.get(site, 0.0)
        return shift.find_shares(wall_now).get(site, 0.0) > before

    def _find_key(self, service: str, region: str | None) -> ShiftKey:
        for key in ((service, region), (service, None)):
            if key in self._shifts:
                return key
        raise NotRun(ErrorKind.UNKNOWN_SERVICE, f"service {service!r} is not configured")

    def _keep_known(self, site: str) -> str | None:
        return site if site in self.plan.sites else None

    def _find_cap(self, service: str, site: str) -> ShiftCap:
        cap = self._caps.get((service, site))
        if cap is None:
            cap = self._caps[service, site] = ShiftCap(self._started_at)
        return cap

    def _admit(self, service: str, cap: ShiftCap, now: float) -> bool:
        limits = self.plan.services[service].shift
        return cap.admit(limits.cap_rps, self.plan.entry_vms, now)


def _build_assignments(
    service: str, shift: Shift, before: Shift | None, known: Sequence[Assignment]
) -> list[Assignment]:
    """Returns one assignment for each ramp; only the last one moves.

    Args:
        service: Name of the service.
        shift: The shift in force.
        before: The shift that it replaces.
        known: The assignments of that shift, whose winners are used as far as they apply.
    """
    wanted = [(ramp.origin, ramp.origin) for ramp in shift.ramps[:-1]]
    wanted.append((shift.current.origin, shift.current.target))
    built = []
    for origin, target in wanted:
        same = next((a for a in known if a.origin == origin and a.target == target), None)
        built.append(
            same or Assignment(service, origin, target, _find_winners(origin, shift, before, known))
        )
    return built


def _find_winners(
    origin: Shares, shift: Shift, before: Shift | None, known: Sequence[Assignment]
) -> dict[int, str]:
    """Returns the winners under some shares, as far as earlier assignments know them."""
    for assignment in known:
        if assignment.origin == origin:
            return assignment.list_winners(0.0)
    start_at = shift.current.start_at
    if before is not None and before.find_shares(start_at) == origin:
        return known[-1].list_winners(before.current.find_progress(start_at))
    return {}
