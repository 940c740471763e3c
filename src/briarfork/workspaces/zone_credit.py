"""The credit that the owner of a zone has fetched ahead for the requests of its zone."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.workspaces.credit_pool import CreditReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.workspaces.credit_pool import CreditSupply

# Credit is fetched ahead for this time: two round trips to another region.
PREFETCH_S = 0.25
# Two requests may come within one round trip, also from a small workspace.
MIN_PREFETCH = 2
# After this time without a request, a workspace's credit is returned.
SEEN_S = 5.0
# Time constant of the means of requests, grants and refusals.
MEAN_S = 1.0
# Bounds of the wait that a refused caller is told.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 2.0
# An owner of the fleet that had no credit is not asked again sooner than after this time.
MAX_ASK_PAUSE_S = 0.25
# Bounds the size of one message.
MAX_REPORTS = 500


@dataclass(slots=True)
class _Stock:
    """The credit of one workspace.

    Attributes:
        level: Credit, negative if a request was admitted against the next grant.
        empty_until: Time until which the owner of the fleet has no credit.
    """

    level: int = 0
    used: int = 0
    returned: int = 0
    demand: float = 0.0
    admitted: float = 0.0
    refused: float = 0.0
    updated_at: float = -math.inf
    seen_at: float = -math.inf
    empty_until: float = -math.inf

    def decay(self, now: float) -> None:
        """Lets the means fade to the present."""
        factor = math.exp(-(now - self.updated_at) / MEAN_S) if self.updated_at > -math.inf else 0.0
        self.demand *= factor
        self.admitted *= factor
        self.refused *= factor
        self.updated_at = now

    def compute_target(self, now: float) -> int:
        """Returns the credit to hold."""
        if now - self.seen_at > SEEN_S:
            return 0
        return max(MIN_PREFETCH, math.ceil(self.demand / MEAN_S * PREFETCH_S) + 1)


class ZoneCredit:
    """Admits the requests of a zone with credit of the fleet's owner.

    Handles many small workspaces whose requests are spread over all VMs of the zone, and a
    workspace whose demand multiplies: what is fetched ahead follows the demand of the last second.

    Attributes:
        valid_until: Time from which on the owner of the fleet may no longer know of this credit.
    """

    def __init__(self) -> None:
        self.valid_until = -math.inf
        self._stocks: dict[str, _Stock] = {}

    def take(self, workspace: str, count: int, now: float, may_advance: bool = False) -> int:
        """Takes credit for requests and returns for how many there was some.

        Args:
            workspace: Name of the workspace.
            count: Number of requests.
            now: Time in seconds.
            may_advance: Whether the first request of a workspace may be admitted against the next
                grant, so that it does not wait for another region.
        """
        self._drop_invalid(now)
        stock = self._stocks.setdefault(workspace, _Stock())
        stock.decay(now)
        is_first = now - stock.seen_at > SEEN_S
        stock.seen_at = now
        stock.demand += count
        granted = min(count, max(0, stock.level))
        if not granted and may_advance and is_first and stock.level == 0:
            granted = 1
        stock.level -= granted
        stock.used += granted
        stock.admitted += granted
        return granted

    def retake(self, workspace: str, count: int, now: float) -> int:
        """Takes credit for requests that have waited, which count as demand already."""
        self._drop_invalid(now)
        stock = self._stocks.get(workspace)
        if stock is None:
            return 0
        granted = min(count, max(0, stock.level))
        stock.level -= granted
        stock.used += granted
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
        stock = self._stocks.setdefault(workspace, _Stock())
        stock.decay(now)
        stock.refused += count
        if not self.is_used_up(workspace, now):
            return 0.0
        wait_s = MEAN_S * stock.refused / max(1.0, stock.admitted)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s, stock.empty_until - now))

    def is_used_up(self, workspace: str, now: float) -> bool:
        """Returns whether the owner of the fleet had no credit lately."""
        stock = self._stocks.get(workspace)
        return stock is not None and now < stock.empty_until + MAX_ASK_PAUSE_S

    def needs_credit(self, workspace: str, now: float) -> bool:
        """Returns whether the owner of the fleet should be asked at once."""
        stock = self._stocks.get(workspace)
        if stock is None or now < stock.empty_until:
            return False
        return stock.level < stock.compute_target(now)

    def build_reports(self, now: float) -> list[CreditReport]:
        """Returns what to tell the owner of the fleet; each use is reported once."""
        self._drop_invalid(now)
        reports: list[CreditReport] = []
        for workspace, stock in list(self._stocks.items()):
            if len(reports) >= MAX_REPORTS:
                break
            stock.decay(now)
            target = stock.compute_target(now)
            surplus = stock.level if not target else max(0, stock.level - 2 * target)
            if surplus > 0:
                stock.level -= surplus
                stock.returned += surplus
            wanted = max(0, target - stock.level) if now >= stock.empty_until else 0
            if wanted or stock.used or stock.returned:
                reports.append(CreditReport(workspace, wanted, stock.used, stock.returned))
                stock.used = stock.returned = 0
            elif not target:
                del self._stocks[workspace]
        return reports

    def receive(self, supplies: Iterable[CreditSupply], valid_until: float, now: float) -> None:
        """Adds granted credit."""
        self._drop_invalid(now)
        self.valid_until = max(self.valid_until, valid_until)
        for supply in supplies:
            stock = self._stocks.setdefault(supply.workspace, _Stock())
            stock.level += supply.granted
            if supply.wait_s > 0.0:
                stock.empty_until = now + min(supply.wait_s, MAX_ASK_PAUSE_S)
            elif supply.granted:
                stock.empty_until = -math.inf

    def _drop_invalid(self, now: float) -> None:
        """Drops credit that was fetched before a pause or a partition; it counts as used."""
        if now <= self.valid_until:
            return
        for stock in self._stocks.values():
            if stock.level > 0:
                stock.used += stock.level
                stock.level = 0
