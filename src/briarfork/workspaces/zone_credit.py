"""The credit that the owner of a zone has fetched ahead for the requests of its zone."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.workspaces.credit_pool import CreditReport

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarfork.workspaces.credit_pool import CreditSupply
    from briarfork.workspaces.workspace import Workspace

# Credit is fetched ahead for this time: two round trips to another region.
PREFETCH_S = 0.25
# Standard deviations of the requests in that time for which credit is fetched ahead as well.
# Requests come at random, so with the mean alone every second workspace ran short.
PREFETCH_DEVIATIONS = 2.0
# A further request within one round trip is admitted in advance.
MIN_PREFETCH = 1
# Requests of the last second up to which a workspace has no credit fetched ahead in a near zone.
NEAR_DEMAND = 5.0
# After this time without a request, a workspace's credit is returned.
SEEN_S = 5.0
# Part of the burst that is fetched ahead at least, for demand that rises within a round trip.
PREFETCH_BURST_FRACTION = 0.04
# Time constant of the means of requests, grants and refusals.
MEAN_S = 1.0
# Time constant of the demand after a rise.
RISE_S = 0.25
# Bounds of the wait that a refused caller is told.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 2.0
# An owner of the fleet whose credit is used up is not asked again sooner than after this time, a
# round trip to another region, so that near zones do not ask more often than distant ones.
ASK_PAUSE_S = 0.11
# A quota counts as used up for this time after the owner of the fleet said so.
USED_UP_S = 0.5
# Bounds the size of one message.
MAX_REPORTS = 500


@dataclass(slots=True)
class _Stock:
    """The credit of one workspace.

    Attributes:
        least: Least credit to hold.
        level: Credit, negative if requests were admitted against the next grant.
        short_at: Time at which the owner of the fleet last had too little credit.
    """

    least: int
    level: int = 0
    used: int = 0
    returned: int = 0
    demand: float = 0.0
    recent_demand: float = 0.0
    admitted: float = 0.0
    refused: float = 0.0
    updated_at: float = -math.inf
    seen_at: float = -math.inf
    short_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Lets the means fade to the present."""
        elapsed_s = now - self.updated_at
        factor = math.exp(-elapsed_s / MEAN_S)
        self.demand *= factor
        self.recent_demand *= math.exp(-elapsed_s / RISE_S)
        self.admitted *= factor
        self.refused *= factor
        self.updated_at = now

    def compute_target(self, now: float, is_near: bool) -> int:
        """Returns the credit to hold."""
        if now - self.seen_at > SEEN_S:
            return 0
        if is_near and self.demand < NEAR_DEMAND:
            return 0
        demand_per_s = max(self.demand / MEAN_S, self.recent_demand / RISE_S)
        expected = demand_per_s * PREFETCH_S
        return max(self.least, math.ceil(expected + PREFETCH_DEVIATIONS * math.sqrt(expected)))


