"""Steering of clients: from a client address to a site, and to entry VMs for a look-up."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.hashing import hash_text
from briarfork.steering.blocks import BlockTable
from briarfork.steering.shift import Ramp
from briarfork.steering.shift import ShiftCap

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from briarfork.configuration import Plan
    from briarfork.steering.history import RampKey
    from briarfork.steering.shift import Shares

HASH_RANGE = 2.0**64
# Neighbouring clients share a point, so a shift moves whole groups and look-ups stay cacheable.
CLIENT_GROUPS = 4096


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry VM as a look-up answers it."""

    vm: str
    address: str
    port: int
    zone: str


def hash_unit(text: str) -> float:
    """Returns a hash of the text, uniform in (0, 1)."""
    return (hash_text(text) + 0.5) / HASH_RANGE


def choose_site(shares: Shares, key: str) -> str:
    """Chooses a site by weighted rendezvous hashing.

    When shares change, a key moves only from a site whose share fell to one whose share rose.

    Example:
        >>> choose_site({"a": 0.0, "b": 1.0}, "10.0.0.0")
        'b'
    """
    return min(
        (site for site, share in shares.items() if share > 0),
        key=lambda site: -math.log(hash_unit(f"{site}|{key}")) / shares[site],
    )


def _name_group(service: str, client: str) -> str:
    return f"{service}|{hash_text(client) % CLIENT_GROUPS}"


class Steering:
    """Assigns clients to sites under one plan and its ramps.

    A new instance is built when the plan changes; the caps of shifts that go on are carried over.
    """

    def __init__(self, plan: Plan, ramps: Mapping[RampKey, Ramp], now: float) -> None:
        self.plan = plan
        self._ramps = dict(ramps)
        self._blocks = BlockTable(plan.client_blocks)
        self._caps: dict[tuple[str, str, float], ShiftCap] = {}
        self._started_at = now

    def inherit(self, previous: Steering) -> None:
        """Takes over the caps of the steering that this one replaces."""
        self._caps = previous._caps
        self._started_at = previous._started_at

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
        """Returns the shares of a service's sites for clients of a region, without drained sites.

        Raises:
            NotRun: If the service is unknown or all its sites are drained.
        """
        return self._drop_drained(self._find_ramp(service, region).find_shares(now))

    def assign(self, service: str, client: str, now: float) -> str:
        """Returns the site to which a client's lookups are directed."""
        shares = self.find_shares(service, self.find_region(client), now)
        return choose_site(shares, _name_group(service, client))

    def assign_request(self, service: str, client: str, wall_now: float, now: float) -> str:
        """Returns the site for one request, with the cap of a shift applied.

        A request that the shift moves goes to the receiving site only within the cap; else it
        stays at the site that it had before the shift.

        Args:
            service: Name of the service.
            client: Address of the client.
            wall_now: Time of day, on which the timeline is scheduled.
            now: Monotonic time, on which the cap is counted.
        """
        ramp = self._find_ramp(service, self.find_region(client))
        group = _name_group(service, client)
        site = choose_site(self._drop_drained(ramp.find_shares(wall_now)), group)
        if ramp.origin == ramp.target:
            return site
        previous = choose_site(ramp.origin, group)
        if site == previous:
            return site
        return site if self._find_cap(service, site, ramp).admit(now) else previous

    def find_siblings(self, service: str, site: str, wall_now: float) -> list[str]:
        """Returns the other sites of the region that may take a request assigned to a site.

        There are none after a shift: its cap bounds the requests that leave their earlier site,
        and a request that overflows would count as moved.
        """
        region = self.plan.find_region(self.plan.sites[site].zone)
        ramp = self._find_ramp(service, region)
        if ramp.origin != ramp.target:
            return []
        return [
            other
            for other, share in ramp.find_shares(wall_now).items()
            if share > 0
            and other != site
            and not self._is_drained(other)
            and self.plan.find_region(self.plan.sites[other].zone) == region
        ]

    def order_entries(self, site: str, entries: Sequence[EntryAddress], client: str) -> list[str]:
        """Returns names of entry VMs, the best first.

        VMs in the site's zone come first, then those of its region, then all others. Within each
        class the order differs by client, which spreads clients over the VMs.
        """
        zone = self.plan.sites[site].zone
        region = self.plan.find_region(zone)

        def rank(entry: EntryAddress) -> tuple[int, float]:
            if entry.zone == zone:
                distance = 0
            else:
                distance = 1 if self.plan.find_region(entry.zone) == region else 2
            return distance, hash_unit(f"{entry.vm}|{client}")

        return [entry.vm for entry in sorted(entries, key=rank)]

    def _find_ramp(self, service: str, region: str | None) -> Ramp:
        ramp = self._ramps.get((service, region)) or self._ramps.get((service, None))
        if ramp is None:
            raise NotRun(ErrorKind.UNKNOWN_SERVICE, f"service {service!r} is not configured")
        return ramp

    def _drop_drained(self, shares: Shares) -> Shares:
        kept = {site: share for site, share in shares.items() if not self._is_drained(site)}
        if not any(share > 0 for share in kept.values()):
            raise NotRun(ErrorKind.NO_SERVER, "every site of the service is drained")
        return kept

    def _is_drained(self, site: str) -> bool:
        known = self.plan.sites.get(site)
        return known is None or known.drain

    def _find_cap(self, service: str, site: str, ramp: Ramp) -> ShiftCap:
        key = (service, site, ramp.start_at)
        cap = self._caps.get(key)
        if cap is None:
            cap = ShiftCap(ramp.limits.cap_rps, self.plan.entry_vms, self._started_at)
            self._caps[key] = cap
        return cap
