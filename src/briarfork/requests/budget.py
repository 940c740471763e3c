"""Budgets for extra requests, as a share of first attempts."""

from __future__ import annotations

from typing import Final

RETRY_RATIO: Final = 0.1
HEDGE_RATIO: Final = 0.05
# Allows a few retries at low traffic, where the ratio alone would allow none.
BUDGET_RESERVE: Final = 10.0


class Budget:
    """Allows extra requests up to a ratio of first attempts.

    Example:
        >>> budget = Budget(ratio=0.5, reserve=1.0)
        >>> budget.spend(), budget.spend()
        (True, False)
        >>> budget.earn(); budget.earn(); budget.spend()
        True
    """

    __slots__ = ("_level", "_ratio", "_reserve")

    def __init__(self, ratio: float, reserve: float = BUDGET_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._level = reserve

    def earn(self) -> None:
        """Counts a first attempt."""
        self._level = min(self._reserve, self._level + self._ratio)

    def spend(self) -> bool:
        """Takes one extra request from the budget, if it allows one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