class ZoneCredit:
    """Admits the requests of a zone with credit of the fleet's owner.

    Handles many small workspaces whose requests are spread over all VMs of the zone, and a
    workspace whose demand multiplies: what is fetched ahead follows the demand of the last second.

    Attributes:
        limits: The workspaces that have a quota.
        is_near: Whether credit of the fleet's owner arrives while a request waits.
        valid_until: Time from which on the owner of the fleet may no longer know of this credit.
    """

    def __init__(self) -> None:
        self.valid_until = -math.inf
        self.limits: Mapping[str, Workspace] = {}
        self.is_near = False
        self._stocks: dict[str, _Stock] = {}

    def set_limits(self, limits: Mapping[str, Workspace]) -> None:
        """Replaces the workspaces that have a quota, and forgets those that have none any more."""
        self.limits = limits
        for name in [name for name in self._stocks if name not in limits]:
            del self._stocks[name]

    def take(self, workspace: str, count: int, now: float, advance: int = 0) -> int:
        """Takes credit for requests and returns for how many there was some.

        Args:
            workspace: Name of the workspace.
            count: Number of requests.
            now: Time in seconds.
            advance: Number of requests that may be admitted against the next grant, so that they
                do not wait for another region.
        """
        self._drop_invalid(now)
        stock = self._open_stock(workspace)
        stock.decay(now)
        stock.seen_at = now
        stock.demand += count
        stock.recent_demand += count
        return self._use(stock, count, advance)

    def retake(self, workspace: str, count: int, now: float, advance: int = 0) -> int:
        """Takes credit for requests that have waited, which count as demand already."""
        self._drop_invalid(now)
        stock = self._stocks.get(workspace)
        if stock is None:
            return 0
        return self._use(stock, count, advance)

    @staticmethod
    def _use(stock: _Stock, count: int, advance: int) -> int:
        paid = min(count, max(0, stock.level))
        # What is admitted in advance is reported as used when a grant has paid for it.
        granted = min(count, max(paid, stock.level + advance))
        stock.level -= granted
        stock.used += paid
        stock.admitted += granted
        return granted

    def give_back(self, workspace: str, count: int) -> None:
        """Puts back credit of requests that no server has run."""
        stock = self._stocks.get(workspace)
        if stock is None or not count:
            return
        unreported = min(count, stock.used)
        stock.used -= unreported
        stock.level += unreported
        stock.returned += count - unreported

    def refuse(self, workspace: str, count: int, now: float) -> float:
        """Counts refused requests and returns the wait to tell their callers, 0 if unknown.

        The wait is the time that the refused requests of the last second would take at the present
        rate of admissions.
        """
        stock = self._open_stock(workspace)
        stock.decay(now)
        stock.refused += count
        if not self.is_used_up(workspace, now):
            return 0.0
        wait_s = MEAN_S * stock.refused / max(1.0, stock.admitted)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def is_used_up(self, workspace: str, now: float) -> bool:
        """Returns whether the owner of the fleet had too little credit lately."""
        stock = self._stocks.get(workspace)
        return stock is not None and self._is_short(stock, now)

    @staticmethod
    def _is_short(stock: _Stock, now: float) -> bool:
        return now - stock.short_at < USED_UP_S

    def needs_credit(self, workspace: str, now: float) -> bool:
        """Returns whether the owner of the fleet should be asked at once."""
        stock = self._stocks.get(workspace)
        if stock is None or now - stock.short_at < ASK_PAUSE_S:
            return False
        return stock.level < stock.compute_target(now, self.is_near)

    def build_reports(self, now: float) -> list[CreditReport]:
        """Returns what to tell the owner of the fleet; each use is reported once."""
        self._drop_invalid(now)
        reports: list[CreditReport] = []
        for workspace, stock in list(self._stocks.items()):
            if len(reports) >= MAX_REPORTS:
                break
            stock.decay(now)
            target = stock.compute_target(now, self.is_near)
            surplus = stock.level if not target else max(0, stock.level - 2 * target)
            if surplus > 0:
                stock.level -= surplus
                stock.returned += surplus
            wanted = max(0, target - stock.level) if now - stock.short_at >= ASK_PAUSE_S else 0
            if wanted or stock.used or stock.returned:
                reports.append(CreditReport(workspace, wanted, stock.used, stock.returned))
                stock.used = stock.returned = 0
                # The last in order, so that workspaces beyond one message come with the next.
                self._stocks[workspace] = self._stocks.pop(workspace)
            elif not target and not stock.level and now - stock.seen_at > SEEN_S:
                # Until then, it holds what was admitted in advance and that the quota is used up.
                del self._stocks[workspace]
        return reports

    def receive(self, supplies: Iterable[CreditSupply], valid_until: float, now: float) -> None:
        """Adds granted credit."""
        self._drop_invalid(now)
        self.valid_until = max(self.valid_until, valid_until)
        for supply in supplies:
            stock = self._open_stock(supply.workspace)
            stock.used += min(supply.granted, max(0, -stock.level))
            stock.level += supply.granted
            if supply.wait_s > 0.0:
                stock.short_at = now
            elif supply.granted:
                stock.short_at = -math.inf

    def _open_stock(self, name: str) -> _Stock:
        stock = self._stocks.get(name)
        if stock is None:
            workspace = self.limits.get(name)
            burst = workspace.burst if workspace is not None else 0.0
            least = max(MIN_PREFETCH, int(PREFETCH_BURST_FRACTION * burst))
            stock = self._stocks[name] = _Stock(least)
        return stock

    def _drop_invalid(self, now: float) -> None:
        """Drops credit that was fetched before a pause or a partition; it counts as used."""
        if now <= self.valid_until:
            return
        for stock in self._stocks.values():
            if stock.level > 0:
                stock.used += stock.level
                stock.level = 0
