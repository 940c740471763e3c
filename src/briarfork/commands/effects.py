"""What a change does to the traffic: shares before and after, ramps and caps."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from briarfork.steering.shift import Ramp
from briarfork.steering.shift import normalize

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.configuration import Plan
    from briarfork.configuration import Service
    from briarfork.steering.shift import Shares

OTHER_CLIENTS = ""
# Differences below this are rounding.
SMALLEST_SHARE = 1e-9

# Shares at the start of a change, by service and client region, where a ramp is in progress.
SharesInForce = dict[str, dict[str, "Shares"]]


@dataclass(frozen=True, slots=True)
class Effect:
    """What a change does to one service for the clients of one region.

    Attributes:
        service: Name of the service.
        region: Region of the clients, "" for clients of regions without weights of their own.
        before: Share of each site before the change, without drained sites.
        after: Share of each site when the change is complete.
        moved: Share of the requests that moves to another site.
        ramp_s: Duration of the ramp at the scheduled slope, in seconds.
        cap_rps: Requests a second that may move to one receiving site.
        full_rate_rps: Rate of the service above which the moved requests can exceed the cap; the
            rest stays at the old site. None if nothing moves under the cap.
    """

    service: str
    region: str
    before: Shares
    after: Shares
    moved: float
    ramp_s: float
    cap_rps: float
    full_rate_rps: float | None

    def to_record(self) -> dict[str, Any]:
        """Returns the fields as a plain map."""
        return asdict(self)


def find_effects(before: Plan | None, after: Plan, in_force: SharesInForce) -> list[Effect]:
    """Returns the effects of a change, one for each service and region whose shares move.

    Args:
        before: Plan before the change, or None if there is none.
        after: Plan with the change.
        in_force: Shares at the start of the change, which differ from the plan during a ramp.
    """
    effects = []
    old_services = before.services if before else {}
    for name, service in {**old_services, **after.services}.items():
        known = old_services.get(name)
        regions = {*service.regional_spread, *(known.regional_spread if known else ())}
        for region in (OTHER_CLIENTS, *sorted(regions)):
            origin = in_force.get(name, {}).get(region)
            if known is not None and origin is None:
                origin = _find_shares(known, region)
            effect = _find_effect(service, region, origin or {}, before, after)
            if effect is not None:
                effects.append(effect)
    return effects


def format_effects(effects: list[Effect], rates: Mapping[str, float]) -> list[str]:
    """Returns the effects for people.

    Args:
        effects: What to show.
        rates: Requests a second of services, where the operator stated them.
    """
    lines = []
    for effect in effects:
        clients = f"clients of {effect.region}" if effect.region else "other clients"
        lines.append(f"{effect.service}, {clients}: {effect.moved:.0%} of the requests move")
        for site in sorted(effect.before.keys() | effect.after.keys()):
            old, new = effect.before.get(site, 0.0), effect.after.get(site, 0.0)
            if abs(old - new) > SMALLEST_SHARE:
                lines.append(f"  {site}: {old:.1%} -> {new:.1%}")
        if not effect.after:
            lines.append("  no site is left: every request is refused")
        elif not effect.before:
            lines.append("  new service: no ramp and no cap")
        if effect.before and effect.after and effect.ramp_s:
            lines.append(f"  ramp: {effect.ramp_s:.0f} s")
        lines += _format_cap(effect, rates.get(effect.service))
    return lines


def _format_cap(effect: Effect, rate: float | None) -> list[str]:
    if effect.full_rate_rps is None:
        return []
    cap = f"  cap: {effect.cap_rps:g} requests/s to one site"
    if rate is None:
        return [f"{cap}; the shift can exceed it above {effect.full_rate_rps:.0f} requests/s"]
    if rate <= effect.full_rate_rps:
        return [f"{cap}; not reached at {rate:g} requests/s"]
    return [f"{cap}; exceeded at {rate:g} requests/s, the rest stays at the old site"]


def _find_effect(
    service: Service, region: str, origin: Shares, before: Plan | None, after: Plan
) -> Effect | None:
    target = _find_shares(service, region) if service.name in after.services else {}
    old = _drop_drained(origin, before) if before else {}
    new = _drop_drained(target, after)
    sites = old.keys() | new.keys()
    # Requests that find no site any more count as moved.
    change = sum(abs(new.get(site, 0.0) - old.get(site, 0.0)) for site in sites)
    moved = change / 2 if old and new else change
    if moved <= SMALLEST_SHARE:
        return None
    ramp = Ramp(0.0, old or new, new or old, service.shift)
    gain = max((new[site] - ramp.origin.get(site, 0.0) for site in new), default=0.0)
    return Effect(
        service=service.name,
        region=region,
        before=old,
        after=new,
        moved=moved,
        ramp_s=ramp.duration_s,
        cap_rps=service.shift.cap_rps,
        full_rate_rps=service.shift.cap_rps / gain if gain > SMALLEST_SHARE else None,
    )


def _find_shares(service: Service, region: str) -> Shares:
    return normalize(service.regional_spread.get(region, service.spread))


def _is_drained(plan: Plan, site: str) -> bool:
    known = plan.sites.get(site)
    return known is None or known.drain


def _drop_drained(shares: Shares, plan: Plan) -> Shares:
    kept = {site: share for site, share in shares.items() if not _is_drained(plan, site)}
    return normalize(kept) if sum(kept.values()) > 0 else {}
