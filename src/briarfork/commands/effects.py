"""Effects of a change on the traffic: shares before and after, ramps and caps."""

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

# Stands for the clients of all regions without weights of their own.
DEFAULT_REGION = ""
# Smaller differences are rounding errors.
MIN_SHARE_DIFFERENCE = 1e-9

# Shares at the start of a change, by service and client region, for ramps that are in progress.
CurrentShares = dict[str, dict[str, "Shares"]]


@dataclass(frozen=True, slots=True)
class Effect:
    """Effect of a change on one service for the clients of one region.

    Attributes:
        service: Name of the service.
        region: Region of the clients; "" stands for all regions without weights of their own.
        before: Share of each site before the change, without drained sites.
        after: Share of each site when the ramp is complete, without drained sites.
        moved: Share of the requests that move to another site.
        ramp_s: Duration of the ramp at the configured slope, in seconds.
        cap_rps: Maximum requests per second that may move to one receiving site.
        full_rate_rps: Request rate of the service, in requests per second, above which the moved
            requests can exceed the cap; the excess stays at the old site. None if no site gains
            traffic.
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
        """Returns the fields as a dictionary for JSON output."""
        return asdict(self)


def compute_effects(
    before: Plan | None, after: Plan, current_shares: CurrentShares
) -> list[Effect]:
    """Returns the effects of a change, one for each service and region whose shares change.

    Args:
        before: Plan before the change, or None if no configuration exists yet.
        after: Plan after the change.
        current_shares: Shares at the start of the change; during a ramp they differ from the plan.
    """
    effects = []
    old_services = before.services if before else {}
    for name, service in {**old_services, **after.services}.items():
        known = old_services.get(name)
        regions = {*service.regional_spread, *(known.regional_spread if known else ())}
        for region in (DEFAULT_REGION, *sorted(regions)):
            origin = current_shares.get(name, {}).get(region)
            if known is not None and origin is None:
                origin = _get_shares(known, region)
            effect = _compute_effect(service, region, origin or {}, before, after)
            if effect is not None:
                effects.append(effect)
    return effects


def format_effects(effects: list[Effect], rates: Mapping[str, float]) -> list[str]:
    """Returns the effects as lines of text.

    Args:
        effects: Effects to format.
        rates: Requests per second by service, for the services given by the operator.
    """
    lines = []
    for effect in effects:
        clients = f"clients of {effect.region}" if effect.region else "other clients"
        lines.append(f"{effect.service}, {clients}: {effect.moved:.0%} of the requests move")
        for site in sorted(effect.before.keys() | effect.after.keys()):
            old, new = effect.before.get(site, 0.0), effect.after.get(site, 0.0)
            if abs(old - new) > MIN_SHARE_DIFFERENCE:
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


def _compute_effect(
    service: Service, region: str, origin: Shares, before: Plan | None, after: Plan
) -> Effect | None:
    target = _get_shares(service, region) if service.name in after.services else {}
    old = _exclude_drained(origin, before) if before else {}
    new = _exclude_drained(target, after)
    sites = old.keys() | new.keys()
    # Requests whose last site is removed also count as moved.
    change = sum(abs(new.get(site, 0.0) - old.get(site, 0.0)) for site in sites)
    moved = change / 2 if old and new else change
    if moved <= MIN_SHARE_DIFFERENCE:
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
        full_rate_rps=service.shift.cap_rps / gain if gain > MIN_SHARE_DIFFERENCE else None,
    )


def _get_shares(service: Service, region: str) -> Shares:
    return normalize(service.regional_spread.get(region, service.spread))


def _is_drained(plan: Plan, site: str) -> bool:
    known = plan.sites.get(site)
    return known is None or known.drain


def _exclude_drained(shares: Shares, plan: Plan) -> Shares:
    kept = {site: share for site, share in shares.items() if not _is_drained(plan, site)}
    return normalize(kept) if sum(kept.values()) > 0 else {}
