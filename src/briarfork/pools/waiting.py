"""Requests of one class that wait for a slot."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briarfork.pools.permit import PermitDemand

# Entries of demands that no longer wait stay in the heap of expiry times up to this number.
MAX_STALE = 64


class WaitingLine:
    """Demands in order of arrival, with their expiry times in a heap."""

    __slots__ = ("_demands", "_expiries")

    def __init__(self) -> None:
        self._demands: dict[str, PermitDemand] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._demands)

    def __iter__(self) -> Iterator[PermitDemand]:
        return iter(self._demands.values())

    def add(self, demand: PermitDemand) -> None:
        """Adds a demand at the end."""
        self._demands[demand.permit] = demand
        heapq.heappush(self._expiries, (demand.expires_at, demand.permit))

    def remove(self, permit: str) -> None:
        """Removes a demand; an unknown one is ignored."""
        self._demands.pop(permit, None)
        if len(self._expiries) > 2 * len(self._demands) + MAX_STALE:
            self._expiries = [(item.expires_at, name) for name, item in self._demands.items()]
            heapq.heapify(self._expiries)

    def expire(self, now: float) -> list[PermitDemand]:
        """Removes and returns the demands whose requesters no longer wait."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            _, permit = heapq.heappop(self._expiries)
            demand = self._demands.pop(permit, None)
            if demand is not None:
                expired.append(demand)
        return expired
