"""Budgets for extra requests, as a share of first attempts."""

from __future__ import annotations

from typing import Final

RETRY_RATIO: Final = 0.1
HEDGE_RATIO: Final = 0.04
FIRST_ATTEMPTS_PER_HEDGE: Final = round(1 / HEDGE_RATIO)
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

    @property
    def level(self) -> float:
        """Extra requests that may be sent now."""
        return self._level

    def limit_reserve(self, reserve: float) -> None:
        """Changes how much may be saved."""
        self._reserve = reserve

    def earn(self) -> None:
        """Counts a first attempt."""
        self._level = min(self._reserve, self._level + self._ratio)

    def spend(self) -> bool:
        """Takes one extra request from the budget, if it allows one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class HedgeBudget:
    """Allows second attempts up to 4% of first attempts, counted from the start.

    The goal is 5% in all; the rest is for what the VMs have saved.

    Example:
        >>> budget = HedgeBudget()
        >>> budget.spend()
        False
        >>> for _ in range(25):
        ...     budget.earn()
        >>> budget.spend(), budget.spend()
        (True, False)
    """

    __slots__ = ("_first_attempts", "_saved")

    # Savings of all VMs come on top of the ratio in a short window; with 10 on each of 12 VMs it
    # reached 5.76% of 1,735 requests.
    MAX_SAVED: Final = 2

    def __init__(self) -> None:
        self._first_attempts = 0
        self._saved = 0

    def earn(self) -> None:
        """Counts a first attempt."""
        self._first_attempts += 1
        if self._first_attempts >= FIRST_ATTEMPTS_PER_HEDGE:
            self._first_attempts = 0
            self._saved = min(self.MAX_SAVED, self._saved + 1)

    def spend(self) -> bool:
        """Takes one second attempt from the budget, if it allows one."""
        if self._saved == 0:
            return False
        self._saved -= 1
        return True

    def return_unused(self) -> None:
        """Gives back a second attempt that was not sent."""
        self._saved = min(self.MAX_SAVED, self._saved + 1)
